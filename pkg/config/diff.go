package config

import (
	"fmt"

	"github.com/pmezard/go-difflib/difflib"
)

// diffContext is how many unchanged lines are shown before and after a change.
const diffContext = 2

// Diff returns the unified diff of two documents as YAML. It is empty if they are equal.
func Diff(a, b Document, nameA, nameB string) (string, error) {
	x, err := a.Encode()
	if err != nil {
		return "", fmt.Errorf("encode %s: %w", nameA, err)
	}
	y, err := b.Encode()
	if err != nil {
		return "", fmt.Errorf("encode %s: %w", nameB, err)
	}
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(x)),
		B:        difflib.SplitLines(string(y)),
		FromFile: nameA,
		ToFile:   nameB,
		Context:  diffContext,
	})
	if err != nil {
		return "", fmt.Errorf("compare documents: %w", err)
	}
	return out, nil
}
