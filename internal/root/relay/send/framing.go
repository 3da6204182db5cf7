package send

import "net/http"

// Framing is how a response marks the end of its body.
type Framing string

// The framings.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunked"
	// FramedByClose means that the body ends with its connection, so that a body that was cut off can look complete.
	FramedByClose Framing = "close"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}
