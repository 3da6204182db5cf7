package serve

import (
	"net/http"
	"strings"
	"time"
)

const (
	part      = "data: part\n\n"
	shortBody = "short"
	// largePart is more than the buffers of net/http hold, and one piece of the connection.
	largePart = 3 * writePiece
	// longHeader makes a head longer than the buffer of net/http for a connection.
	longHeader = 6 << 10
	// wholeBytes is the size of the whole response. It is more than the buffers of the kernel hold for a client that does not read.
	wholeBytes = 16 << 20
)

// testHandler returns the handler of the server in a process.
func testHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/part", writeAndWait(part))
	mux.HandleFunc("/large-part", writeAndWait(strings.Repeat("x", largePart)))
	mux.HandleFunc("/long-head", withHeader("Long", strings.Repeat("h", longHeader), writeAndWait(part)))
	mux.HandleFunc("/identity", withHeader("Transfer-Encoding", "identity", writeAndWait(part)))
	mux.HandleFunc("/with-length", withHeader("Content-Length", "1000", writeAndWait(part)))
	mux.HandleFunc("/abort", func(w http.ResponseWriter, _ *http.Request) {
		writeFlushed(w, part)
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("/reset", func(w http.ResponseWriter, _ *http.Request) {
		writeFlushed(w, part)
		// The client sees whether the connection was reset.
		_ = ResetConn(w)
	})
	mux.HandleFunc("/evict", func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, part)
		connOf(r).Evict()
	})
	mux.HandleFunc("/interrupt", func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, part)
		connOf(r).interrupt()
		<-r.Context().Done()
	})
	mux.HandleFunc("/unsent-rest", func(w http.ResponseWriter, _ *http.Request) {
		writeFlushed(w, part)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		// These bytes stay in a buffer until the handler has returned.
		_, _ = w.Write([]byte(part))
	})
	mux.HandleFunc("/write-deadline", writePastDeadline)
	mux.HandleFunc("/whole", func(w http.ResponseWriter, _ *http.Request) {
		writeFlushed(w, strings.Repeat("x", wholeBytes))
	})
	mux.HandleFunc("/whole-unflushed", func(w http.ResponseWriter, _ *http.Request) {
		// A write error means that the client has disconnected.
		_, _ = w.Write([]byte(strings.Repeat("x", wholeBytes)))
	})
	mux.HandleFunc("/short", func(w http.ResponseWriter, _ *http.Request) {
		// A write error means that the client has disconnected.
		_, _ = w.Write([]byte(shortBody))
	})
	mux.HandleFunc("/no-content", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/not-modified", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
	})
	return mux
}

// writeFlushed writes and flushes a part of a response.
func writeFlushed(w http.ResponseWriter, body string) {
	// A write error means that the client has disconnected.
	_, _ = w.Write([]byte(body))
	_ = http.NewResponseController(w).Flush()
}

// writeAndWait returns a handler that writes a part of a response, and then waits until the client or the process ends.
func writeAndWait(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, body)
		<-r.Context().Done()
	}
}

// withHeader returns a handler that sets a header before h runs.
func withHeader(name, value string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		h(w, r)
	}
}

// writePastDeadline writes the whole response with a deadline that a client that does not read misses, and returns as if it was written.
func writePastDeadline(w http.ResponseWriter, _ *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	writeFlushed(w, strings.Repeat("x", wholeBytes))
}
