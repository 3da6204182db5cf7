package config

import (
	"encoding/json"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Span is a duration that is encoded as text with a unit, for instance 8s or 250ms.
type Span time.Duration

// D returns the span as a time.Duration.
func (s Span) D() time.Duration {
	return time.Duration(s)
}

// String returns the span with its unit.
func (s Span) String() string {
	return time.Duration(s).String()
}

// MarshalYAML encodes the span with its unit.
func (s Span) MarshalYAML() (any, error) {
	return s.String(), nil
}

// UnmarshalYAML decodes a span. It returns an error with the line if the unit is missing.
func (s *Span) UnmarshalYAML(n *yaml.Node) error {
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with a unit, for instance 8s or 250ms", n.Line, n.Value)
	}
	*s = Span(d)
	return nil
}

// MarshalJSON encodes the span as a string with its unit.
func (s Span) MarshalJSON() ([]byte, error) {
	b, err := json.Marshal(s.String())
	if err != nil {
		return nil, fmt.Errorf("encode span: %w", err)
	}
	return b, nil
}

// UnmarshalJSON decodes a span from a string. It returns an error if the unit is missing.
func (s *Span) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("decode span: %w", err)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("decode span %q: %w", text, err)
	}
	*s = Span(d)
	return nil
}
