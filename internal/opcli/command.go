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
	"github.com/cornelwing/cornelwing/internal/strict"
)

// Environment variables that set the defaults of flags.
const (
	envAddr  = "CORNELWING_ADDR"
	envToken = "CORNELWING_TOKEN"
)

const defaultAddr = "http://127.0.0.1:8081"

// Command is one command of the client, such as apply or status.
type Command struct {
	Name  string
	Args  string
	Short string
	Long  string
	run   func(ctx context.Context, c *invocation) error
	flags func(c *invocation)
}

// invocation is one run of a command, with its flags, arguments and output.
type invocation struct {
	*flag.FlagSet
	out        io.Writer
	errOutput  io.Writer
	addr       string
	token      string
	format     string
	positional []string
	opts       options
}

func (c *invocation) client() *opapi.API {
	return opapi.New(strings.TrimSuffix(c.addr, "/"), c.token)
}

// UsageError reports wrong flags or arguments; the client then exits with ExitUsage.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string {
	return e.Reason
}

// Run runs the command named by the first argument and returns the exit code of the client.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		return printHelp(args, out, errOut)
	}
	if args[0] == "version" {
		fmt.Fprintln(out, common.Version())
		return common.ExitOK
	}
	cmd, ok := findCommand(args[0])
	if !ok {
		fmt.Fprintf(errOut, "cornelwing: there is no command %q; see cornelwing help\n", args[0])
		return common.ExitUsage
	}
	c := newInvocation(cmd, out, errOut)
	if err := c.Parse(args[1:]); err != nil {
		return common.FlagExitCode(err)
	}
	c.positional = c.Args()
	if err := cmd.run(ctx, c); err != nil {
		fmt.Fprintf(errOut, "cornelwing %s: %v\n", cmd.Name, err)
		return exitCode(err)
	}
	return common.ExitOK
}

func newInvocation(cmd Command, out, errOut io.Writer) *invocation {
	c := &invocation{
		FlagSet:   flag.NewFlagSet(cmd.Name, flag.ContinueOnError),
		out:       out,
		errOutput: errOut,
	}
	c.SetOutput(errOut)
	c.StringVar(&c.addr, "addr", envOr(envAddr, defaultAddr), "base `URL` of a daemon's operators' address; also "+envAddr)
	c.StringVar(&c.token, "token", os.Getenv(envToken), "operator's `token`; also "+envToken)
	c.StringVar(&c.format, "o", "table", "output `format`: table, json or yaml")
	if cmd.flags != nil {
		cmd.flags(c)
	}
	c.Usage = func() { printUsage(errOut, cmd, c) }
	return c
}

// envOr returns the value of the environment variable, or the given value if the variable is empty.
func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

func exitCode(err error) int {
	var usage *UsageError
	var refused *opapi.StatusError
	var invalid *strict.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &invalid):
		return common.ExitUsage
	case errors.As(err, &refused) && refused.Refusal.Winner != nil:
		return common.ExitConflict
	case errors.As(err, &refused) && refused.Status < 500:
		return common.ExitRefused
	case errors.As(err, &refused), errors.Is(err, opapi.ErrUnreachable):
		return common.ExitUnreachable
	default:
		return common.ExitFailure
	}
}

func findCommand(name string) (Command, bool) {
	for _, c := range Commands() {
		if c.Name == name {
			return c, true
		}
	}
	return Command{}, false
}

func printHelp(args []string, out, errOut io.Writer) int {
	if len(args) > 1 {
		cmd, ok := findCommand(args[1])
		if !ok {
			fmt.Fprintf(errOut, "cornelwing: there is no command %q\n", args[1])
			return common.ExitUsage
		}
		printUsage(out, cmd, newInvocation(cmd, out, out))
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

func printUsage(w io.Writer, cmd Command, c *invocation) {
	fmt.Fprintf(w, "usage: cornelwing %s [flags] %s\n\n%s\n\n", cmd.Name, cmd.Args, cmd.Long)
	c.SetOutput(w)
	c.PrintDefaults()
}
