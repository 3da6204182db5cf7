package common

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// CatchHangups returns a channel that receives SIGHUP, which from then on does not end the process. A daemon calls it first, as the signal may come right after its start.
func CatchHangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// LogHangups logs each SIGHUP, in the background.
func LogHangups(log logrus.FieldLogger, hup <-chan os.Signal) {
	go func() {
		for range hup {
			log.Info("SIGHUP ignored: settings are only read at the start.")
		}
	}()
}
