package serve

import (
	"bytes"
	"net/http"
)

// The heads are written by net/http, which gives the names of these fields in this form.
var (
	headEnd     = []byte("\r\n\r\n")
	lengthField = []byte("\r\nContent-Length: ")
	chunksField = []byte("\r\nTransfer-Encoding: chunked\r\n")
)

// statusStart and statusEnd are where the status code stands in the head of a response.
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + len("200")
)

// ending tracks how the response on a connection ends. The client of a response that ends with its connection takes any end in order for the end of the response, so the connection must be reset unless the response is whole.
type ending struct {
	// head is the head of the response as far as it was written, while headDue is set.
	head    []byte
	headDue bool
	// bodiless reports that responses to the request have no body.
	bodiless bool
	// withConn reports that the response ends with its connection.
	withConn bool
	// returned reports that the handler has returned, and broken that the response can't become whole any more.
	returned bool
	broken   bool
}

// newEnding returns the ending of the response to a request with the method.
func newEnding(method string) ending {
	return ending{
		headDue:  true,
		bodiless: method == http.MethodHead,
	}
}

// write records bytes that are about to be written, and reports whether they hold the end of the head of a response that ends with its connection.
func (e *ending) write(b []byte) bool {
	if !e.headDue {
		return false
	}
	if len(e.head) > 0 {
		b = append(e.head, b...)
	}
	for {
		end := bytes.Index(b, headEnd)
		if end < 0 {
			e.head = bytes.Clone(b)
			return false
		}
		head := b[:end+len(headEnd)]
		b = b[len(head):]
		if !isInterim(head) {
			e.withConn = !e.bodiless && endsWithConn(head)
			e.headDue = false
			e.head = nil
			return e.withConn
		}
	}
}

// breakOff records that the connection failed or was taken from the response. What is written later may be a whole response if none has begun.
func (e *ending) breakOff() {
	e.broken = e.withConn
}

// whole reports whether the response ends with its connection and was written whole.
func (e *ending) whole() bool {
	return e.withConn && e.returned && !e.broken
}

// statusOf returns the status code in the head of a response, or "" if it has none.
func statusOf(head []byte) string {
	if len(head) < statusEnd {
		return ""
	}
	return string(head[statusStart:statusEnd])
}

// isInterim reports whether the head is followed by that of another response to the same request.
func isInterim(head []byte) bool {
	status := statusOf(head)
	return status != "" && status[0] == '1' && status != "101"
}

// endsWithConn reports whether the head is that of a response with a body that has neither a length nor chunks.
func endsWithConn(head []byte) bool {
	switch statusOf(head) {
	case "101", "204", "304":
		return false
	}
	return !bytes.Contains(head, lengthField) && !bytes.Contains(head, chunksField)
}
