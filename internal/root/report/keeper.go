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
	pageSize     = 500
	flushTimeout = 3 * time.Second
	flushPause   = 250 * time.Millisecond
)

// Store is what the keeper needs of the platform.
type Store interface {
	store.Table
	store.Objects
}

// Keeper writes a slice for each interval in which this host counted anything.
type Keeper struct {
	common.Deps
	store Store
	// take returns what was counted since the last call.
	take func() []tally.Count
	live func() []string
	// pending are slices that could not be written yet.
	pending map[int64]Slice
}

// New returns a keeper; take gives what was counted since it was called last, and live the names of the live hosts.
func New(deps common.Deps, s Store, take func() []tally.Count, live func() []string) *Keeper {
	return &Keeper{
		Deps:    deps.WithPart("report"),
		store:   s,
		take:    take,
		live:    live,
		pending: map[int64]Slice{},
	}
}

// Name is the part's name in the supervision tree.
func (k *Keeper) Name() string {
	return "report"
}

// Run writes slices as intervals end, and what is left when ctx ends.
func (k *Keeper) Run(ctx context.Context, up func()) error {
	up()
	for {
		next := k.Now().Truncate(Interval).Add(Interval)
		timer := time.NewTimer(next.Sub(k.Now()))
		select {
		case <-timer.C:
			k.collect(intervalOf(next) - 1)
			k.write(ctx)
		case <-ctx.Done():
			timer.Stop()
			return k.flush(ctx)
		}
	}
}

// flush writes what is left of a stopping host.
func (k *Keeper) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	k.collect(intervalOf(k.Now()))
	for k.write(ctx); len(k.pending) > 0; k.write(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("write last report: %w", ctx.Err())
		case <-time.After(flushPause):
		}
	}
	return nil
}

func (k *Keeper) collect(interval int64) {
	counts := k.take()
	s := k.pending[interval]
	k.pending[interval] = Slice{
		Host:     k.Host,
		Interval: interval,
		Live:     k.live(),
		Counts:   tally.Merge(append(s.Counts, counts...)),
	}
}

// write stores the pending slices, the object first, so that every row names an object that is there.
func (k *Keeper) write(ctx context.Context) {
	for _, interval := range slices.Sorted(maps.Keys(k.pending)) {
		if err := k.writeSlice(ctx, k.pending[interval]); err != nil {
			k.Log.WithError(err).Warn("Report cannot be written. It is kept for the next interval.")
			return
		}
		delete(k.pending, interval)
	}
}

func (k *Keeper) writeSlice(ctx context.Context, s Slice) error {
	data, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode slice: %w", err)
	}
	if err := k.store.PutObject(ctx, tableName+"-"+s.key(), data); err != nil {
		return fmt.Errorf("write slice: %w", err)
	}
	// The row is the index; it says all that a reader needs to know before it reads the object.
	index, err := json.Marshal(Slice{
		Host:     s.Host,
		Interval: s.Interval,
		Live:     s.Live,
	})
	if err != nil {
		return fmt.Errorf("encode index: %w", err)
	}
	err = k.store.Commit(ctx, plat.Txn{
		Puts: []plat.Put{
			{
				Table: tableName,
				Key:   s.key(),
				Value: index,
			},
		},
	})
	if err != nil {
		return fmt.Errorf("write index: %w", err)
	}
	return nil
}

// Sum sums up the slices of the intervals between two times; an account of "" means all.
func Sum(ctx context.Context, s Store, begin, end time.Time, account string) (Summary, error) {
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
		part, err := readSlice(ctx, s, i)
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
	sum.Missing = missing(index)
	sum.Counts = tally.Merge(counts)
	return sum, nil
}

func readIndex(ctx context.Context, s Store, first, last int64) ([]Slice, error) {
	var out []Slice
	after := from(first)
	for {
		rows, err := s.List(ctx, tableName, "", after, pageSize)
		if err != nil {
			return nil, fmt.Errorf("list reports: %w", err)
		}
		for _, row := range rows {
			var i Slice
			if err := json.Unmarshal(row.Value, &i); err != nil {
				return nil, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			if i.Interval > last {
				return out, nil
			}
			out = append(out, i)
			after = row.Key
		}
		if len(rows) < pageSize {
			return out, nil
		}
	}
}

func readSlice(ctx context.Context, s Store, index Slice) (Slice, error) {
	data, err := s.Object(ctx, tableName+"-"+index.key())
	if err != nil {
		return Slice{}, fmt.Errorf("read object: %w", err)
	}
	var out Slice
	if err := json.Unmarshal(data, &out); err != nil {
		return Slice{}, fmt.Errorf("decode object: %w", err)
	}
	return out, nil
}

// missing compares the hosts that were seen in each interval with those that left a slice of it.
func missing(index []Slice) []Gap {
	wrote := map[int64]map[string]bool{}
	seen := map[int64]map[string]bool{}
	for _, i := range index {
		if wrote[i.Interval] == nil {
			wrote[i.Interval] = map[string]bool{}
			seen[i.Interval] = map[string]bool{}
		}
		wrote[i.Interval][i.Host] = true
		for _, h := range i.Live {
			seen[i.Interval][h] = true
		}
	}
	var gaps []Gap
	for interval, hosts := range seen {
		for h := range hosts {
			if !wrote[interval][h] {
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
