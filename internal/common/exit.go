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
	// ExitConflict reports that another operator changed the configuration first.
	ExitConflict = 4
	// ExitUnreachable reports that a daemon could not be reached.
	ExitUnreachable = 5
)

// FlagExitCode returns the exit code for an error of flag parsing: ExitOK if help was requested, ExitUsage otherwise.
func FlagExitCode(err error) int {
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
