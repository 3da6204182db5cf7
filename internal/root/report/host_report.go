package report

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/front/tally"
)

const (
	// Interval is the time that one report covers.
	Interval  = time.Minute
	tableName = "reports"
)

// ErrInvalidHostReport reports a host report without a host name or an interval.
var ErrInvalidHostReport = errors.New("slice needs a host and an interval")

// HostReport holds the requests that one host counted in one interval. In the index it is stored without its counts.
type HostReport struct {
	Host string `json:"host"`
	// Interval is the interval number, counted from the Unix epoch.
	Interval int64 `json:"interval"`
	// Live names the hosts that this host saw as live. A host in Live that stored no report of the interval is a Gap.
	Live   []string      `json:"live"`
	Counts []tally.Count `json:"counts"`
}

// UnmarshalJSON decodes a host report and returns ErrInvalidHostReport if the host or the interval is missing.
func (r *HostReport) UnmarshalJSON(b []byte) error {
	type plain HostReport
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode slice: %w", err)
	}
	if p.Host == "" || p.Interval <= 0 {
		return fmt.Errorf("check slice: %w", ErrInvalidHostReport)
	}
	*r = HostReport(p)
	return nil
}

// key returns the row key, which sorts by interval and then by host.
func (r HostReport) key() string {
	return fmt.Sprintf("%012d-%s", r.Interval, r.Host)
}

// firstKey returns a key that sorts before all reports of the interval.
func firstKey(interval int64) string {
	return fmt.Sprintf("%012d", interval)
}

// intervalOf returns the number of the interval that contains t.
func intervalOf(t time.Time) int64 {
	return t.Unix() / int64(Interval/time.Second)
}

// Summary holds the merged counts of all reports in a time range.
type Summary struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	Hosts []string  `json:"hosts"`
	// Missing lists each interval for which a host stored no report although another host saw it as live.
	Missing []Gap         `json:"missing"`
	Counts  []tally.Count `json:"counts"`
}

// Gap is a host and the start of an interval for which it stored no report.
type Gap struct {
	Host     string    `json:"host"`
	Interval time.Time `json:"interval"`
}
