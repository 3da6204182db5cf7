package jhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/intact"
)

func TestDo(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"said":"`+r.Method+" "+r.Header.Get("X-A")+" "+r.Header.Get("Content-Type")+" "+strings.ReplaceAll(string(body), `"`, "'")+`"}`)
	}))
	defer s.Close()
	scenarios := []struct {
		name string
		call Call
		want string
		err  string
	}{
		{name: "request with a body", call: Call{Method: "POST", URL: s.URL, Body: map[string]int{"n": 1}, Header: http.Header{"X-A": {"b"}}, Limit: 1000}, want: "POST b application/json {'n':1}"},
		{name: "request without a body", call: Call{Method: "GET", URL: s.URL, Limit: 1000}, want: "GET   "},
		{name: "response longer than limit", call: Call{Method: "GET", URL: s.URL, Limit: 5}, err: "decode answer"},
		{name: "request body that JSON cannot encode", call: Call{Method: "POST", URL: s.URL, Body: func() {}}, err: "encode call"},
		{name: "invalid URL", call: Call{Method: "GET", URL: "::"}, err: "make call"},
		{name: "connection refused", call: Call{Method: "GET", URL: "http://127.0.0.1:1"}, err: "send call"},
		{name: "server that does not respond", call: Call{Method: "GET", URL: s.URL + "/hang"}, err: "send call"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			var got struct {
				Said string `json:"said"`
			}
			resp, err := Do(ctx, http.DefaultTransport, sc.call)
			if err == nil {
				err = Decode(resp.Body, &got)
			}
			if sc.err != "" {
				if err == nil || !strings.Contains(err.Error(), sc.err) {
					t.Fatalf("got error %v, want %q", err, sc.err)
				}
				return
			}
			if err != nil || resp.Status != http.StatusAccepted || got.Said != sc.want {
				t.Errorf("got status %d, echo %q, error %v; want echo %q", resp.Status, got.Said, err, sc.want)
			}
		})
	}
}

// A peer that dies can close its connection in order, so the end of the connection must not pass for the end of a response.
func TestResponseIsDecodedOnlyWithItsLastByte(t *testing.T) {
	const doc = `{"items":[{"handle":"a"},{"reason":"gone"}],"ver":7}`
	sent := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// net/http then neither adds a length nor uses chunks.
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, doc[:sent])
	}))
	defer s.Close()
	for sent = range len(doc) + 1 {
		resp, err := Do(t.Context(), http.DefaultTransport, Call{Method: http.MethodGet, URL: s.URL, Limit: 1000})
		if err == nil {
			err = Decode(resp.Body, &struct{}{})
		}
		if (err == nil) != (sent == len(doc)) {
			t.Fatalf("after %d of %d bytes the error is %v", sent, len(doc), err)
		}
	}
}

// Guards against bytes that are no response and count as one (class of MIXED of issue 54).
func TestBytesThatAreNoResponseAreNoAnswer(t *testing.T) {
	heads := []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n"}
	for _, head := range heads {
		t.Run(strings.TrimSpace(head), func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
			}))
			defer s.Close()
			resp, err := Do(t.Context(), http.DefaultTransport, Call{Method: "GET", URL: s.URL, Limit: 1000})
			if !errors.Is(err, intact.ErrNoResponse) || resp.Status != 0 {
				t.Errorf("got status %d and error %v, want that it is no response", resp.Status, err)
			}
		})
	}
}
