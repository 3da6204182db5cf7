package flow

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// errNotContinued reports an event that does not continue the stream after the events that the caller has.
var errNotContinued = errors.New("upstream's stream does not continue the caller's")

// streamPosition is how far the caller has received a stream, over all upstreams that send parts of it. It decides whether an event continues the stream.
type streamPosition struct {
	// lastID is the id of the last event that has one, or "".
	lastID string
	// pastLastID reports that the caller has received events without an id since. An upstream that continues after lastID sends them again.
	pastLastID bool
	// joining reports that a further part of the stream begins and has had no event with data or an id yet.
	joining bool
}

// beginPart records that the next event comes from an upstream that was asked to continue after lastID.
func (p *streamPosition) beginPart() {
	p.joining = p.lastID != ""
}

// check returns errNotContinued unless the event may follow what the caller has received. A part that begins with data without an id is not accepted, as nothing shows that the upstream did not begin the stream again.
func (p *streamPosition) check(ev event) error {
	switch {
	case ev.id == "" && ev.hasData && p.joining:
		return fmt.Errorf("event without an id after event %q: %w", clipID(p.lastID), errNotContinued)
	case ev.id != "" && p.lastID != "" && !mayFollow(p.lastID, ev.id):
		return fmt.Errorf("event %q after event %q: %w", clipID(ev.id), clipID(p.lastID), errNotContinued)
	}
	return nil
}

// advance records that the caller has received the event. An event with neither data nor an id, such as a comment, does not change the position.
func (p *streamPosition) advance(ev event) {
	switch {
	case ev.id != "":
		p.lastID = ev.id
		p.pastLastID = false
		p.joining = false
	case ev.hasData:
		p.pastLastID = true
	}
}

// isKnown reports whether an upstream that continues after lastID sends no event that the caller has.
func (p *streamPosition) isKnown() bool {
	return p.lastID != "" && !p.pastLastID
}

// mayFollow reports whether an event with the id next may come after one with the id last. Ids increase, but the protocol defines no order of ids that are not decimal integers, so those must only differ.
func mayFollow(last, next string) bool {
	if !isDecimal(last) || !isDecimal(next) {
		return last != next
	}
	// Ids are compared as text, as they may have more digits than an integer type holds.
	last = strings.TrimLeft(last, "0")
	next = strings.TrimLeft(next, "0")
	if len(last) != len(next) {
		return len(last) < len(next)
	}
	return last < next
}

// isDecimal reports whether the id is an unsigned decimal integer.
func isDecimal(id string) bool {
	return id != "" && strings.Trim(id, "0123456789") == ""
}
