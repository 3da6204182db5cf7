package report

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/front/tally"
)

const (
	// Interval is the time that one slice covers.
	Interval  = time.Minute
	tableName = "reports"
)

// ErrSlice reports a slice without a host or an interval.
var ErrSlice = errors.New("slice needs a host and an interval")

// Slice is what one host counted in one interval.
type Slice struct {
	Host string `json:"host"`
	// Interval is the number of the interval since 1970.
	Interval int64 `json:"interval"`
	// Live names the hosts that this one saw, by which missing slices are known.
	Live   []string      `json:"live"`
	Counts []tally.Count `json:"counts"`
}

// UnmarshalJSON decodes a slice and checks it.
func (s *Slice) UnmarshalJSON(b []byte) error {
	type plain Slice
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode slice: %w", err)
	}
	if p.Host == "" || p.Interval <= 0 {
		return fmt.Errorf("check slice: %w", ErrSlice)
	}
	*s = Slice(p)
	return nil
}

// key sorts slices by interval, then by host.
func (s Slice) key() string {
	return fmt.Sprintf("%012d-%s", s.Interval, s.Host)
}

// from returns the key before all slices of an interval.
func from(interval int64) string {
	return fmt.Sprintf("%012d", interval)
}

// intervalOf returns the number of the interval that holds a time.
func intervalOf(t time.Time) int64 {
	return t.Unix() / int64(Interval/time.Second)
}

// Summary sums up the slices of a time.
type Summary struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	Hosts []string  `json:"hosts"`
	// Missing names the hosts that others saw and that left no slice of some interval.
	Missing []Gap         `json:"missing"`
	Counts  []tally.Count `json:"counts"`
}

// Gap is a host without a slice of an interval.
type Gap struct {
	Host     string    `json:"host"`
	Interval time.Time `json:"interval"`
}
