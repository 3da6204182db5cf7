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
	ExitUsage   = 2
	ExitRefused = 3
	ExitRace    = 4
	ExitOut     = 5
)

// ExitFlags returns the exit code for an error of flag parsing.
func ExitFlags(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return ExitUsage
}

// Version returns the version that the build recorded.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "cornelwing (devel)"
	}
	return "cornelwing " + info.Main.Version
}
