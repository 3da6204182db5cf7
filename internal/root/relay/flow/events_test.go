package flow

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEventReaderSplitsStreamIntoEvents(t *testing.T) {
	scenarios := []struct {
		name   string
		stream string
		events []string
		ids    []string
		rest   string
	}{
		{name: "events with ids", stream: "id: 1\ndata: a\n\nid:2\ndata: b\n\n", events: []string{"id: 1\ndata: a\n\n", "id:2\ndata: b\n\n"}, ids: []string{"1", "2"}},
		{name: "lines ending in CRLF", stream: "id: 1\r\ndata: a\r\n\r\n", events: []string{"id: 1\r\ndata: a\r\n\r\n"}, ids: []string{"1"}},
		{name: "an event without an id", stream: "data: a\n\n", events: []string{"data: a\n\n"}, ids: []string{""}},
		{name: "a truncated event", stream: "id: 1\n\nid: 2\ndata: b", events: []string{"id: 1\n\n"}, ids: []string{"1"}, rest: "id: 2\ndata: b"},
		{name: "an event without its blank line", stream: "id: 1\ndata: a\n", rest: "id: 1\ndata: a\n"},
		{name: "an empty stream"},
		{name: "a line longer than the read buffer", stream: "data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n", events: []string{"data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n"}, ids: []string{""}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			e := newEventReader(iotest.OneByteReader(strings.NewReader(sc.stream)))
			for i, want := range sc.events {
				raw, id, err := e.next()
				So(err, ShouldBeNil)
				So(string(raw), ShouldEqual, want)
				So(id, ShouldEqual, sc.ids[i])
			}
			raw, _, err := e.next()
			So(err, ShouldEqual, io.EOF)
			So(string(raw), ShouldEqual, sc.rest)
		})
	}
	Convey("After a read error in the middle of an event, none of its bytes are returned", t, func() {
		e := newEventReader(io.MultiReader(strings.NewReader("id: 1\ndata"), iotest.ErrReader(io.ErrUnexpectedEOF)))
		raw, _, err := e.next()
		So(raw, ShouldBeEmpty)
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
	})
	Convey("An event above the size limit is refused", t, func() {
		e := newEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+readBufferBytes)))
		_, _, err := e.next()
		So(err, ShouldEqual, errEventTooLong)
	})
}

// FuzzEventReader checks that the concatenated results equal the input.
func FuzzEventReader(f *testing.F) {
	for _, s := range []string{"", "\n", "\r\n\r\n", "id: 1\ndata: a\n\nid: 2", "data\n\n\n\n", "id:\n\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		e := newEventReader(strings.NewReader(s))
		var got strings.Builder
		for {
			raw, _, err := e.next()
			got.Write(raw)
			if err != nil {
				break
			}
		}
		if len(s) < maxEventBytes && got.String() != s {
			t.Fatalf("got %q, want %q", got.String(), s)
		}
	})
}
