package flow

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds the size of one stream event.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of the buffer for reading a stream.
	readBufferBytes = 2 << 10
)

// errEventTooLong reports an event longer than maxEventBytes, and errPartialEvent a stream that ended inside an event.
var (
	errEventTooLong = errors.New("event is too long")
	errPartialEvent = errors.New("stream ended inside an event")
)

// eventReader reads a stream of server-sent events, whose lines end in LF or CRLF. It returns only complete events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{
		r: bufio.NewReaderSize(r, readBufferBytes),
	}
}

// next returns the bytes of the next event and its id, or "" if it has none. The error is io.EOF only if the stream ended after a complete event.
func (e *eventReader) next() (raw []byte, id string, err error) {
	for {
		line, err := e.r.ReadSlice('\n')
		raw = append(raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(raw) > maxEventBytes {
				return nil, "", errEventTooLong
			}
			continue
		}
		if errors.Is(err, io.EOF) && len(raw) > 0 {
			return nil, "", fmt.Errorf("read event, got %d bytes: %w", len(raw), errPartialEvent)
		}
		if errors.Is(err, io.EOF) {
			return nil, "", io.EOF
		}
		if err != nil {
			return nil, "", fmt.Errorf("read event: %w", err)
		}
		content := bytes.TrimRight(raw[lineStart(raw):], "\r\n")
		if len(content) == 0 {
			return raw, id, nil
		}
		if v, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(v, []byte(" ")))
		}
	}
}

// lineStart returns the start index of the last line of raw, which must end with a line feed.
func lineStart(raw []byte) int {
	return bytes.LastIndexByte(raw[:len(raw)-1], '\n') + 1
}
