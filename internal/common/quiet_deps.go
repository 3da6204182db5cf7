package common

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewQuietDeps returns dependencies for tests, with a logger that discards its output.
func NewQuietDeps(host, domain string) Deps {
	return NewDeps(host, domain, io.Discard, logrus.PanicLevel)
}
