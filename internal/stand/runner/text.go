package runner

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Output returns what a worker or service makes of an input: the input and the stage's mark.
func Output(stage, input string) string {
	return input + "|" + stage
}

// TokenText returns one token of the text that an engine generates for an input.
func TokenText(input string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(input)), index)
}

// Generated returns the whole text of n tokens that an engine generates for an input.
func Generated(input string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(input, i))
	}
	return b.String()
}
