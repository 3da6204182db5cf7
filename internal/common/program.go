package common

import (
	"flag"
	"fmt"
	"os"
)

// Program parses the command line that cornelwingd, entryd and standin share.
type Program struct {
	Name string
	// SettingsFile is the path of the settings file.
	SettingsFile string
	// CheckOnly makes the program exit after the settings have been checked.
	CheckOnly bool

	flags *flag.FlagSet
}

// NewProgram returns a program that reads its settings from defaultFile unless the -settings flag names another file.
func NewProgram(name, defaultFile string) *Program {
	p := &Program{
		Name:  name,
		flags: flag.NewFlagSet(name, flag.ContinueOnError),
	}
	p.flags.StringVar(&p.SettingsFile, "settings", defaultFile, "`file` with the settings, in YAML")
	p.flags.BoolVar(&p.CheckOnly, "check", false, "check the settings and exit: 0 if they are good, 2 if not")
	p.flags.Usage = func() {
		fmt.Fprintf(p.flags.Output(), "usage: %s [flags]\n       %s version\n\n", name, name)
		p.flags.PrintDefaults()
	}
	return p
}

// Bool defines an additional boolean flag, false by default. It must be called before Parse.
func (p *Program) Bool(name, usage string) *bool {
	return p.flags.Bool(name, false, usage)
}

// Parse parses the arguments and handles the version command. If done is true, the program must exit with code.
func (p *Program) Parse(args []string) (code int, done bool) {
	if len(args) == 1 && args[0] == "version" {
		fmt.Println(Version())
		return ExitOK, true
	}
	if err := p.flags.Parse(args); err != nil {
		return FlagExitCode(err), true
	}
	return ExitOK, false
}

// ReportSettings prints err, the error of reading the settings, or the success of a -check run. If done is true, the program must exit with code.
func (p *Program) ReportSettings(err error) (code int, done bool) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage, true
	}
	if p.CheckOnly {
		fmt.Printf("%s: good\n", p.SettingsFile)
		return ExitOK, true
	}
	return ExitOK, false
}
