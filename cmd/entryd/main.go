// Command entryd is the daemon of an entry host on the users' platform.
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
	"github.com/cornelwing/cornelwing/internal/root/relay"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/platform"
)

const (
	// memoryLimit is in bytes; near it the collector works harder.
	memoryLimit = 100 << 20
	// logFlush bounds how long the last log lines may hold up the end.
	logFlush = 200 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	program := common.NewProgram("entryd", platform.SettingsPath())
	if code, done := program.Parse(args); done {
		return code
	}
	s, err := setup.ReadRelay(program.SettingsFile)
	if code, done := program.ReportSettings(err); done {
		return code
	}
	debug.SetMemoryLimit(memoryLimit)
	logs := common.NewAsyncWriter(os.Stdout)
	defer logs.Close(logFlush)
	deps := common.NewDeps(s.Host.Name, s.Host.Domain, logs, s.Log.Threshold())
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			deps.Log.Info("Settings are read at the start only. The signal changes nothing.")
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := relay.New(deps, s, platform.New(s.Store.Address)).Run(ctx); err != nil {
		deps.Log.WithError(err).Error("Stopped with an error.")
		fmt.Fprintln(os.Stderr, err)
		return common.ExitFailure
	}
	deps.Log.Info("Stopped.")
	return common.ExitOK
}
