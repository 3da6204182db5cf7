package flow

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

func TestEventReaderSplitsStreamIntoEvents(t *testing.T) {
	scenarios := []struct {
		name   string
		stream string
		events []string
		ids    []string
		// partial is set if the stream ends inside an event.
		partial bool
	}{
		{name: "events with ids", stream: "id: 1\ndata: a\n\nid:2\ndata: b\n\n", events: []string{"id: 1\ndata: a\n\n", "id:2\ndata: b\n\n"}, ids: []string{"1", "2"}},
		{name: "lines ending in CRLF", stream: "id: 1\r\ndata: a\r\n\r\n", events: []string{"id: 1\r\ndata: a\r\n\r\n"}, ids: []string{"1"}},
		{name: "an event without an id", stream: "data: a\n\n", events: []string{"data: a\n\n"}, ids: []string{""}},
		{name: "a truncated event", stream: "id: 1\n\nid: 2\ndata: b", events: []string{"id: 1\n\n"}, ids: []string{"1"}, partial: true},
		{name: "an event without its blank line", stream: "id: 1\ndata: a\n", partial: true},
		{name: "only the first byte of a line ending", stream: "id: 1\r\n\r\nid: 2\r\n\r", events: []string{"id: 1\r\n\r\n"}, ids: []string{"1"}, partial: true},
		{name: "an empty stream"},
		{name: "a line longer than the read buffer", stream: "data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n", events: []string{"data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n"}, ids: []string{""}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			e := newEventReader(iotest.OneByteReader(strings.NewReader(sc.stream)), send.FramedByChunks)
			for i, want := range sc.events {
				ev, err := e.next()
				So(err, ShouldBeNil)
				So(string(ev.raw), ShouldEqual, want)
				So(ev.id, ShouldEqual, sc.ids[i])
			}
			ev, err := e.next()
			So(ev.raw, ShouldBeEmpty)
			So(err == io.EOF, ShouldEqual, !sc.partial)
			So(errors.Is(err, errPartialEvent), ShouldEqual, sc.partial)
		})
	}
	Convey("After a read error in the middle of an event, none of its bytes are returned", t, func() {
		e := newEventReader(io.MultiReader(strings.NewReader("id: 1\ndata"), iotest.ErrReader(io.ErrUnexpectedEOF)), send.FramedByChunks)
		ev, err := e.next()
		So(ev.raw, ShouldBeEmpty)
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
	})
	Convey("An event above the size limit is refused", t, func() {
		e := newEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+readBufferBytes)), send.FramedByChunks)
		_, err := e.next()
		So(err, ShouldEqual, errEventTooLong)
	})
}

func TestEventReaderReportsEndOfStream(t *testing.T) {
	scenarios := []struct {
		name    string
		framing send.Framing
		stream  string
		err     error
	}{
		{name: "a chunked stream without events", framing: send.FramedByChunks, err: io.EOF},
		{name: "an empty stream of known length", framing: send.FramedByLength, err: io.EOF},
		{name: "an unframed stream without events", framing: send.FramedByClose, err: errNoEvents},
		{name: "an unframed stream that ends after a comment", framing: send.FramedByClose, stream: ": ping\n\n", err: errNoEvents},
		{name: "an unframed stream that ends after an empty line and a retry time", framing: send.FramedByClose, stream: "\nretry: 5\n\n", err: errNoEvents},
		{name: "a chunked stream that ends after a comment", framing: send.FramedByChunks, stream: ": ping\n\n", err: io.EOF},
		{name: "an unframed stream that ends after an event", framing: send.FramedByClose, stream: "id: 1\n\n", err: io.EOF},
		{name: "an unframed stream that ends inside its first event", framing: send.FramedByClose, stream: "id: 1\n", err: errPartialEvent},
		{name: "a chunked stream that ends inside an event", framing: send.FramedByChunks, stream: "id: 1\n\nid", err: errPartialEvent},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			e := newEventReader(strings.NewReader(sc.stream), sc.framing)
			var err error
			for err == nil {
				_, err = e.next()
			}
			So(errors.Is(err, sc.err), ShouldBeTrue)
		})
	}
}

// FuzzEventReader compares the events and the error at the end with those of a reader that splits the whole stream at once.
func FuzzEventReader(f *testing.F) {
	for _, s := range []string{"", "\n", "\r\n\r\n", "id: 1\ndata: a\n\nid: 2", "data\n\n\n\n", "id:\n\n", "id: 1\n", "a\r\r\n\r\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if len(s) >= maxEventBytes {
			return
		}
		want, partial := splitEvents(s)
		e := newEventReader(strings.NewReader(s), send.FramedByChunks)
		for _, w := range want {
			ev, err := e.next()
			if err != nil || string(ev.raw) != w {
				t.Fatalf("got event %q and error %v, want event %q", ev.raw, err, w)
			}
		}
		ev, err := e.next()
		if len(ev.raw) > 0 || (err == io.EOF) == partial || errors.Is(err, errPartialEvent) != partial {
			t.Fatalf("got event %q and error %v at the end, want a partial event: %t", ev.raw, err, partial)
		}
	})
}

// splitEvents splits a stream after each empty line. partial reports that bytes follow the last one.
func splitEvents(s string) (events []string, partial bool) {
	event := ""
	for line := range strings.Lines(s) {
		event += line
		if strings.HasSuffix(line, "\n") && strings.Trim(line, "\r\n") == "" {
			events = append(events, event)
			event = ""
		}
	}
	return events, event != ""
}
