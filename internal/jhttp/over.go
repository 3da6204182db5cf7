package jhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/cornelwing/cornelwing/internal/intact"
)

// maxOverBytes bounds the body of a response over an open connection, in bytes.
const maxOverBytes = 1 << 20

// connTransport sends calls over one connection, one at a time.
type connTransport struct {
	conn net.Conn
}

// Over returns a transport that sends calls over the connection, one at a time. It never closes the connection, and a call ends with its context only if that closes it.
func Over(conn net.Conn) http.RoundTripper {
	return connTransport{
		conn: conn,
	}
}

// RoundTrip sends the request and reads the head of the response.
func (t connTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := req.Write(t.conn); err != nil {
		return nil, fmt.Errorf("write call: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(t.conn, MaxResponseHead+maxOverBytes)), req)
	if err != nil {
		return nil, fmt.Errorf("read head of answer: %w", err)
	}
	if err := intact.CheckResponse(resp); err != nil {
		return nil, fmt.Errorf("read head of answer: %w", err)
	}
	return resp, nil
}
