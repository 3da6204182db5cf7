package strict

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Validator is a document that can be checked; Faults returns its faults, without line numbers.
type Validator interface {
	Faults() []Fault
}

var (
	linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	pathStep   = regexp.MustCompile(`[^.\[\]]+`)
)

// Decode decodes YAML into doc and checks it. The error is an *Error that lists either the syntax faults, unknown keys and duplicate keys, or the faults that doc reports.
func Decode(name string, data []byte, doc Validator) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(doc); err != nil && !errors.Is(err, io.EOF) {
		return &Error{
			Name:   name,
			Faults: syntaxFaults(err),
		}
	}
	faults := doc.Faults()
	if len(faults) == 0 {
		return nil
	}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) == nil {
		setLines(&root, faults)
	}
	return &Error{
		Name:   name,
		Faults: faults,
	}
}

// syntaxFaults returns the faults in an error of the YAML decoder.
func syntaxFaults(err error) []Fault {
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return []Fault{parseFault(err.Error())}
	}
	faults := make([]Fault, 0, len(typed.Errors))
	for _, msg := range typed.Errors {
		faults = append(faults, parseFault(msg))
	}
	return faults
}

// parseFault splits a message of the YAML decoder into line and reason; without a line number, the line is 1.
func parseFault(msg string) Fault {
	m := linePrefix.FindStringSubmatch(strings.TrimSpace(msg))
	if m == nil {
		return Fault{
			Line:   1,
			Reason: msg,
		}
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		n = 1
	}
	return Fault{
		Line:   n,
		Reason: m[2],
	}
}

// setLines sets the line of each fault to that of the node at its path.
func setLines(root *yaml.Node, faults []Fault) {
	for i := range faults {
		faults[i].Line = lineAt(root, pathStep.FindAllString(faults[i].Path, -1))
	}
}

// lineAt returns the line of the deepest existing node on the path.
func lineAt(n *yaml.Node, path []string) int {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	line := max(n.Line, 1)
	for _, step := range path {
		next := child(n, step)
		if next == nil {
			return line
		}
		n = next
		line = n.Line
	}
	return line
}

// child returns a child of a mapping or sequence node: the value whose key is step, or the item whose index is step. It returns nil if there is no such child.
func child(n *yaml.Node, step string) *yaml.Node {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(step)
		if err == nil && i < len(n.Content) {
			return n.Content[i]
		}
	}
	return nil
}
