// Command cornelwingd is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root"
	"github.com/cornelwing/cornelwing/internal/setup"
)

// gcPercent makes garbage collections less frequent than the default of 100, as long as the heap is far below the soft limit of memory.
const gcPercent = 400

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	hup := common.CatchHangups()
	program := common.NewProgram("cornelwingd", "cornelwingd.yaml")
	reference := program.Bool("reference", "print the page that documents every setting, and exit")
	if code, done := program.Parse(args); done {
		return code
	}
	if *reference {
		fmt.Print(setup.Reference())
		return common.ExitOK
	}
	s, err := setup.Read(program.SettingsFile)
	if code, done := program.ReportSettings(err); done {
		return code
	}
	deps := common.NewDeps(s.Host.Name, s.Host.Domain, os.Stderr, s.Log.Threshold())
	common.LogHangups(deps.Log, hup)
	daemon, err := root.New(deps, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return common.ExitUsage
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(guard.MachineOf(s.Host.MemoryMB, s.Host.Descriptors).SoftMemory())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, func() { deps.Log.Info("Daemon is ready.") }); err != nil {
		deps.Log.WithError(err).Error("Daemon stopped with an error.")
		return common.ExitFailure
	}
	return common.ExitOK
}
