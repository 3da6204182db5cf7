package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/stage"
)

const (
	// maxSharedAge is the age up to which a load report is told to other hosts, and accepted from them.
	maxSharedAge = time.Second
	// maxSharedCount bounds each count and the pace in percent of a report from another host.
	maxSharedCount = 10_000
	// percent is the unit of the pace in messages.
	percent = 100
)

// ErrInvalidSharedReport is returned for a load report with a negative or unreasonable figure.
var ErrInvalidSharedReport = errors.New("invalid figure in shared load report")

// SharedReport is the load report of an upstream as hosts tell it to each other. It has the hash of the upstream's name, and its age in place of a time, as clocks differ.
type SharedReport struct {
	Upstream uint64 `cbor:"1,keyasint"`
	Busy     int    `cbor:"2,keyasint,omitempty"`
	Queued   int    `cbor:"3,keyasint,omitempty"`
	Slots    int    `cbor:"4,keyasint,omitempty"`
	// PacePercent is the pace of the upstream; 100 is the usual one.
	PacePercent int `cbor:"5,keyasint"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `cbor:"6,keyasint,omitempty"`
}

// UnmarshalCBOR decodes a report and returns an error if a figure is out of range.
func (r *SharedReport) UnmarshalCBOR(b []byte) error {
	type plain SharedReport
	var p plain
	if err := cbor.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode shared load report: %w", err)
	}
	for _, n := range []int{p.Busy, p.Queued, p.Slots, p.PacePercent} {
		if n < 0 || n > maxSharedCount {
			return fmt.Errorf("check shared load report: %w", ErrInvalidSharedReport)
		}
	}
	if p.AgeMS < 0 {
		return fmt.Errorf("check shared load report: %w", ErrInvalidSharedReport)
	}
	*r = SharedReport(p)
	return nil
}

// load returns the load that the report states.
func (r SharedReport) load() stage.Load {
	return stage.Load{
		Busy:   r.Busy,
		Queued: r.Queued,
		Slots:  r.Slots,
		Pace:   float64(r.PacePercent) / percent,
	}
}

// SharedReports returns the newest load reports to tell other hosts, at most limit. own restricts them to those that upstreams sent to this host. Reports of upstreams that state no pace are left out.
func (t *Table) SharedReports(now time.Time, limit int, own bool) []SharedReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SharedReport
	for _, e := range t.byName {
		age := now.Sub(e.reportAt)
		if e.report.Pace <= 0 || age > maxSharedAge || (own && e.reportShared) {
			continue
		}
		out = append(out, SharedReport{
			Upstream:    e.hash,
			Busy:        e.report.Busy,
			Queued:      e.report.Queued,
			Slots:       e.report.Slots,
			PacePercent: int(e.report.Pace * percent),
			AgeMS:       max(0, age.Milliseconds()),
		})
	}
	slices.SortFunc(out, func(a, b SharedReport) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(limit, len(out))]
}

// RecordShared stores load reports that another host has told, as far as they are newer than the stored ones. It leaves brittle upstreams alone, of which only this host's own reports show what room this host has there.
func (t *Table) RecordShared(now time.Time, reports []SharedReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		e, ok := t.byHash[r.Upstream]
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		if !ok || e.brittle > 0 || r.PacePercent == 0 || now.Sub(at) > maxSharedAge || !at.After(e.reportAt) {
			continue
		}
		e.setReport(r.load(), at)
		e.reportShared = true
		t.pools[e.up.Pool].even.recordReport(e)
	}
}
