package flow

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Ask is what the headers of a caller's request say.
type Ask struct {
	ID string
	// Wait is how long the caller waits, or 0 where it does not say.
	Wait time.Duration
	// Key names the caller's account.
	Key string
	// LastEvent is the id of the last event of a stream that the caller has, or "".
	LastEvent string
	// Prompt and Output are the tokens read and, at the most, made.
	Prompt int
	Output int
	// Parts are the parts of the prompt in order, which requests share but for the last.
	Parts []Part
	// Pieces is the number of pieces of each stage, and PieceKey what those of the first stages are made from.
	Pieces   []int
	PieceKey string
}

// Part is a part of a prompt that upstreams may have read before.
type Part struct {
	ID     string
	Tokens int
}

// affinity is the hash of the parts that requests share, or 0.
func (a Ask) affinity() uint64 {
	if len(a.Parts) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, p := range a.shared() {
		// A hash never fails to take bytes.
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// shared returns the parts of the prompt that other requests have as well; a single part is the session's.
func (a Ask) shared() []Part {
	return a.Parts[:min(len(a.Parts), max(1, len(a.Parts)-1))]
}

// sharedTokens returns the length of the shared parts.
func (a Ask) sharedTokens() int64 {
	n := 0
	for _, p := range a.shared() {
		n += p.Tokens
	}
	return int64(n)
}

// pieces returns the number of pieces of a stage.
func (a Ask) pieces(stage int) int {
	if stage < len(a.Pieces) {
		return a.Pieces[stage]
	}
	return 0
}

// Send is what the system itself says to an upstream.
type Send struct {
	// Left is how long the upstream may work.
	Left time.Duration
	// Upstream is the one that is meant; any other refuses the request.
	Upstream string
	Account  string
	// LastEvent is the id of the last event that the caller has, or "".
	LastEvent string
	// Staged says that the request needs the results of its stages, whose handles are Inputs.
	Staged bool
	Inputs []string
	// Rank is 0 for the most urgent.
	Rank int
}

// Head is what the head of an upstream's answer means.
type Head struct {
	// NotRun is the upstream's word that it ran nothing.
	NotRun bool
	// Moved says that another upstream has the address.
	Moved bool
	// Gone says that a result of a stage is no longer there.
	Gone bool
	// Foreign says that it is the answer to another request.
	Foreign bool
	// Signed says that the upstream answered this request itself.
	Signed bool
	// Load is the upstream's load, or nil.
	Load *stage.Load
}

// Headers translates between headers and what they mean.
type Headers interface {
	// Ask reads a caller's headers and takes out those that are not passed on.
	Ask(h http.Header) (Ask, error)
	// Send sets the headers of a request to an upstream.
	Send(h http.Header, s Send)
	// Read says what the head of an answer to the request of the id means.
	Read(id string, status int, h http.Header) Head
	// Wait renders when to come back.
	Wait(d time.Duration) string
}
