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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

var stamp = regexp.MustCompile(`\btime="([^"]+)"`)

// Line is one line of a log that names the request.
type Line struct {
	// Source is the file that it stands in.
	Source string
	// At is when it was written by the clock of its host, or zero where it does not say.
	At   time.Time
	Text string
}

// Read returns the lines that name the request, in their order.
func Read(source string, r io.Reader, request string) ([]Line, error) {
	word := "request=" + request
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		if !slices.Contains(strings.Fields(text), word) {
			continue
		}
		l := Line{
			Source: source,
			Text:   text,
		}
		if m := stamp.FindStringSubmatch(text); m != nil {
			// A line whose time can't be read is kept without one.
			l.At, _ = time.Parse(time.RFC3339Nano, m[1])
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", source, err)
	}
	return out, nil
}

// Join puts the lines of several logs into the order of their times; those of one log keep their order.
func Join(logs ...[]Line) []Line {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all
}
