package common

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

const partField = "part"

// Deps holds what every part of a daemon needs: a logger, a clock, and the name and failure domain of the host.
type Deps struct {
	Log    *logrus.Entry
	Now    func() time.Time
	Host   string
	Domain string
}

// NewDeps returns dependencies that log to w at the given level and read the system clock.
func NewDeps(host, domain string, w io.Writer, level logrus.Level) Deps {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(prefixFormatter{
		inner: &logrus.TextFormatter{
			DisableColors: true,
			FullTimestamp: true,
			// Millisecond resolution allows the logs of several hosts to be merged in order of time.
			TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		},
	})
	return Deps{
		Log:    logrus.NewEntry(log),
		Now:    time.Now,
		Host:   host,
		Domain: domain,
	}
}

// WithPart returns a copy of the dependencies whose log messages start with the name of the part and a colon.
func (d Deps) WithPart(name string) Deps {
	d.Log = d.Log.WithField(partField, name)
	return d
}

// prefixFormatter removes the part field of an entry and puts its value in front of the message.
type prefixFormatter struct {
	inner logrus.Formatter
}

func (f prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	line := *e
	line.Data = make(logrus.Fields, len(e.Data))
	for k, v := range e.Data {
		if k != partField {
			line.Data[k] = v
		}
	}
	if part, ok := e.Data[partField]; ok {
		line.Message = fmt.Sprintf("%v: %s", part, e.Message)
	}
	b, err := f.inner.Format(&line)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	return b, nil
}
