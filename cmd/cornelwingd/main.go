// Command cornelwingd is the daemon of an entry host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root"
	"github.com/cornelwing/cornelwing/internal/setup"
)

const (
	// gcPercent lets the heap grow further between collections, up to memoryLimit.
	gcPercent = 400
	// memoryLimit is in bytes; near it the collector works harder.
	memoryLimit = 200 << 20
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet("cornelwingd", flag.ContinueOnError)
	path := flags.String("settings", "cornelwingd.yaml", "`file` with the settings, in YAML")
	check := flags.Bool("check", false, "check the settings and exit: 0 if they are good, 2 if not")
	reference := flags.Bool("reference", false, "print the page that documents every setting, and exit")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: cornelwingd [-settings FILE] [-check]\n       cornelwingd version\n\n")
		flags.PrintDefaults()
	}
	if len(args) == 1 && args[0] == "version" {
		fmt.Println(common.Version())
		return common.ExitOK
	}
	if err := flags.Parse(args); err != nil {
		return common.ExitFlags(err)
	}
	if *reference {
		fmt.Print(setup.Reference())
		return common.ExitOK
	}
	s, err := setup.Read(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return common.ExitUsage
	}
	if *check {
		fmt.Printf("%s: good\n", *path)
		return common.ExitOK
	}
	deps := common.NewDeps(s.Host.Name, s.Host.Domain, os.Stderr, s.Log.Threshold())
	daemon, err := root.New(deps, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return common.ExitUsage
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, func() { deps.Log.Info("Ready.") }); err != nil {
		deps.Log.WithError(err).Error("Stopped with an error.")
		return common.ExitFailure
	}
	return common.ExitOK
}
