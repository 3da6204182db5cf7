package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playCase plays a case and reports whether the rule was broken. trouble says whether its disruption takes place.
type playCase func(r *record, trouble bool) (broken bool, err error)

// cases holds the cases by name. Each adds itself.
var cases = map[string]playCase{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(play(os.Args[1:]))
}

// play plays the case with the name in the first argument, and writes the record to the path in the second one.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}
