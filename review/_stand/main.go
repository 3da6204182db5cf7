package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. Each returns nil if the rule held, errBroken if it was broken, and any other error if the case could not run.
var cases = map[string]func(w *world) error{}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the arguments name: the name, and the folder in which the record is written.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitCannot
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(exitCannot)
	}()
	w.trouble = os.Getenv("TROUBLE") != "0"
	err = cases[args[0]](w)
	switch {
	case err == nil:
		w.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		w.note("result: the rule was broken")
		return exitBroken
	default:
		w.note("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
}
