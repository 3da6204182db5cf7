package common

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Quiet returns dependencies that log nothing.
func Quiet(host, domain string) Deps {
	return NewDeps(host, domain, io.Discard, logrus.PanicLevel)
}
