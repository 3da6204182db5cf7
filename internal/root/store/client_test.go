package store

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Guards against a document that no call ever reads, since it takes longer than the time limit of a call over the link of a host (issue 49), and against a call that hangs once its first bytes have arrived.
func TestObjectIsReadAsLongAsItsBytesArrive(t *testing.T) {
	const (
		timeout = 200 * time.Millisecond
		parts   = 10
	)
	part := bytes.Repeat([]byte("x"), 10_000)
	cases := []struct {
		name string
		sent int
		err  error
	}{
		{name: "all parts arrive, each in time", sent: parts},
		{name: "the parts stop", sent: 3, err: ErrUnknownOutcome},
	}
	for _, sc := range cases {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for range sc.sent {
					time.Sleep(timeout / 4)
					_, _ = w.Write(part)
					w.(http.Flusher).Flush()
				}
				if sc.sent < parts {
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			c := New(common.NewQuietDeps("host-1", "z"), server.URL, WithTimeout(timeout))
			began := time.Now()
			data, err := c.Object(t.Context(), "document")
			if !errors.Is(err, sc.err) || (sc.err == nil && len(data) != parts*len(part)) {
				t.Errorf("got %d bytes and error %v", len(data), err)
			}
			if took := time.Since(began); sc.err != nil && took > 4*timeout {
				t.Errorf("the call took %v", took)
			}
		})
	}
}
