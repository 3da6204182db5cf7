// Command entryd is the daemon of an entry host that runs on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/relay"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/platform"
)

// logFlushTimeout is the maximum time that the exit waits for the last log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	hup := common.CatchHangups()
	program := common.NewProgram("entryd", platform.SettingsPath())
	if code, done := program.Parse(args); done {
		return code
	}
	s, err := setup.ReadRelay(program.SettingsFile)
	if code, done := program.ReportSettings(err); done {
		return code
	}
	debug.SetMemoryLimit(guard.MachineOf(s.Host.MemoryMB, s.Host.Descriptors).SoftMemory())
	logs := common.NewAsyncWriter(os.Stdout)
	defer logs.Close(logFlushTimeout)
	deps := common.NewDeps(s.Host.Name, s.Host.Domain, logs, s.Log.Threshold())
	common.LogHangups(deps.Log, hup)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := relay.New(deps, s, platform.New(deps, s.Store.Address)).Run(ctx); err != nil {
		deps.Log.WithError(err).Error("Daemon stopped with an error.")
		fmt.Fprintln(os.Stderr, err)
		return common.ExitFailure
	}
	deps.Log.Info("Daemon stopped.")
	return common.ExitOK
}
