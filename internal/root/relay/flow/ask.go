package flow

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Ask holds the values parsed from the headers of a caller's request.
type Ask struct {
	ID string
	// Wait is how long the caller waits for the response, or 0 if it sets no limit.
	Wait time.Duration
	// Key identifies the caller's account.
	Key string
	// LastEvent is the id of the last stream event that the caller received, or "".
	LastEvent string
	// Prompt is the number of prompt tokens, and Output the maximum number of generated tokens.
	Prompt int
	Output int
	// Parts are the parts of the prompt in order. Other requests share all but the last.
	Parts []Part
	// Pieces is the number of pieces of each stage. PieceKey identifies the input of the stages that depend on no other stage.
	Pieces   []int
	PieceKey string
}

// Part is a part of a prompt that upstreams may have cached.
type Part struct {
	ID     string
	Tokens int
}

// affinityHash returns the hash of the shared prompt parts, or 0 if there are none.
func (a Ask) affinityHash() uint64 {
	if len(a.Parts) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, p := range a.sharedParts() {
		// Writing to a hash never fails.
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// sharedParts returns the parts of the prompt that other requests share. A single part is shared by the requests of a session.
func (a Ask) sharedParts() []Part {
	return a.Parts[:min(len(a.Parts), max(1, len(a.Parts)-1))]
}

// sharedTokens returns the number of tokens in the shared parts.
func (a Ask) sharedTokens() int64 {
	n := 0
	for _, p := range a.sharedParts() {
		n += p.Tokens
	}
	return int64(n)
}

// pieceCount returns the number of pieces of a stage.
func (a Ask) pieceCount(stage int) int {
	if stage < len(a.Pieces) {
		return a.Pieces[stage]
	}
	return 0
}

// Send holds the values that this host sets in the headers of a request to an upstream.
type Send struct {
	// Left is the time that the upstream may take.
	Left time.Duration
	// Upstream is the name of the intended upstream. Any other upstream refuses the request.
	Upstream string
	Account  string
	// LastEvent is the id of the last event that the caller received, or "".
	LastEvent string
	// Staged reports that the request needs the results of its stages. Inputs are their handles.
	Staged bool
	Inputs []string
	// Rank is 0 for the most urgent requests.
	Rank int
}

// Head holds the values parsed from the head of an upstream's response.
type Head struct {
	// NotRun reports that the upstream ran no part of the request, according to its response.
	NotRun bool
	// Moved reports that the address to which the request was sent now belongs to another upstream.
	Moved bool
	// Gone reports that a stage result that the request needs no longer exists.
	Gone bool
	// Foreign reports that the response belongs to another request.
	Foreign bool
	// Signed reports that the upstream marked the response as its own response to this request.
	Signed bool
	// Load is the upstream's load, or nil if the response does not report it.
	Load *stage.Load
}

// Headers translates between HTTP headers and their parsed values.
type Headers interface {
	// Ask parses the headers of a caller's request and removes those that must not be forwarded.
	Ask(h http.Header) (Ask, error)
	// Send sets the headers of a request to an upstream.
	Send(h http.Header, s Send)
	// Read parses the head of a response. id is the ID of the request.
	Read(id string, status int, h http.Header) Head
	// Wait formats the value of a Retry-After header.
	Wait(d time.Duration) string
}
