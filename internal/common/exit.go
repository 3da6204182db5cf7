package common

import (
	"errors"
	"flag"
	"runtime/debug"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports invalid flags, arguments or settings.
	ExitUsage = 2
	// ExitRefused reports that the daemon refused the request.
	ExitRefused = 3
	// ExitRace reports that another operator changed the configuration first.
	ExitRace = 4
	// ExitOut reports that a daemon could not be reached.
	ExitOut = 5
)

// ExitFlags returns the exit code for an error of flag parsing: ExitOK if help was requested, ExitUsage otherwise.
func ExitFlags(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

// Version returns the program name and the module version that is recorded in the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "cornelwing (devel)"
	}
	return "cornelwing " + info.Main.Version
}
