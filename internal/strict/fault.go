package strict

import (
	"fmt"
	"strings"
)

// Fault is one fault of a document: its line and path, and the reason. Line is 0 if it is unknown; Path is empty for a syntax fault.
type Fault struct {
	Line   int    `json:"line,omitempty"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the fault in readable form, with its line and path if they are known.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Reason)
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Path, f.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Reason)
}

// Error holds all faults found in one document; Name is the name of the document, or "".
type Error struct {
	Name   string
	Faults []Fault
}

// Error returns the faults, one per line, each prefixed with the document's name.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		if e.Name == "" {
			lines = append(lines, f.String())
			continue
		}
		lines = append(lines, e.Name+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// FaultCollector collects faults while a document is validated.
type FaultCollector struct {
	faults []Fault
}

// Addf records a fault at the path.
func (c *FaultCollector) Addf(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// Require records a fault at the path if ok is false.
func (c *FaultCollector) Require(ok bool, path, format string, args ...any) {
	if !ok {
		c.Addf(path, format, args...)
	}
}

// Faults returns the recorded faults in the order of recording.
func (c *FaultCollector) Faults() []Fault {
	return c.faults
}
