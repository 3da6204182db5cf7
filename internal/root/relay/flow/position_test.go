package flow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

func TestNextIDMayFollowOnlyIfItIsLarger(t *testing.T) {
	scenarios := []struct {
		last, next string
		want       bool
	}{
		{last: "1", next: "2", want: true},
		{last: "1", next: "7", want: true},
		{last: "0", next: "1", want: true},
		{last: "9", next: "10", want: true},
		{last: "09", next: "010", want: true},
		{last: "18446744073709551615", next: "18446744073709551616", want: true},
		{last: "99999999999999999999999999999999", next: "100000000000000000000000000000000", want: true},
		{last: "2", next: "2"},
		{last: "2", next: "1"},
		{last: "10", next: "9"},
		{last: "2", next: "02"},
		{last: "0", next: "00"},
		{last: "1", next: "0"},
		{last: "18446744073709551617", next: "1"},
		{last: "18446744073709551616", next: "18446744073709551615"},
		{last: "a", next: "a"},
		{last: "-1", next: "-1"},
		// The protocol defines no order of ids like these.
		{last: "a", next: "b", want: true},
		{last: "b", next: "a", want: true},
		{last: "2", next: "a", want: true},
		{last: "a", next: "1", want: true},
		{last: "2", next: "-1", want: true},
		{last: "2", next: "+1", want: true},
		{last: "2", next: "1.5", want: true},
	}
	for _, sc := range scenarios {
		t.Run(fmt.Sprintf("%q after %q", sc.next, sc.last), func(t *testing.T) {
			if got := mayFollow(sc.last, sc.next); got != sc.want {
				t.Errorf("got %t, want %t", got, sc.want)
			}
		})
	}
}

func TestPositionAcceptsOnlyEventsThatContinueTheStream(t *testing.T) {
	const ping, retry, data, cleared = ": ping\n\n", "retry: 5\n\n", "data: x\n\n", "id:\ndata: x\n\n"
	numbered := func(ids ...string) string {
		text := ""
		for _, id := range ids {
			text += "id: " + id + "\ndata: x\n\n"
		}
		return text
	}
	scenarios := []struct {
		name string
		// last is the id with which the caller resumes the stream, and parts are what upstreams send one after another.
		last  string
		parts []string
		// accepted is the number of events that are accepted, and known whether the stream can be resumed after them.
		accepted int
		known    bool
	}{
		{name: "ids that increase", parts: []string{numbered("1", "2", "5")}, accepted: 3, known: true},
		{name: "a first id of 0", parts: []string{numbered("0", "1")}, accepted: 2, known: true},
		{name: "an id that comes twice", parts: []string{numbered("1", "2", "2", "3")}, accepted: 2, known: true},
		{name: "ids that go back", parts: []string{numbered("1", "2", "1")}, accepted: 2, known: true},
		{name: "a part that continues", parts: []string{numbered("1", "2"), numbered("3")}, accepted: 3, known: true},
		{name: "a part that skips ids", parts: []string{numbered("1", "2"), numbered("4")}, accepted: 3, known: true},
		{name: "a part that begins again", parts: []string{numbered("1", "2"), numbered("1", "2", "3")}, accepted: 2, known: true},
		{name: "a part that repeats one event", parts: []string{numbered("1", "2"), numbered("2", "3")}, accepted: 2, known: true},
		{name: "a third part after one that begins again", parts: []string{numbered("1", "2"), numbered("1"), numbered("3")}, accepted: 3, known: true},
		{name: "a part without events", parts: []string{numbered("1", "2"), ""}, accepted: 2, known: true},
		{name: "a stream that the caller resumes", last: "2", parts: []string{numbered("3", "4")}, accepted: 2, known: true},
		{name: "a stream that the caller resumes and that begins again", last: "2", parts: []string{numbered("1", "2", "3")}, known: true},
		{name: "a stream that the caller resumes and that repeats the last event", last: "2", parts: []string{numbered("2")}, known: true},
		{name: "a stream that the caller resumes after an id without an order", last: "x", parts: []string{numbered("1")}, accepted: 1, known: true},
		{name: "a stream that the caller resumes after an id without an order, which comes again", last: "x", parts: []string{numbered("x")}, known: true},
		{name: "comments", last: "2", parts: []string{ping + retry + numbered("3") + ping}, accepted: 4, known: true},
		{name: "only comments", parts: []string{ping + retry}, accepted: 2},
		{name: "a part that begins again after a comment", last: "2", parts: []string{ping + numbered("1")}, accepted: 1, known: true},
		{name: "no ids", parts: []string{data + data}, accepted: 2},
		{name: "data without an id after an id", parts: []string{numbered("1") + data}, accepted: 2},
		{name: "data with an empty id after an id", parts: []string{numbered("1") + cleared}, accepted: 2},
		{name: "an id after data without one", parts: []string{numbered("1") + data + numbered("2")}, accepted: 3, known: true},
		{name: "an id that comes again after data without one", parts: []string{numbered("1") + data + numbered("1")}, accepted: 2},
		{name: "a part that begins with data without an id", last: "2", parts: []string{data + numbered("3")}, known: true},
		{name: "a part that begins with data without an id after a comment", last: "2", parts: []string{ping + data}, accepted: 1, known: true},
		{name: "a further part after data without an id", parts: []string{data, data}, accepted: 2},
		{name: "an id without data", parts: []string{numbered("1") + "id: 2\n\n" + numbered("2")}, accepted: 2, known: true},
		{name: "a data field without a value", parts: []string{numbered("1") + "data\n\n"}, accepted: 2},
		{name: "lines ending in CRLF", parts: []string{"id: 1\r\ndata: x\r\n\r\nid: 1\r\ndata: x\r\n\r\n"}, accepted: 1, known: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			p := streamPosition{
				lastID: sc.last,
			}
			accepted := 0
			for _, part := range sc.parts {
				accepted += acceptPart(t, &p, part)
			}
			if accepted != sc.accepted {
				t.Errorf("%d events are accepted, want %d", accepted, sc.accepted)
			}
			if p.isKnown() != sc.known {
				t.Errorf("position is known: %t, want %t", p.isKnown(), sc.known)
			}
		})
	}
}

// acceptPart passes the events of an upstream's part to the position up to the first that is not accepted, and returns how many are.
func acceptPart(t *testing.T, p *streamPosition, text string) int {
	t.Helper()
	p.beginPart()
	r := newEventReader(strings.NewReader(text), send.FramedByChunks)
	for n := 0; ; n++ {
		ev, err := r.next()
		if errors.Is(err, io.EOF) {
			return n
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := p.check(ev); err != nil {
			if !errors.Is(err, errNotContinued) {
				t.Fatalf("got error %v, want errNotContinued", err)
			}
			return n
		}
		p.advance(ev)
	}
}

// Upstreams that begin again, repeat and skip events at random never make a caller's ids repeat or go back.
func TestIDsOfRandomPartsAlwaysIncrease(t *testing.T) {
	rng := rand.New(rand.NewPCG(52, 2))
	for range 2000 {
		p := streamPosition{}
		last := -1
		for range 1 + rng.IntN(4) {
			p.beginPart()
			id := rng.IntN(12)
			for range rng.IntN(8) {
				ev := event{
					id:      fmt.Sprint(id),
					hasData: true,
				}
				if p.check(ev) != nil {
					break
				}
				if id <= last {
					t.Fatalf("id %d is accepted after %d", id, last)
				}
				last = id
				p.advance(ev)
				id = max(0, id+rng.IntN(4)-1)
			}
		}
	}
}

// connLossCounter counts the lost connections that are reported.
type connLossCounter struct {
	CrashDetector
	lost int
}

func (c *connLossCounter) RecordConnLoss(context.Context, blame.Request, route.Upstream) { c.lost++ }

// signedCodec takes each response for the upstream's own.
type signedCodec struct {
	HeaderCodec
}

func (signedCodec) ParseResponse(string, int, http.Header) ResponseHead {
	return ResponseHead{Signed: true}
}

// Guards against upstreams that count as crashed although they only sent an event that does not continue the stream.
func TestOnlyStreamWithLostConnectionIsReportedAsSuch(t *testing.T) {
	scenarios := []struct {
		name string
		body string
		lost int
	}{
		{name: "an event that comes twice", body: "id: 1\n\nid: 1\n\n"},
		{name: "an event that is cut off", body: "id: 1\n\nid: 2\n", lost: 1},
	}
	for _, sc := range scenarios {
		Convey("After a stream with "+sc.name, t, func() {
			x, _, _ := newColdExchange(t, nil)
			caller := httptest.NewRecorder()
			crashes := &connLossCounter{}
			x.w = caller
			x.HeaderCodec = signedCodec{}
			x.CrashDetector = crashes
			x.route = plan.Route{
				Kind: plan.Stream,
			}
			_, done := x.handleResponse(t.Context(), route.Upstream{Name: "warm"}, x.Now(), send.Response{
				Status:  http.StatusOK,
				Header:  http.Header{},
				Body:    io.NopCloser(strings.NewReader(sc.body)),
				Framing: send.FramedByChunks,
			})
			So(done, ShouldBeTrue)
			So(x.abort, ShouldBeTrue)
			So(x.cause, ShouldEqual, CauseUpstreamBroken)
			So(caller.Body.String(), ShouldEqual, "id: 1\n\n")
			So(crashes.lost, ShouldEqual, sc.lost)
		})
	}
}
