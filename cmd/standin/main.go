// Command standin runs stand-ins for the platform and the upstreams. Faults are set through an HTTP interface.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stand"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	program := common.NewProgram("standin", "standin.yaml")
	if code, done := program.Parse(args); done {
		return code
	}
	s, err := stand.ReadSettings(program.SettingsFile)
	if code, done := program.ReportSettings(err); done {
		return code
	}
	deps := common.NewDeps("standin", "", os.Stderr, logrus.InfoLevel).WithPart("standin")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := stand.Run(ctx, deps, s); err != nil {
		deps.Log.WithError(err).Error("Stand-ins stopped with an error.")
		return common.ExitFailure
	}
	return common.ExitOK
}
