package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Its times are in milliseconds since the case began. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{
		file:  f,
		began: time.Now(),
	}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

// noteAt is note for something that happened at a time.
func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that can't be written leaves the record shorter; the verdict does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%8d  %s\n", r.sinceBegin(at), fmt.Sprintf(format, args...))
}

// sinceBegin returns a time in milliseconds since the case began.
func (r *record) sinceBegin(at time.Time) int64 {
	return at.Sub(r.began).Milliseconds()
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
