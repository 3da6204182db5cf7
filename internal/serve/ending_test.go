package serve

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/guard"
)

func TestEndingTellsResponsesThatEndWithConnection(t *testing.T) {
	const body = "Content-Length: 3\r\n\r\nbody"
	rows := []struct {
		condition string
		method    string
		head      string
		expected  bool
	}{
		{"no length to HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\nA: b\r\n\r\n", true},
		{"no other field", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\n", true},
		{"a status without a text", http.MethodGet, "HTTP/1.0 599 \r\n\r\n", true},
		{"neither length nor chunks to HTTP/1.1", http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true},
		{"an interim response before", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n", true},
		{"a length", http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 400\r\n\r\n", false},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"an interim response before chunks", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"no body by the method", http.MethodHead, "HTTP/1.0 200 OK\r\nA: b\r\n\r\n", false},
		{"no content", http.MethodGet, "HTTP/1.0 204 No Content\r\n\r\n", false},
		{"not modified", http.MethodGet, "HTTP/1.0 304 Not Modified\r\n\r\n", false},
		{"another protocol", http.MethodGet, "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
	}
	for _, r := range rows {
		Convey("Given a response with "+r.condition+", in two writes cut anywhere", t, func() {
			message := r.head + body
			for cut := range len(message) + 1 {
				e := newEnding(r.method)
				before := e.write([]byte(message[:cut]))
				after := e.write([]byte(message[cut:]))
				// Only the write that ends the head says so.
				So(before, ShouldEqual, r.expected && cut >= len(r.head))
				So(after, ShouldEqual, r.expected && cut < len(r.head))
				So(e.withConn, ShouldEqual, r.expected)
			}
		})
	}
}

func TestConnThatIsNotTCPCarriesUnframedResponse(t *testing.T) {
	Convey("Given a connection of a kind that can't be reset", t, func() {
		server, client := net.Pipe()
		c := newConn(server, &gate{
			conns: guard.NewConns(1),
		})
		Convey("a response that ends with it arrives", func() {
			const response = "HTTP/1.0 200 OK\r\n\r\n" + part
			c.beginResponse(http.MethodGet)
			go func() {
				// The client sees what was written.
				_, _ = io.WriteString(c, response)
				c.endResponse()
				_ = c.Close()
			}()
			received, err := io.ReadAll(client)
			So(err, ShouldBeNil)
			So(string(received), ShouldEqual, response)
		})
	})
}
