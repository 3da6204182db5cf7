package reach

import (
	"errors"
	"fmt"
	"testing"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// versionedTokens returns token events of the attempt a from an index on, one for each version.
func versionedTokens(from int, versions ...string) string {
	text := ""
	for i, v := range versions {
		text += fmt.Sprintf("event: token\ndata: {\"attempt_id\":\"a\",\"index\":%d,\"text\":\"%d\",\"version\":%q}\n\n", from+i, from+i, v)
	}
	return text
}

// Guards against a stream whose tokens come from two versions of a model (class of incident ORDER of issue 54).
func TestStreamHoldsTokensOfOneVersion(t *testing.T) {
	const done = "event: done\ndata: {\"attempt_id\":\"a\",\"tokens\":4,\"busy_ms\":1}\n\n"
	scenarios := []struct {
		name string
		call stage.Call
		// versions are those of the tokens that the engine sends.
		versions []string
		tokens   string
		mixed    bool
	}{
		{name: "one version", versions: []string{"v1", "v1", "v1", "v1"}, tokens: "0123"},
		{name: "no version stated", versions: []string{"", "", "", ""}, tokens: "0123"},
		{name: "another version within", versions: []string{"v1", "v1", "v2", "v2"}, tokens: "01", mixed: true},
		{name: "a version that is no longer stated", versions: []string{"v1", "", "", ""}, tokens: "0", mixed: true},
		{name: "resumed at its version", call: stage.Call{ResumeFrom: 2, Version: "v1"}, versions: []string{"v1", "v1"}, tokens: "23"},
		{name: "resumed at another version", call: stage.Call{ResumeFrom: 2, Version: "v1"}, versions: []string{"v2", "v2"}, mixed: true},
		{name: "resumed at an engine that states none", call: stage.Call{ResumeFrom: 2, Version: "v1"}, versions: []string{"", ""}, mixed: true},
		{name: "resumed at an engine that states one where none was", call: stage.Call{ResumeFrom: 2}, versions: []string{"v1", "v1"}, mixed: true},
		{name: "resumed where none is stated", call: stage.Call{ResumeFrom: 2}, versions: []string{"", ""}, tokens: "23"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			got, tokens := streamTokens(t, sc.call, versionedTokens(sc.call.ResumeFrom, sc.versions...)+done)
			if tokens != sc.tokens {
				t.Errorf("got tokens %q, want %q", tokens, sc.tokens)
			}
			broken, _ := got.(Broken)
			if _, done := got.(Done); done == sc.mixed || errors.Is(broken.Err, ErrVersion) != sc.mixed {
				t.Errorf("got result %+v, want two versions: %t", got, sc.mixed)
			}
		})
	}
}
