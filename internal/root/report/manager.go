package report

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/store"
)

const (
	listPageSize       = 500
	flushTimeout       = 3 * time.Second
	flushRetryInterval = 250 * time.Millisecond
)

// Store contains the reports: each report is an object, and a table is the index of the objects.
type Store interface {
	store.Table
	store.Objects
}

// Manager writes one report per interval with the requests that this host counted. A report that could not be
// written stays in memory, and the write is retried after the next interval.
type Manager struct {
	common.Deps
	store Store
	// takeCounts returns the requests counted since the previous call.
	takeCounts func() []tally.Count
	liveHosts  func() []string
	// pending holds the reports that are not written yet, by interval.
	pending map[int64]HostReport
}

// New returns a manager. takeCounts returns the requests counted since the previous call; liveHosts returns the names of
// the live hosts.
func New(deps common.Deps, s Store, takeCounts func() []tally.Count, liveHosts func() []string) *Manager {
	return &Manager{
		Deps:       deps.WithPart("report"),
		store:      s,
		takeCounts: takeCounts,
		liveHosts:  liveHosts,
		pending:    map[int64]HostReport{},
	}
}

// Name returns the name in the supervision tree.
func (m *Manager) Name() string {
	return "report"
}

// Run writes a report at the end of each interval. When ctx ends it writes the remaining reports, for at most
// flushTimeout, and returns an error if some could not be written.
func (m *Manager) Run(ctx context.Context, up func()) error {
	up()
	for {
		next := m.Now().Truncate(Interval).Add(Interval)
		timer := time.NewTimer(next.Sub(m.Now()))
		select {
		case <-timer.C:
			m.collect(intervalOf(next) - 1)
			m.writePending(ctx)
		case <-ctx.Done():
			timer.Stop()
			return m.flush(ctx)
		}
	}
}

// flush collects the counts of the current interval and writes all pending reports before the host stops.
func (m *Manager) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	m.collect(intervalOf(m.Now()))
	for m.writePending(ctx); len(m.pending) > 0; m.writePending(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("write last report: %w", ctx.Err())
		case <-time.After(flushRetryInterval):
		}
	}
	return nil
}

// collect adds the new counts to the pending report of the interval.
func (m *Manager) collect(interval int64) {
	counts := m.takeCounts()
	r := m.pending[interval]
	m.pending[interval] = HostReport{
		Host:     m.Host,
		Interval: interval,
		Live:     m.liveHosts(),
		Counts:   tally.Merge(append(r.Counts, counts...)),
	}
}

// writePending writes the pending reports in order and stops at the first error.
func (m *Manager) writePending(ctx context.Context) {
	for _, interval := range slices.Sorted(maps.Keys(m.pending)) {
		if err := m.writeReport(ctx, m.pending[interval]); err != nil {
			m.Log.WithError(err).Warn("Failed to write report; will retry.")
			return
		}
		delete(m.pending, interval)
	}
}

// writeReport writes the object before the index row, so that every row refers to an existing object.
func (m *Manager) writeReport(ctx context.Context, r HostReport) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode host report: %w", err)
	}
	if err := m.store.PutObject(ctx, tableName+"-"+r.key(), data); err != nil {
		return fmt.Errorf("write host report: %w", err)
	}
	// The index row holds all fields but the counts. Readers need these fields before they read the object.
	index, err := json.Marshal(HostReport{
		Host:     r.Host,
		Interval: r.Interval,
		Live:     r.Live,
	})
	if err != nil {
		return fmt.Errorf("encode index: %w", err)
	}
	err = m.store.Commit(ctx, plat.Txn{
		Puts: []plat.Put{
			{
				Table: tableName,
				Key:   r.key(),
				Value: index,
			},
		},
	})
	if err != nil {
		return fmt.Errorf("write index: %w", err)
	}
	return nil
}

// Summarize returns the merged counts of all intervals from that of begin to that of end, both included. An empty account selects all
// accounts.
func Summarize(ctx context.Context, s Store, begin, end time.Time, account string) (Summary, error) {
	sum := Summary{
		From:  begin.Truncate(Interval).UTC(),
		Until: end.UTC(),
	}
	index, err := readIndex(ctx, s, intervalOf(begin), intervalOf(end))
	if err != nil {
		return Summary{}, fmt.Errorf("read index of reports: %w", err)
	}
	var counts []tally.Count
	hosts := map[string]bool{}
	for _, i := range index {
		hosts[i.Host] = true
		part, err := readReport(ctx, s, i)
		if err != nil {
			return Summary{}, fmt.Errorf("read report of %s: %w", i.Host, err)
		}
		for _, c := range part.Counts {
			if account == "" || c.Account == account {
				counts = append(counts, c)
			}
		}
	}
	sum.Hosts = slices.Sorted(maps.Keys(hosts))
	sum.Missing = findGaps(index)
	sum.Counts = tally.Merge(counts)
	return sum, nil
}

func readIndex(ctx context.Context, s Store, first, last int64) ([]HostReport, error) {
	var out []HostReport
	after := firstKey(first)
	for {
		rows, err := s.List(ctx, tableName, "", after, listPageSize)
		if err != nil {
			return nil, fmt.Errorf("list reports: %w", err)
		}
		for _, row := range rows {
			var i HostReport
			if err := json.Unmarshal(row.Value, &i); err != nil {
				return nil, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			if i.Interval > last {
				return out, nil
			}
			out = append(out, i)
			after = row.Key
		}
		if len(rows) < listPageSize {
			return out, nil
		}
	}
}

func readReport(ctx context.Context, s Store, index HostReport) (HostReport, error) {
	data, err := s.Object(ctx, tableName+"-"+index.key())
	if err != nil {
		return HostReport{}, fmt.Errorf("read object: %w", err)
	}
	var out HostReport
	if err := json.Unmarshal(data, &out); err != nil {
		return HostReport{}, fmt.Errorf("decode object: %w", err)
	}
	return out, nil
}

// findGaps returns the hosts that were listed as live in an interval but stored no report of it, by interval and name.
func findGaps(index []HostReport) []Gap {
	reported := map[int64]map[string]bool{}
	listedLive := map[int64]map[string]bool{}
	for _, i := range index {
		if reported[i.Interval] == nil {
			reported[i.Interval] = map[string]bool{}
			listedLive[i.Interval] = map[string]bool{}
		}
		reported[i.Interval][i.Host] = true
		for _, h := range i.Live {
			listedLive[i.Interval][h] = true
		}
	}
	var gaps []Gap
	for interval, hosts := range listedLive {
		for h := range hosts {
			if !reported[interval][h] {
				gaps = append(gaps, Gap{
					Host:     h,
					Interval: time.Unix(interval*int64(Interval/time.Second), 0).UTC(),
				})
			}
		}
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(a.Interval.Compare(b.Interval), cmp.Compare(a.Host, b.Host))
	})
	return gaps
}
