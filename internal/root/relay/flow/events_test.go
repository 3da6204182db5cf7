package flow

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEvents(t *testing.T) {
	scenarios := []struct {
		name   string
		stream string
		events []string
		ids    []string
		rest   string
	}{
		{name: "events with ids", stream: "id: 1\ndata: a\n\nid:2\ndata: b\n\n", events: []string{"id: 1\ndata: a\n\n", "id:2\ndata: b\n\n"}, ids: []string{"1", "2"}},
		{name: "carriage returns", stream: "id: 1\r\ndata: a\r\n\r\n", events: []string{"id: 1\r\ndata: a\r\n\r\n"}, ids: []string{"1"}},
		{name: "an event without an id", stream: "data: a\n\n", events: []string{"data: a\n\n"}, ids: []string{""}},
		{name: "an event that is cut", stream: "id: 1\n\nid: 2\ndata: b", events: []string{"id: 1\n\n"}, ids: []string{"1"}, rest: "id: 2\ndata: b"},
		{name: "an event whose blank line is cut", stream: "id: 1\ndata: a\n", rest: "id: 1\ndata: a\n"},
		{name: "nothing"},
		{name: "a line above the buffer", stream: "data: " + strings.Repeat("x", 3*readSize) + "\n\n", events: []string{"data: " + strings.Repeat("x", 3*readSize) + "\n\n"}, ids: []string{""}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			e := newEvents(iotest.OneByteReader(strings.NewReader(sc.stream)))
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
	Convey("A break in the middle of an event gives nothing of it", t, func() {
		e := newEvents(io.MultiReader(strings.NewReader("id: 1\ndata"), iotest.ErrReader(io.ErrUnexpectedEOF)))
		raw, _, err := e.next()
		So(raw, ShouldBeEmpty)
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
	})
	Convey("An event without an end is given up", t, func() {
		e := newEvents(strings.NewReader(strings.Repeat("x", maxEvent+readSize)))
		_, _, err := e.next()
		So(err, ShouldEqual, errTooLong)
	})
}

// FuzzEvents holds the reader against its promise: what it returns, joined, is what it read.
func FuzzEvents(f *testing.F) {
	for _, s := range []string{"", "\n", "\r\n\r\n", "id: 1\ndata: a\n\nid: 2", "data\n\n\n\n", "id:\n\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		e := newEvents(strings.NewReader(s))
		var got strings.Builder
		for {
			raw, _, err := e.next()
			got.Write(raw)
			if err != nil {
				break
			}
		}
		if len(s) < maxEvent && got.String() != s {
			t.Fatalf("got %q, want %q", got.String(), s)
		}
	})
}
