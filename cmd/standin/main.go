// Command standin runs stand-ins for the platform and the upstreams, with faults that are switched on over HTTP.
package main

import (
	"context"
	"flag"
	"fmt"
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
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	path := flags.String("settings", "standin.yaml", "`file` with the settings, in YAML")
	check := flags.Bool("check", false, "check the settings and exit: 0 if they are good, 2 if not")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: standin [-settings FILE] [-check]\n       standin version\n\n")
		flags.PrintDefaults()
	}
	if len(args) == 1 && args[0] == "version" {
		fmt.Println(common.Version())
		return common.ExitOK
	}
	if err := flags.Parse(args); err != nil {
		return common.ExitFlags(err)
	}
	s, err := stand.ReadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return common.ExitUsage
	}
	if *check {
		fmt.Printf("%s: good\n", *path)
		return common.ExitOK
	}
	deps := common.NewDeps("standin", "", os.Stderr, logrus.InfoLevel).WithPart("standin")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := stand.Run(ctx, deps, s); err != nil {
		deps.Log.WithError(err).Error("Stopped with an error.")
		return common.ExitFailure
	}
	return common.ExitOK
}
