package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
)

// eventEnd ends each event of a stream.
const eventEnd = "\n\n"

// eventSuffix returns the end of the data of each event that an engine of the software version writes.
func eventSuffix(version string) string {
	return " of " + version
}

// eventTexts returns the events of a stream from one number to another, as an engine of the software version writes them.
func eventTexts(from, to int, version string) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d%s%s", i, i, eventSuffix(version), eventEnd)
	}
	return b.String()
}

// versionOf returns the software version in the first event of a stream, as far as that has come.
func versionOf(stream string) string {
	first, _, _ := strings.Cut(stream, eventEnd)
	_, version, _ := strings.Cut(first, eventSuffix(""))
	return strings.TrimSuffix(version, "\n")
}

// countEvents returns the number of complete events.
func countEvents(stream string) int {
	return strings.Count(stream, eventEnd)
}

// completeEvents returns the stream without the event in which it broke off.
func completeEvents(stream string) string {
	i := strings.LastIndex(stream, eventEnd)
	if i < 0 {
		return ""
	}
	return stream[:i+len(eventEnd)]
}

// firstID returns the ID of the first attempt.
func (r *request) firstID() string {
	return cmp.Or(r.First, r.ID)
}

// joined returns the stream that all attempts have got so far, or the plain body.
func (r *request) joined() string {
	return r.Before + r.Body
}

// holdsEvents reports whether the body is a stream, whole or not, with the signature of a server.
func (r *request) holdsEvents() bool {
	return r.Route.streamed() && r.Status == http.StatusOK && r.Stamped
}

// broken reports whether the response to an attempt is not whole, and the client holds events of a stream that it can take up.
func (r *request) broken() bool {
	events := r.Before
	if r.holdsEvents() {
		events = r.joined()
	}
	return r.Route.Resumable && !r.whole() && countEvents(events) > 0 && r.Status != http.StatusUnauthorized
}

// takeUp returns the attempt that goes on after the last complete event.
func (r *request) takeUp() request {
	before := r.Before
	if r.holdsEvents() {
		before = completeEvents(r.joined())
	}
	return request{
		First:    r.firstID(),
		Before:   before,
		Route:    r.Route,
		Key:      r.Key,
		Crashing: r.Crashing,
	}
}

// wantBody returns the body of a whole response to the request, and of earlier attempts. A stream has the software version of its first event.
func (r *request) wantBody() string {
	if !r.Route.streamed() {
		return "body of " + r.ID
	}
	return eventTexts(1, streamEvents, cmp.Or(versionOf(r.joined()), "v1"))
}
