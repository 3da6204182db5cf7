package intact

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var heads = []struct {
	name  string
	raw   string
	valid bool
}{
	{name: "a usual head", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b : c\r\n\r\n", valid: true},
	{name: "no reason", raw: "HTTP/1.1 404\r\n\r\n", valid: true},
	{name: "a blank in place of a reason", raw: "HTTP/1.1 404 \r\n\r\n", valid: true},
	{name: "lines that end in LF", raw: "HTTP/1.0 500 No\nA: b\n\n", valid: true},
	{name: "an empty value", raw: "HTTP/1.1 200 OK\r\nA:\r\n\r\n", valid: true},
	{name: "all characters of names", raw: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n", valid: true},
	{name: "interim heads", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 599 X\r\n\r\n", valid: true},
	{name: "a body like a head", raw: "HTTP/1.1 200 OK\r\n\r\n a b\r\nHTTP/1.1 000\r\n", valid: true},
	{name: "chunks", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", valid: true},
	{name: "a long value", raw: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 4*maxNameBytes) + "\r\n\r\n", valid: true},
	{name: "a long reason", raw: "HTTP/1.1 200 " + strings.Repeat("b", 4*maxNameBytes) + "\r\n\r\n", valid: true},
	{name: "status 000", raw: "HTTP/1.1 000 OK\r\n\r\n"},
	{name: "status 099", raw: "HTTP/1.1 099 OK\r\n\r\n"},
	{name: "status 600", raw: "HTTP/1.1 600 OK\r\n\r\n"},
	{name: "a status with a sign", raw: "HTTP/1.1 +20 OK\r\n\r\n"},
	{name: "a status of two digits", raw: "HTTP/1.1 20 OK\r\n\r\n"},
	{name: "a status of four digits", raw: "HTTP/1.1 2000 OK\r\n\r\n"},
	{name: "two blanks before the status", raw: "HTTP/1.1  200 OK\r\n\r\n"},
	{name: "status 101", raw: "HTTP/1.1 101 Switch\r\n\r\n"},
	{name: "no status", raw: "HTTP/1.1\r\n\r\n"},
	{name: "HTTP/2.0", raw: "HTTP/2.0 200 OK\r\n\r\n"},
	{name: "another protocol", raw: "SMTP/1.1 200 OK\r\n\r\n"},
	{name: "an empty first line", raw: "\r\nHTTP/1.1 200 OK\r\n\r\n"},
	{name: "a control byte behind the status", raw: "HTTP/1.1 200\x00OK\r\n\r\n"},
	{name: "a blank behind a name", raw: "HTTP/1.1 200 OK\r\nA : b\r\n\r\n"},
	{name: "a blank in a name", raw: "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n"},
	{name: "a blank before a name", raw: "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n"},
	{name: "a line that goes on", raw: "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n"},
	{name: "a control byte in a name", raw: "HTTP/1.1 200 OK\r\nA\x01B: c\r\n\r\n"},
	{name: "a byte that is no ASCII in a name", raw: "HTTP/1.1 200 OK\r\nA\xe4: c\r\n\r\n"},
	{name: "CR in a name", raw: "HTTP/1.1 200 OK\r\nA\rB: c\r\n\r\n"},
	{name: "no name", raw: "HTTP/1.1 200 OK\r\n: c\r\n\r\n"},
	{name: "no colon", raw: "HTTP/1.1 200 OK\r\nabc\r\n\r\n"},
	{name: "a long name", raw: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A", 2*maxNameBytes) + ": b\r\n\r\n"},
	{name: "chunks in HTTP/1.0", raw: "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"},
	{name: "a faulty head after an interim one", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n"},
	{name: "a faulty interim head", raw: "HTTP/1.1 103 Early\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"},
}

// Guards against bytes that are no head of a response, and pass for one however they arrive (MIXED, issue 54).
func TestHeadsAreCheckedHoweverTheyArrive(t *testing.T) {
	for _, sc := range heads {
		Convey("Given "+sc.name, t, func() {
			for seed := range uint64(50) {
				rng := rand.New(rand.NewPCG(seed, 1))
				var h headChecker
				var err error
				for rest := sc.raw; rest != "" && err == nil; {
					n := 1 + rng.IntN(len(rest))
					if seed%2 == 0 {
						n = 1
					}
					err = h.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				if sc.valid {
					So(err, ShouldBeNil)
					So(h.done, ShouldBeTrue)
				} else {
					So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
					So(h.done, ShouldBeFalse)
				}
			}
		})
	}
}

func TestResponsesOfKeptConnectionsAreChecked(t *testing.T) {
	scenarios := []struct {
		status int
		name   string
		valid  bool
	}{
		{status: 200, name: "Content-Length", valid: true},
		{status: 599, name: "X-A", valid: true},
		{status: 304, name: "Etag", valid: true},
		{status: 0, name: "X-A"},
		{status: 20, name: "X-A"},
		{status: 101, name: "X-A"},
		{status: 600, name: "X-A"},
		{status: 200, name: "Content-Length "},
		{status: 200, name: "X A"},
	}
	for _, sc := range scenarios {
		Convey(fmt.Sprintf("Given a response with status %d and a field %q", sc.status, sc.name), t, func() {
			err := CheckResponse(&http.Response{
				StatusCode: sc.status,
				Header:     http.Header{sc.name: {"1"}},
			})
			So(err == nil, ShouldEqual, sc.valid)
			if !sc.valid {
				So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
			}
		})
	}
}

func TestSocketOfConnectionForOneResponseIsFound(t *testing.T) {
	Convey("Given a connection for one response over a socket", t, func() {
		c, _ := connect(t)
		_, ok := Socket(&headConn{
			Conn: c,
		})
		So(ok, ShouldBeTrue)
	})
}

// FuzzHeads checks that the checker neither panics nor depends on how bytes arrive.
func FuzzHeads(f *testing.F) {
	for _, sc := range heads {
		f.Add([]byte(sc.raw), uint(3))
	}
	f.Fuzz(func(t *testing.T, raw []byte, cut uint) {
		var whole, parts headChecker
		want := whole.add(raw)
		n := int(cut % uint(len(raw)+1))
		got := parts.add(raw[:n])
		if got == nil {
			got = parts.add(raw[n:])
		}
		if (got == nil) != (want == nil) || whole.done != parts.done {
			t.Errorf("got error %v in two parts, %v at once", got, want)
		}
	})
}
