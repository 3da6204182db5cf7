package intact

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes bounds the name of a field.
	maxNameBytes = 1 << 10
	// maxStatus is the largest status code that a response may have.
	maxStatus = 599
	// maxQuotedBytes bounds what an error quotes.
	maxQuotedBytes = 64
	// statusLineBytes is the length of a status line without a reason, such as "HTTP/1.1 200".
	statusLineBytes = 12
)

// ErrNoResponse reports bytes that are no head of a response.
var ErrNoResponse = errors.New("bytes are no response")

// DialOnce returns a function that opens connections for one response each, of which a head that is none can't be read.
func DialOnce(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			// The error is passed on as it is, since dial functions wrap theirs.
			return nil, err
		}
		return &headConn{
			Conn: c,
		}, nil
	}
}

// headConn is a connection for one response.
type headConn struct {
	net.Conn
	head headChecker
}

// NetConn returns the connection that c wraps.
func (c *headConn) NetConn() net.Conn {
	return c.Conn
}

// Read reads from the connection. It returns ErrNoResponse for bytes that can't belong to the head of a response.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if headErr := c.head.add(b[:n]); headErr != nil {
		return 0, headErr
	}
	// The error is passed on as it is, since io.EOF has a meaning of its own.
	return n, err
}

// headChecker checks the heads of one response, the interim ones and the final one, as their bytes arrive.
type headChecker struct {
	// line is the part of the current line that matters: the status line, or a field up to its colon.
	line []byte
	// inValue reports that the rest of the line does not matter.
	inValue bool
	// statusRead reports that the status line of the current head was read, interim that it is not the final head, and old that the version is HTTP/1.0.
	statusRead, interim, old bool
	// done reports that the final head was read.
	done bool
	// err is the first error.
	err error
}

// add checks further bytes.
func (h *headChecker) add(b []byte) error {
	for len(b) > 0 && !h.done && h.err == nil {
		part, rest, complete := bytes.Cut(b, []byte("\n"))
		b = rest
		h.addToLine(part)
		if complete && h.err == nil {
			h.endLine()
		}
	}
	return h.err
}

// addToLine adds a part of the current line.
func (h *headChecker) addToLine(part []byte) {
	switch {
	case h.inValue:
	case h.statusRead:
		h.addToField(part)
	default:
		h.addToStatus(part)
	}
}

// addToStatus adds a part of the status line, and drops what follows the byte after the status.
func (h *headChecker) addToStatus(part []byte) {
	h.line = append(h.line, part...)
	if limit := statusLineBytes + 1; len(h.line) > limit {
		h.line = h.line[:limit]
		h.inValue = true
	}
}

// addToField adds a part of a field line, and drops what follows the colon.
func (h *headChecker) addToField(part []byte) {
	h.line = append(h.line, part...)
	if i := bytes.IndexByte(h.line, ':'); i >= 0 {
		h.line = h.line[:i+1]
		h.inValue = true
	}
	if len(h.line) > maxNameBytes {
		h.err = fmt.Errorf("name of a field has over %d bytes: %w", maxNameBytes, ErrNoResponse)
	}
}

// endLine checks the current line.
func (h *headChecker) endLine() {
	line := h.line
	if !h.inValue {
		line = bytes.TrimSuffix(line, []byte("\r"))
	}
	h.line = h.line[:0]
	h.inValue = false
	switch {
	case !h.statusRead:
		h.err = h.readStatus(string(line))
	case len(line) == 0:
		h.statusRead = false
		h.done = !h.interim
	default:
		h.err = h.checkField(string(line))
	}
}

// readStatus reads a status line, of which at least the byte after the status is there if it has one.
func (h *headChecker) readStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if len(line) < statusLineBytes || (len(line) > statusLineBytes && line[statusLineBytes] != ' ') {
		return fmt.Errorf("status line %q: %w", line, ErrNoResponse)
	}
	major, minor, ok := http.ParseHTTPVersion(version)
	status := strings.TrimSuffix(rest, " ")
	if !ok || major != 1 || !isStatus(status) {
		return fmt.Errorf("status line %q: %w", line, ErrNoResponse)
	}
	h.statusRead = true
	h.interim = status[0] == '1'
	h.old = minor == 0
	return nil
}

// isStatus reports whether the text is a status that a server may send to a request that asked for no other protocol.
func isStatus(s string) bool {
	code, err := strconv.Atoi(s)
	isCode := err == nil && len(s) == 3 && s[0] != '+'
	return isCode && code >= http.StatusContinue && code <= maxStatus && code != http.StatusSwitchingProtocols
}

// checkField checks a field line up to its colon.
func (h *headChecker) checkField(line string) error {
	name, ok := strings.CutSuffix(line, ":")
	if !ok || !isToken(name) {
		return fmt.Errorf("field %q: %w", clip(line), ErrNoResponse)
	}
	if h.old && strings.EqualFold(name, "Transfer-Encoding") {
		// HTTP/1.0 has no chunks, so where the body ends is not known.
		return fmt.Errorf("field %q in HTTP/1.0: %w", clip(line), ErrNoResponse)
	}
	return nil
}

// clip returns the part of the text that an error quotes.
func clip(text string) string {
	return text[:min(len(text), maxQuotedBytes)]
}

// isToken reports whether the text is a name of a field.
func isToken(name string) bool {
	for _, c := range []byte(name) {
		alphanumeric := c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return name != ""
}

// CheckResponse returns ErrNoResponse for a response whose status or names of fields no response has, as far as net/http shows them.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return fmt.Errorf("status %q: %w", clip(resp.Status), ErrNoResponse)
	}
	for name := range resp.Header {
		if !isToken(name) {
			return fmt.Errorf("field %q: %w", clip(name), ErrNoResponse)
		}
	}
	return nil
}
