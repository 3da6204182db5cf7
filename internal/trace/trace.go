package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest line of a log that Read accepts.
const maxLineBytes = 1 << 20

var timestampPattern = regexp.MustCompile(`\btime="([^"]+)"`)

// Line is one log line of the request.
type Line struct {
	// Source is the name of the log that contains the line.
	Source string
	// At is the time in the line, by the clock of the host that wrote it; zero if the line has no valid time.
	At   time.Time
	Text string
}

// Read returns the lines of the log that contain the field request=ID for the given request ID, in the order of the log. A line longer than maxLineBytes is an error.
func Read(source string, r io.Reader, request string) ([]Line, error) {
	field := "request=" + request
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		if !slices.Contains(strings.Fields(text), field) {
			continue
		}
		l := Line{
			Source: source,
			Text:   text,
		}
		if m := timestampPattern.FindStringSubmatch(text); m != nil {
			// A line with an invalid time is kept, with At zero.
			l.At, _ = time.Parse(time.RFC3339Nano, m[1])
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", source, err)
	}
	return out, nil
}

// Merge returns the lines of several logs sorted by time. Lines without a time come first; lines with equal times keep their order.
func Merge(logs ...[]Line) []Line {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all
}
