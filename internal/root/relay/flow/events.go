package flow

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxEvent bounds the size of one event of a stream, in bytes.
	maxEvent = 1 << 20
	// readSize is how much of a stream is read at a time, in bytes.
	readSize = 2 << 10
)

// errTooLong reports an event above maxEvent.
var errTooLong = errors.New("event is too long")

// events reads a stream of server-sent events, one whole event at a time.
type events struct {
	r *bufio.Reader
}

func newEvents(r io.Reader) *events {
	return &events{
		r: bufio.NewReaderSize(r, readSize),
	}
}

// next returns the bytes of the next event and its id, or "" where it has none. At the end of the stream it returns what is left, with io.EOF.
func (e *events) next() (raw []byte, id string, err error) {
	for {
		line, err := e.r.ReadSlice('\n')
		raw = append(raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(raw) > maxEvent {
				return nil, "", errTooLong
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			return raw, id, io.EOF
		}
		if err != nil {
			return nil, "", fmt.Errorf("read event: %w", err)
		}
		full := bytes.TrimRight(raw[lineStart(raw):], "\r\n")
		if len(full) == 0 {
			return raw, id, nil
		}
		if v, ok := bytes.CutPrefix(full, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(v, []byte(" ")))
		}
	}
}

// lineStart returns where the last line of raw, which ends with a line feed, begins.
func lineStart(raw []byte) int {
	return bytes.LastIndexByte(raw[:len(raw)-1], '\n') + 1
}
