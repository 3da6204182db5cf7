package opcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/opapi"
)

// Environment variables that stand for flags.
const (
	envAddr  = "CORNELWING_ADDR"
	envToken = "CORNELWING_TOKEN"
)

const defaultAddr = "http://127.0.0.1:8081"

// Command is one word of the client.
type Command struct {
	Name  string
	Args  string
	Short string
	Long  string
	run   func(ctx context.Context, c *call) error
	flags func(c *call)
}

// call is one use of a command.
type call struct {
	*flag.FlagSet
	out    io.Writer
	err    io.Writer
	addr   string
	token  string
	format string
	words  []string
	opts   options
}

func (c *call) api() *opapi.API {
	return opapi.New(strings.TrimSuffix(c.addr, "/"), c.token)
}

// UsageError says that a command was called in a wrong way.
type UsageError struct {
	Reason string
}

// Error renders the reason.
func (e *UsageError) Error() string {
	return e.Reason
}

// Run runs the client with the arguments and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		return help(args, out, errOut)
	}
	if args[0] == "version" {
		fmt.Fprintln(out, common.Version())
		return common.ExitOK
	}
	cmd, ok := find(args[0])
	if !ok {
		fmt.Fprintf(errOut, "cornelwing: there is no command %q; see cornelwing help\n", args[0])
		return common.ExitUsage
	}
	c := newCall(cmd, out, errOut)
	if err := c.Parse(args[1:]); err != nil {
		return common.ExitFlags(err)
	}
	c.words = c.Args()
	if err := cmd.run(ctx, c); err != nil {
		fmt.Fprintf(errOut, "cornelwing %s: %v\n", cmd.Name, err)
		return exitCode(err)
	}
	return common.ExitOK
}

func newCall(cmd Command, out, errOut io.Writer) *call {
	c := &call{
		FlagSet: flag.NewFlagSet(cmd.Name, flag.ContinueOnError),
		out:     out,
		err:     errOut,
	}
	c.SetOutput(errOut)
	c.StringVar(&c.addr, "addr", envOr(envAddr, defaultAddr), "base `URL` of a daemon's operators' address; also "+envAddr)
	c.StringVar(&c.token, "token", os.Getenv(envToken), "operator's `token`; also "+envToken)
	c.StringVar(&c.format, "o", "table", "output `format`: table, json or yaml")
	if cmd.flags != nil {
		cmd.flags(c)
	}
	c.Usage = func() { describe(errOut, cmd, c) }
	return c
}

func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

func exitCode(err error) int {
	var usage *UsageError
	var refused *opapi.StatusError
	switch {
	case errors.As(err, &usage):
		return common.ExitUsage
	case errors.As(err, &refused) && refused.Refusal.Winner != nil:
		return common.ExitRace
	case errors.As(err, &refused) && refused.Status < 500:
		return common.ExitRefused
	case errors.As(err, &refused), errors.Is(err, opapi.ErrNotSent):
		return common.ExitOut
	default:
		return common.ExitFailure
	}
}

func find(name string) (Command, bool) {
	for _, c := range Commands() {
		if c.Name == name {
			return c, true
		}
	}
	return Command{}, false
}

func help(args []string, out, errOut io.Writer) int {
	if len(args) > 1 {
		cmd, ok := find(args[1])
		if !ok {
			fmt.Fprintf(errOut, "cornelwing: there is no command %q\n", args[1])
			return common.ExitUsage
		}
		describe(out, cmd, newCall(cmd, out, out))
		return common.ExitOK
	}
	fmt.Fprintf(out, "cornelwing is the operators' client.\n\nusage: cornelwing COMMAND [flags] [arguments]\n\n")
	for _, c := range Commands() {
		fmt.Fprintf(out, "  %-10s %s\n", c.Name, c.Short)
	}
	fmt.Fprintf(out, "  %-10s %s\n", "version", "print the version")
	fmt.Fprintf(out, "\nSee cornelwing help COMMAND for the flags of each.\n")
	fmt.Fprintf(out, "Exit codes: 0 done, 1 failed, 2 wrong use, 3 refused, 4 another operator was first, 5 not reachable.\n")
	return common.ExitOK
}

func describe(w io.Writer, cmd Command, c *call) {
	fmt.Fprintf(w, "usage: cornelwing %s [flags] %s\n\n%s\n\n", cmd.Name, cmd.Args, cmd.Long)
	c.SetOutput(w)
	c.PrintDefaults()
}
