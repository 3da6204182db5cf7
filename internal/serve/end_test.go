package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// readPart reads the head of a response and the first n bytes of its body.
func readPart(t *testing.T, conn net.Conn, method string, n int) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{
		Method: method,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against hosts that are killed within a response that ends with its connection, which the client takes for a whole one (rules ORDER and MIXED).
func TestUnframedResponseOfKilledProcessEndsWithReset(t *testing.T) {
	rows := []struct {
		condition string
		line      string
		headers   []string
		sent      int
	}{
		{"a part that was flushed", "GET /part HTTP/1.0", nil, len(part)},
		{"a part larger than the buffers", "GET /large-part HTTP/1.0", nil, largePart},
		{"a head larger than the buffer", "GET /long-head HTTP/1.0", nil, len(part)},
		{"a client that would keep its connection", "GET /part HTTP/1.0", []string{"Connection: keep-alive"}, len(part)},
		{"an HTTP/1.1 response without length and chunks", "GET /identity HTTP/1.1", nil, len(part)},
	}
	for _, r := range rows {
		Convey("Given a process that is killed after "+r.condition, t, func() {
			p := startProcess(t, drainTimeout)
			resp := readPart(t, p.request(t, r.line, r.headers...), http.MethodGet, r.sent)
			p.kill()
			Convey("the client reads an error", func() {
				_, err := io.ReadAll(resp.Body)
				So(err, ShouldWrap, syscall.ECONNRESET)
			})
		})
	}
}

// Guards against responses to HTTP/1.0 clients that look whole although the server broke them off.
func TestHTTP10ResponseThatIsBrokenOffEndsWithReset(t *testing.T) {
	for _, path := range []string{"/abort", "/reset", "/evict", "/interrupt", "/unsent-rest"} {
		Convey("Given a server that ends a part of a response by "+path, t, func() {
			p := startProcess(t, drainTimeout)
			conn := p.request(t, "GET "+path+" HTTP/1.0")
			Convey("the client reads an error", func() {
				_, err := io.ReadAll(conn)
				So(err, ShouldWrap, syscall.ECONNRESET)
			})
		})
	}
}

// Guards against responses to HTTP/1.0 clients that look whole although a deadline ended them.
func TestHTTP10ResponseThatMissesWriteDeadlineEndsWithReset(t *testing.T) {
	Convey("Given a client that reads only after the deadline for writing", t, func() {
		p := startProcess(t, drainTimeout)
		conn := p.request(t, "GET /write-deadline HTTP/1.0")
		time.Sleep(500 * time.Millisecond)
		Convey("it reads an error", func() {
			_, err := io.ReadAll(conn)
			So(err, ShouldWrap, syscall.ECONNRESET)
		})
	})
}

// Guards against responses to HTTP/1.0 clients that look whole although the server stopped within them.
func TestHTTP10ResponseAtEndOfDrainEndsWithReset(t *testing.T) {
	Convey("Given a server whose drain timeout expires within a response", t, func() {
		p := startProcess(t, shortDrain)
		resp := readPart(t, p.request(t, "GET /part HTTP/1.0"), http.MethodGet, len(part))
		p.terminate(t)
		p.waitForEnd(t)
		Convey("the client reads an error", func() {
			_, err := io.ReadAll(resp.Body)
			So(err, ShouldWrap, syscall.ECONNRESET)
		})
	})
}

// readSlowly reads n bytes of the body in pieces with pauses in between.
func readSlowly(t *testing.T, body io.Reader, n int) {
	t.Helper()
	const piece = 128 << 10
	b := make([]byte, piece)
	for read := 0; read < n; read += piece {
		time.Sleep(2 * time.Millisecond)
		if _, err := io.ReadFull(body, b[:min(piece, n-read)]); err != nil {
			t.Fatalf("after %d bytes: %v", read, err)
		}
	}
}

// Guards against the loss of the last bytes of a whole response to a reset.
func TestWholeHTTP10ResponseArrivesAfterProcessHasEnded(t *testing.T) {
	// rest is read only after the process has ended, and fits into the buffers of the kernel.
	const rest = 64 << 10
	for _, path := range []string{"/whole", "/whole-unflushed"} {
		for _, killed := range []bool{false, true} {
			Convey(fmt.Sprintf("Given a server that ends (killed: %t) while a slow client still reads the response to %s", killed, path), t, func() {
				p := startProcess(t, drainTimeout)
				resp := readPart(t, p.request(t, "GET "+path+" HTTP/1.0"), http.MethodGet, 1)
				So(resp.ContentLength, ShouldEqual, -1)
				if !killed {
					p.terminate(t)
				}
				readSlowly(t, resp.Body, wholeBytes-1-rest)
				if killed {
					// The server closes the connection right after the last write.
					time.Sleep(time.Second)
					p.kill()
				}
				p.waitForEnd(t)
				Convey("the client reads the rest of it", func() {
					body, err := io.ReadAll(resp.Body)
					So(err, ShouldBeNil)
					So(body, ShouldHaveLength, rest)
				})
			})
		}
	}
}

func TestShortHTTP10ResponseIsWhole(t *testing.T) {
	Convey("Given a server", t, func() {
		p := startProcess(t, drainTimeout)
		Convey("a response that was not flushed has a length", func() {
			resp := readPart(t, p.request(t, "GET /short HTTP/1.0"), http.MethodGet, 0)
			So(resp.ContentLength, ShouldEqual, len(shortBody))
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, shortBody)
		})
		for _, line := range []string{"HEAD /short HTTP/1.0", "GET /no-content HTTP/1.0", "GET /not-modified HTTP/1.0"} {
			Convey("the connection ends in order after the response to "+line, func() {
				conn := p.request(t, line)
				response, err := io.ReadAll(conn)
				So(err, ShouldBeNil)
				So(string(response), ShouldEndWith, "\r\n\r\n")
			})
		}
	})
}

// Guards against resets of connections whose responses mark their own end: a reset can discard bytes on their way.
func TestConnectionOfFramedResponseEndsInOrder(t *testing.T) {
	rows := []struct {
		condition string
		line      string
		sent      string
	}{
		{"a part of chunks to an HTTP/1.1 client", "GET /part HTTP/1.1", "\r\n" + part + "\r\n"},
		{"a part of a length to an HTTP/1.1 client", "GET /with-length HTTP/1.1", part},
		{"a part of a length to an HTTP/1.0 client", "GET /with-length HTTP/1.0", part},
	}
	for _, r := range rows {
		Convey("Given a process that is killed after "+r.condition, t, func() {
			p := startProcess(t, drainTimeout)
			conn := p.request(t, r.line)
			received := readUntil(t, conn, r.sent)
			p.kill()
			Convey("the client reads no reset", func() {
				rest, err := io.ReadAll(conn)
				So(err, ShouldBeNil)
				So(received+string(rest), ShouldEndWith, r.sent)
			})
		})
	}
}

// Guards against resets of connections that wait for the next request.
func TestKeptConnectionEndsInOrder(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		Convey("Given a process with a connection that is kept after responses to "+proto, t, func() {
			p := startProcess(t, drainTimeout)
			line, keep := "GET /short "+proto, "Connection: keep-alive"
			conn := p.request(t, line, keep)
			readUntil(t, conn, "\r\n\r\n"+shortBody)
			writeRequest(t, conn, line, keep)
			readUntil(t, conn, "\r\n\r\n"+shortBody)
			p.kill()
			Convey("the client reads the end of the connection", func() {
				_, err := conn.Read(make([]byte, 1))
				So(err, ShouldEqual, io.EOF)
			})
		})
	}
}

// Guards against a state of the connection that a response leaves to the next.
func TestUnframedResponseAfterFramedResponseEndsWithReset(t *testing.T) {
	Convey("Given a kept connection with a response with a length, and then a part of one without", t, func() {
		p := startProcess(t, drainTimeout)
		conn := p.request(t, "GET /short HTTP/1.0", "Connection: keep-alive")
		readUntil(t, conn, "\r\n\r\n"+shortBody)
		writeRequest(t, conn, "GET /part HTTP/1.0")
		readUntil(t, conn, part)
		p.kill()
		Convey("the client reads an error once the process is killed", func() {
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldWrap, syscall.ECONNRESET)
		})
	})
}

// readUntil reads from the connection until the text ends what was read.
func readUntil(t *testing.T, conn net.Conn, text string) string {
	t.Helper()
	var received strings.Builder
	b := make([]byte, 4<<10)
	for !strings.HasSuffix(received.String(), text) {
		n, err := conn.Read(b)
		if err != nil {
			t.Fatalf("read %q: %v", received.String(), err)
		}
		received.Write(b[:n])
	}
	return received.String()
}
