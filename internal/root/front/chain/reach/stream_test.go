package reach

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// truncatingServer sends the first bytes of a body without a length or chunks, and then closes the connection.
func truncatingServer(t *testing.T, body string, bytes *int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// net/http then neither adds a length nor uses chunks.
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, body[:*bytes])
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// An upstream that dies can close its connection in order, so the end of the connection must not pass for the end of a result.
func TestResultIsDoneOnlyWithItsLastByte(t *testing.T) {
	const doc = `{"attempt_id":"a","output":"xy","tokens":2,"busy_ms":1}`
	const stream = "event: token\ndata: {\"attempt_id\":\"a\",\"index\":0,\"text\":\"x\"}\n\n" +
		"event: token\ndata: {\"attempt_id\":\"a\",\"index\":1,\"text\":\"y\"}\n\n" +
		"event: done\ndata: " + doc + "\n\n"
	scenarios := []struct {
		name   string
		stream bool
		body   string
	}{
		{name: "plain result", body: doc},
		{name: "stream", stream: true, body: stream},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			sent := 0
			addr := truncatingServer(t, sc.body, &sent)
			for sent = range len(sc.body) + 1 {
				tokens := ""
				got := New().Do(t.Context(), Attempt{
					Addr:    addr,
					Call:    stage.Call{AttemptID: "a"},
					Stream:  sc.stream,
					NewConn: true,
					Silence: time.Second,
					OnToken: func(tok stage.Token) error { tokens += tok.Text; return nil },
				})
				if !strings.HasPrefix("xy", tokens) {
					t.Fatalf("after %d bytes the tokens are %q", sent, tokens)
				}
				if _, done := got.(Done); done != (sent == len(sc.body)) {
					t.Fatalf("after %d of %d bytes the result is %s", sent, len(sc.body), fmt.Sprintf("%T %+v", got, got))
				}
			}
		})
	}
}

// streamServer sends a stream of the events.
func streamServer(t *testing.T, events string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, events)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// streamTokens sends the call as attempt a to an engine that sends the events, and returns the result and the tokens that were passed on.
func streamTokens(t *testing.T, call stage.Call, events string) (got Result, tokens string) {
	t.Helper()
	call.AttemptID = "a"
	got = New().Do(t.Context(), Attempt{
		Addr:    streamServer(t, events),
		Call:    call,
		Stream:  true,
		NewConn: true,
		Silence: time.Second,
		OnToken: func(tok stage.Token) error { tokens += tok.Text; return nil },
	})
	return got, tokens
}

// tokenEvents returns the token events with the indexes, of the attempt a.
func tokenEvents(indexes ...int) string {
	text := ""
	for _, i := range indexes {
		text += fmt.Sprintf("event: token\ndata: {\"attempt_id\":\"a\",\"index\":%d,\"text\":\"%d\"}\n\n", i, i)
	}
	return text
}

// Guards against tokens that come twice or are missing because an engine does not continue a stream at the token that it was asked for.
func TestResumedStreamPassesEachTokenOnce(t *testing.T) {
	const done = "event: done\ndata: {\"attempt_id\":\"a\",\"tokens\":4,\"busy_ms\":1}\n\n"
	scenarios := []struct {
		name   string
		events string
		tokens string
		gap    bool
	}{
		{name: "continues there", events: tokenEvents(2, 3) + done, tokens: "23"},
		{name: "begins again", events: tokenEvents(0, 1, 2, 3) + done, tokens: "23"},
		{name: "repeats the last token", events: tokenEvents(1, 2, 3) + done, tokens: "23"},
		{name: "sends a token twice", events: tokenEvents(2, 2, 3) + done, tokens: "23"},
		{name: "goes back", events: tokenEvents(2, 0, 1, 2, 3) + done, tokens: "23"},
		{name: "skips the first token", events: tokenEvents(3) + done, gap: true},
		{name: "skips a later token", events: tokenEvents(2, 4) + done, tokens: "2", gap: true},
		{name: "ends before the last token", events: tokenEvents(2) + done, tokens: "2", gap: true},
		{name: "has no tokens", events: done, gap: true},
		{name: "ends before the token asked for", events: tokenEvents(0, 1) + done, gap: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			got, tokens := streamTokens(t, stage.Call{ResumeFrom: 2}, sc.events)
			if tokens != sc.tokens {
				t.Errorf("got tokens %q, want %q", tokens, sc.tokens)
			}
			broken, _ := got.(Broken)
			if _, done := got.(Done); done == sc.gap || errors.Is(broken.Err, ErrGap) != sc.gap {
				t.Errorf("got result %+v, want a gap: %t", got, sc.gap)
			}
		})
	}
}
