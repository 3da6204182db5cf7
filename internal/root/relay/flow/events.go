package flow

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// maxEventBytes bounds the size of one stream event.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of the buffer for reading a stream.
	readBufferBytes = 2 << 10
)

// Errors of an incomplete stream.
var (
	// errEventTooLong reports an event longer than maxEventBytes.
	errEventTooLong = errors.New("event is too long")
	errPartialEvent = errors.New("stream ended inside an event")
	// errNoEvents reports that the connection ended before the first event with data or an id of a stream whose end nothing else marks.
	errNoEvents = errors.New("stream ended before its first event")
)

// event is one event of a stream.
type event struct {
	// raw are its bytes, with the empty line that ends it.
	raw []byte
	// id is its id, or "" if it has none.
	id string
	// hasData reports that it has a data field, without which its reader drops it.
	hasData bool
}

// addLine evaluates a line of the event, without its line ending.
func (ev *event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
	case "data":
		ev.hasData = true
	}
}

// eventReader reads a stream of server-sent events, whose lines end in LF or CRLF. It returns only complete events.
type eventReader struct {
	r       *bufio.Reader
	framing send.Framing
	// count is the number of events returned, and hasContent reports that one of them had data or an id.
	count      int
	hasContent bool
}

func newEventReader(r io.Reader, framing send.Framing) *eventReader {
	return &eventReader{
		r:       bufio.NewReaderSize(r, readBufferBytes),
		framing: framing,
	}
}

// next returns the next event. The error is io.EOF only if the stream is complete, as far as its framing and its events show.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return event{}, e.endError(len(ev.raw))
		}
		if err != nil {
			return event{}, fmt.Errorf("read event: %w", err)
		}
		content := bytes.TrimRight(ev.raw[lineStart(ev.raw):], "\r\n")
		if len(content) == 0 {
			e.count++
			e.hasContent = e.hasContent || ev.hasData || ev.id != ""
			return ev, nil
		}
		ev.addLine(content)
	}
}

// endError returns the error for the end of the body, partial bytes after the last complete event: io.EOF if the stream is complete.
func (e *eventReader) endError(partial int) error {
	switch {
	case partial > 0:
		return fmt.Errorf("read event, got %d bytes: %w", partial, errPartialEvent)
	case !e.hasContent && e.framing == send.FramedByClose:
		return errNoEvents
	default:
		return io.EOF
	}
}

// lineStart returns the start index of the last line of raw, which must end with a line feed.
func lineStart(raw []byte) int {
	return bytes.LastIndexByte(raw[:len(raw)-1], '\n') + 1
}
