package runner

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Output returns the output of a worker or service for an input: the input followed by the stage's name.
func Output(stage, input string) string {
	return input + "|" + stage
}

// TokenText returns the token at the index in the text that an engine generates for an input.
func TokenText(input string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(input)), index)
}

// GeneratedText returns the complete text of n tokens that an engine generates for an input.
func GeneratedText(input string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(input, i))
	}
	return b.String()
}
