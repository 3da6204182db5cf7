package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

// A host that dies can close its connection in order, so the end of the connection must not pass for the end of an answer.
func TestAnswerIsCompleteOnlyWithItsLastByte(t *testing.T) {
	const doc = `{"request_id":"r","outcome":"answered","output":"x","stages":[]}`
	scenarios := []struct {
		name        string
		contentType string
		status      int
		body        string
		complete    func(err error) bool
	}{
		{name: "plain answer", contentType: wire.TypeJSON, status: http.StatusOK, body: doc, complete: func(err error) bool { return err == nil }},
		{name: "stream", contentType: wire.TypeStream, status: http.StatusOK, body: "event: token\ndata: {\"index\":0,\"text\":\"x\"}\n\nevent: done\ndata: " + doc + "\n\n", complete: func(err error) bool { return err == nil }},
		{name: "refusal", contentType: wire.TypeProblem, status: http.StatusServiceUnavailable, body: `{"type":"overload","outcome":"not_run"}`, complete: isProblem},
		{name: "refusal in a stream", contentType: wire.TypeStream, status: http.StatusOK, body: "event: problem\ndata: {\"type\":\"overload\",\"outcome\":\"not_run\"}\n\n", complete: isProblem},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			sent := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", sc.contentType)
				// net/http then neither adds a length nor uses chunks.
				w.Header().Set("Transfer-Encoding", "identity")
				w.WriteHeader(sc.status)
				_, _ = io.WriteString(w, sc.body[:sent])
			}))
			defer s.Close()
			c := New([]string{s.URL}, "token")
			for sent = range len(sc.body) + 1 {
				_, err := c.Send(t.Context(), Call{Pipeline: "p", OnToken: func(wire.Token) {}}, 0)
				if sc.complete(err) != (sent == len(sc.body)) {
					t.Fatalf("after %d of %d bytes the error is %v", sent, len(sc.body), err)
				}
				if sent < len(sc.body) && !errors.Is(err, ErrIncompleteResponse) {
					t.Fatalf("after %d of %d bytes the error is %v, want ErrIncompleteResponse", sent, len(sc.body), err)
				}
			}
		})
	}
}

func isProblem(err error) bool {
	var p wire.Problem
	return errors.As(err, &p)
}

// A retry that is cut off by the caller's deadline must not hide the outcome that the send before it has brought.
func TestErrorOfSeveralSends(t *testing.T) {
	incomplete := fmt.Errorf("send request: %w", ErrIncompleteResponse)
	problem := func(o wire.Outcome) error {
		return wire.NewProblem(wire.KindStoreUnavailable, o, "")
	}
	scenarios := []struct {
		name         string
		earlier, now error
		want         error
	}{
		{name: "only one send", now: incomplete, want: incomplete},
		{name: "no response after an unknown outcome", earlier: problem(wire.Unknown), now: incomplete, want: problem(wire.Unknown)},
		{name: "no response after a refusal", earlier: problem(wire.NotRun), now: incomplete, want: problem(wire.Unknown)},
		{name: "no response twice", earlier: incomplete, now: incomplete, want: incomplete},
		{name: "a refusal after no response", earlier: incomplete, now: problem(wire.NotRun), want: problem(wire.Unknown)},
		{name: "a refusal after an unknown outcome", earlier: problem(wire.Unknown), now: problem(wire.NotRun), want: problem(wire.Unknown)},
		{name: "two refusals", earlier: problem(wire.NotRun), now: problem(wire.NotRun), want: problem(wire.NotRun)},
		{name: "a failure after a refusal", earlier: problem(wire.NotRun), now: problem(wire.Failed), want: problem(wire.Failed)},
		{name: "an unreachable host after a refusal", earlier: problem(wire.NotRun), now: ErrUnreachable, want: problem(wire.NotRun)},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if got := mergeErrors(sc.earlier, sc.now); got != sc.want {
				t.Errorf("got %v, want %v", got, sc.want)
			}
		})
	}
}

// streamHosts returns the base URLs of hosts, of which each sends the stream of token events with its indexes and then the done event.
func streamHosts(t *testing.T, streams ...[]int) []string {
	t.Helper()
	var urls []string
	for _, indexes := range streams {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", wire.TypeStream)
			for _, i := range indexes {
				_, _ = fmt.Fprintf(w, "event: token\ndata: {\"index\":%d,\"text\":\"%d\"}\n\n", i, i)
			}
			_, _ = io.WriteString(w, "event: done\ndata: {\"request_id\":\"r\",\"outcome\":\"answered\",\"output\":\"0123\",\"stages\":[]}\n\n")
		}))
		t.Cleanup(s.Close)
		urls = append(urls, s.URL)
	}
	return urls
}

// Guards against answers that count as complete although a token of their stream is missing.
func TestStreamWithMissingTokenIsNotComplete(t *testing.T) {
	scenarios := []struct {
		name string
		// streams are the indexes of the tokens that the hosts send.
		streams  [][]int
		tokens   string
		complete bool
	}{
		{name: "all tokens", streams: [][]int{{0, 1, 2, 3}}, tokens: "0123", complete: true},
		{name: "a token twice", streams: [][]int{{0, 1, 1, 2, 3}}, tokens: "0123", complete: true},
		{name: "tokens that go back", streams: [][]int{{0, 1, 0, 1, 2, 3}}, tokens: "0123", complete: true},
		{name: "no token, as the answer was recorded", streams: [][]int{{}}, complete: true},
		{name: "a missing token", streams: [][]int{{0, 1, 3}}, tokens: "01"},
		{name: "a missing first token", streams: [][]int{{1, 2, 3}}},
		{name: "a missing token, and all from the next host", streams: [][]int{{0, 1, 3}, {0, 1, 2, 3}}, tokens: "0123", complete: true},
		{name: "a missing token, and the recorded answer from the next host", streams: [][]int{{0, 1, 3}, {}}, tokens: "01", complete: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			tokens := ""
			_, err := New(streamHosts(t, sc.streams...), "token", WithMaxSends(2)).Do(t.Context(), Call{
				Pipeline: "p",
				OnToken:  func(tok wire.Token) { tokens += tok.Text },
			})
			if tokens != sc.tokens {
				t.Errorf("got tokens %q, want %q", tokens, sc.tokens)
			}
			if (err == nil) != sc.complete || (err != nil && !errors.Is(err, ErrIncompleteResponse)) {
				t.Errorf("got error %v, want a complete answer: %t", err, sc.complete)
			}
		})
	}
}

// Guards against an answer of a host that states no outcome, taken for an answer.
func TestAnswerWithoutOutcomeIsIncomplete(t *testing.T) {
	docs := []string{``, `null`, `{}`, `{"request_id":"r"}`, `{"output":"x","stages":[]}`}
	for _, doc := range docs {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", doc, stream), func(t *testing.T) {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if stream {
						w.Header().Set("Content-Type", wire.TypeStream)
						_, _ = io.WriteString(w, "event: done\ndata: "+doc+"\n\n")
						return
					}
					w.Header().Set("Content-Type", wire.TypeJSON)
					_, _ = io.WriteString(w, doc)
				}))
				defer s.Close()
				c := New([]string{s.URL}, "token")
				if a, err := c.Send(t.Context(), Call{Pipeline: "p", OnToken: func(wire.Token) {}}, 0); !errors.Is(err, ErrIncompleteResponse) {
					t.Errorf("got answer %+v and error %v, want ErrIncompleteResponse", a, err)
				}
				if stream {
					return
				}
				if a, err := c.Outcome(t.Context(), "key"); !errors.Is(err, ErrIncompleteResponse) {
					t.Errorf("got outcome %+v and error %v, want ErrIncompleteResponse", a, err)
				}
			})
		}
	}
}

// Guards against the end of a host taken for the outcome of a key.
func TestOutcomeIsReadOnlyWithItsLastByte(t *testing.T) {
	const doc = `{"request_id":"r","outcome":"answered","output":"x","stages":[]}`
	sent := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// net/http then neither adds a length nor uses chunks.
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, doc[:sent])
	}))
	defer s.Close()
	c := New([]string{s.URL}, "token")
	for sent = range len(doc) + 1 {
		if _, err := c.Outcome(t.Context(), "key"); (err == nil) != (sent == len(doc)) {
			t.Fatalf("after %d of %d bytes the error is %v", sent, len(doc), err)
		}
	}
}
