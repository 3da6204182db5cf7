package common

import (
	"flag"
	"fmt"
	"os"
)

// Program is the command line that the daemon and the stand-ins have in common.
type Program struct {
	Name string
	// Settings is the path of the settings file, and Check asks only to check it.
	Settings string
	Check    bool

	flags *flag.FlagSet
}

// NewProgram returns a program whose settings are looked for at the path by default.
func NewProgram(name, settings string) *Program {
	p := &Program{
		Name:  name,
		flags: flag.NewFlagSet(name, flag.ContinueOnError),
	}
	p.flags.StringVar(&p.Settings, "settings", settings, "`file` with the settings, in YAML")
	p.flags.BoolVar(&p.Check, "check", false, "check the settings and exit: 0 if they are good, 2 if not")
	p.flags.Usage = func() {
		fmt.Fprintf(p.flags.Output(), "usage: %s [flags]\n       %s version\n\n", name, name)
		p.flags.PrintDefaults()
	}
	return p
}

// Bool adds a flag of the program's own.
func (p *Program) Bool(name, usage string) *bool {
	return p.flags.Bool(name, false, usage)
}

// Parse reads the arguments; done says that the program ends now with the exit code.
func (p *Program) Parse(args []string) (code int, done bool) {
	if len(args) == 1 && args[0] == "version" {
		fmt.Println(Version())
		return ExitOK, true
	}
	if err := p.flags.Parse(args); err != nil {
		return ExitFlags(err), true
	}
	return ExitOK, false
}

// Checked takes what reading the settings came to; done says that the program ends now with the exit code.
func (p *Program) Checked(err error) (code int, done bool) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage, true
	}
	if p.Check {
		fmt.Printf("%s: good\n", p.Settings)
		return ExitOK, true
	}
	return ExitOK, false
}
