package flow

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/root/limit"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/stage"
)

// RequestHead holds the values parsed from the headers of a caller's request.
type RequestHead struct {
	ID string
	// CallerTimeout is how long the caller waits for the response, or 0 if it sets no limit.
	CallerTimeout time.Duration
	// Key identifies the caller's account.
	Key string
	// LastEvent is the id of the last stream event that the caller received, or "".
	LastEvent string
	// Resumes is the ID of the caller's request that brought the first event of the stream that this one resumes, or "".
	Resumes string
	// PromptTokens is the number of prompt tokens, and MaxOutputTokens the maximum number of generated tokens.
	PromptTokens    int
	MaxOutputTokens int
	// PromptParts are the parts of the prompt in order. Other requests share all but the last.
	PromptParts []PromptPart
	// Pieces is the number of pieces of each stage. PieceKey identifies the input of the stages that depend on no other stage.
	Pieces   []int
	PieceKey string
}

const (
	// maxLoggedParts is the maximum number of prompt parts in one log line, and maxLoggedPartBytes the maximum length of the ID of each.
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
	// maxLoggedIDBytes is the maximum length of the ID of another request in a log line.
	maxLoggedIDBytes = 64
)

// PromptPart is a part of a prompt that upstreams may have cached.
type PromptPart struct {
	ID     string
	Tokens int
}

// affinityHash returns the hash of the shared prompt parts, or 0 if there are none.
func (h RequestHead) affinityHash() uint64 {
	if len(h.PromptParts) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, p := range h.sharedParts() {
		// Writing to a hash never fails.
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// sharedParts returns the parts of the prompt that other requests share. A single part is shared by the requests of a session.
func (h RequestHead) sharedParts() []PromptPart {
	return h.PromptParts[:min(len(h.PromptParts), max(1, len(h.PromptParts)-1))]
}

// partNames returns the IDs of the first prompt parts, separated by commas, for the log.
func (h RequestHead) partNames() string {
	var names []string
	for _, p := range h.PromptParts[:min(len(h.PromptParts), maxLoggedParts)] {
		names = append(names, p.ID[:min(len(p.ID), maxLoggedPartBytes)])
	}
	return strings.Join(names, ",")
}

// sharedTokens returns the number of tokens in the shared parts.
func (h RequestHead) sharedTokens() int64 {
	n := 0
	for _, p := range h.sharedParts() {
		n += p.Tokens
	}
	return int64(n)
}

// prompt returns the size of the prompt.
func (h RequestHead) prompt() route.Prompt {
	return route.Prompt{
		Tokens: h.PromptTokens,
		Shared: min(h.PromptTokens, int(h.sharedTokens())),
	}
}

// pieceCount returns the number of pieces of a stage.
func (h RequestHead) pieceCount(stage int) int {
	if stage < len(h.Pieces) {
		return h.Pieces[stage]
	}
	return 0
}

// UpstreamRequestHead holds the values that this host sets in the headers of a request to an upstream.
type UpstreamRequestHead struct {
	// TimeLeft is the time that the upstream may take.
	TimeLeft time.Duration
	// Upstream is the name of the intended upstream. Any other upstream refuses the request.
	Upstream string
	Account  string
	// LastEvent is the id of the last event that the caller received, or "".
	LastEvent string
	// NeedsStageResults reports that the request needs the results of its stages. Inputs are their handles.
	NeedsStageResults bool
	Inputs            []string
	// Rank is 0 for the most urgent requests.
	Rank int
}

// ResponseHead holds the values parsed from the head of an upstream's response.
type ResponseHead struct {
	// NotRun reports that the upstream ran no part of the request, according to its response.
	NotRun bool
	// AddressReassigned reports that the address to which the request was sent now belongs to another upstream.
	AddressReassigned bool
	// StageResultLost reports that a stage result that the request needs no longer exists.
	StageResultLost bool
	// OtherRequest reports that the response belongs to another request.
	OtherRequest bool
	// Signed reports that the upstream marked the response as its own response to this request.
	Signed bool
	// Leaving reports that the upstream announced that it is leaving.
	Leaving bool
	// PauseFor is how long the upstream wants no requests from this host, or 0.
	PauseFor time.Duration
	// Limit is what the response states of the limit of the upstream.
	Limit limit.Statement
	// Brittle is how many requests per second the upstream can turn away for want of room without falling over, or 0 for any number.
	Brittle int
	// Load is the upstream's load, or nil if the response does not report it.
	Load *stage.Load
}

// statesLimit reports whether the response states the limit of its upstream, or that there is none. Bytes that no upstream signed, and the response of another upstream at the address, state nothing.
func (h ResponseHead) statesLimit() bool {
	return h.isOwn() && h.Limit.Known
}

// isOwn reports whether the response is that of the upstream which the request was sent to.
func (h ResponseHead) isOwn() bool {
	return (h.Signed || h.NotRun) && !h.AddressReassigned && !h.OtherRequest
}

// wasFull reports whether the upstream turned the request away for want of room.
func (h ResponseHead) wasFull() bool {
	return h.NotRun && h.isOwn() && !h.StageResultLost && h.PauseFor == 0
}

// HeaderCodec translates between HTTP headers and their parsed values.
type HeaderCodec interface {
	// RequestHead parses the headers of a caller's request and removes those that must not be forwarded.
	RequestHead(h http.Header) (RequestHead, error)
	// UpstreamRequestHead sets the headers of a request to an upstream.
	UpstreamRequestHead(h http.Header, s UpstreamRequestHead)
	// ParseResponse parses the head of a response. id is the ID of the request.
	ParseResponse(id string, status int, h http.Header) ResponseHead
	// FormatRetryAfter formats the value of a Retry-After header.
	FormatRetryAfter(d time.Duration) string
}
