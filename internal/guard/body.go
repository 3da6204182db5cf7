package guard

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// minBodyBuffer is the size of the first buffer for a body, in bytes.
const minBodyBuffer = 4 << 10

// ErrNoRoom reports a body for which there is no memory now.
var ErrNoRoom = errors.New("no memory for the body")

// ReadBody reads a body whose stated length is given, or negative if it states none. What it holds is asked for in the claim as it arrives, so that a caller that only announces a large body holds little. The error is ErrNoRoom if there is no memory for it.
func ReadBody(r io.Reader, length int64, c *Claim) ([]byte, error) {
	buf, err := grown(nil, length, c)
	if err != nil {
		return nil, err
	}
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil && c.Evicted() {
			return nil, ErrNoRoom
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		if len(buf) < cap(buf) {
			continue
		}
		if buf, err = grown(buf, length, c); err != nil {
			return nil, err
		}
	}
}

// grown returns a copy of the buffer with about twice the capacity, but no more than a body of the length needs.
func grown(buf []byte, length int64, c *Claim) ([]byte, error) {
	size := max(minBodyBuffer, 2*cap(buf))
	if length >= 0 {
		// One byte more than the body has, so that the end is found without another buffer.
		size = min(size, max(int(length), len(buf))+1)
	}
	if !c.Grow(int64(size - cap(buf))) {
		return nil, ErrNoRoom
	}
	out := make([]byte, len(buf), size)
	copy(out, buf)
	return out, nil
}
