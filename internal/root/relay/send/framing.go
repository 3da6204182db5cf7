package send

import "net/http"

// Framing is how a response marks the end of its body.
type Framing string

// The framings.
const (
	// FramedByLength is also the framing of a response that has no body, such as the response to a HEAD request.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunked"
	// FramedByClose means that the body ends with its connection, so that a body that was cut off can look complete.
	FramedByClose Framing = "close"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0, resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}
