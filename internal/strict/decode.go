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

// Checker is a document that can tell what is wrong with it.
type Checker interface {
	Faults() []Fault
}

var (
	linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	pathStep   = regexp.MustCompile(`[^.\[\]]+`)
)

// Decode fills doc from YAML and returns an *Error naming every unknown key, duplicate key and broken constraint.
func Decode(name string, data []byte, doc Checker) error {
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
		locate(&root, faults)
	}
	return &Error{
		Name:   name,
		Faults: faults,
	}
}

func syntaxFaults(err error) []Fault {
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return []Fault{parseLine(err.Error())}
	}
	faults := make([]Fault, 0, len(typed.Errors))
	for _, msg := range typed.Errors {
		faults = append(faults, parseLine(msg))
	}
	return faults
}

func parseLine(msg string) Fault {
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

// locate fills in the line of each fault by walking its path through the node tree.
func locate(root *yaml.Node, faults []Fault) {
	for i := range faults {
		faults[i].Line = lineOf(root, pathStep.FindAllString(faults[i].Path, -1))
	}
}

// lineOf returns the line of the deepest node on the path that exists.
func lineOf(n *yaml.Node, path []string) int {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	line := max(n.Line, 1)
	for _, step := range path {
		next := childOf(n, step)
		if next == nil {
			return line
		}
		n = next
		line = n.Line
	}
	return line
}

func childOf(n *yaml.Node, step string) *yaml.Node {
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
