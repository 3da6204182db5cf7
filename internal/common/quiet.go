package common

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Quiet returns dependencies for tests, with a logger that discards its output.
func Quiet(host, domain string) Deps {
	return NewDeps(host, domain, io.Discard, logrus.PanicLevel)
}
