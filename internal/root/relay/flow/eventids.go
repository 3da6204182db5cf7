package flow

import "strings"

const (
	// maxLoggedRanges bounds the parts of a stream whose event ids are logged.
	maxLoggedRanges = 8
	// maxLoggedEventID bounds the length of a logged event id, in bytes.
	maxLoggedEventID = 32
)

// idRange is the first and the last event id of a part of a stream.
type idRange struct {
	send        int
	first, last string
}

// eventIDs are the ids of the events that a caller received, by the send whose upstream wrote them.
type eventIDs struct {
	parts []idRange
}

// add adds the id of the next event, which the upstream of the send with the number wrote. An event without an id adds nothing.
func (e *eventIDs) add(id string, send int) {
	if id == "" {
		return
	}
	n := len(e.parts)
	if n == 0 || e.parts[n-1].send != send {
		if n == maxLoggedRanges {
			return
		}
		e.parts = append(e.parts, idRange{
			send:  send,
			first: id,
		})
		n++
	}
	e.parts[n-1].last = id
}

// String returns the first and last id of each part, as in "1-3 4-9".
func (e *eventIDs) String() string {
	var out []string
	for _, p := range e.parts {
		out = append(out, clipID(p.first)+"-"+clipID(p.last))
	}
	return strings.Join(out, " ")
}

func clipID(id string) string {
	return id[:min(len(id), maxLoggedEventID)]
}
