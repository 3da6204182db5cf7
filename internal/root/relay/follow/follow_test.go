package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

var errUnreadable = errors.New("unreadable row")

// decodeRow returns an upstream that is leaving if the value is "leaving", and an error if the value is "?".
func decodeRow(key string, value []byte) (route.Upstream, error) {
	if string(value) == "?" {
		return route.Upstream{}, errUnreadable
	}
	return route.Upstream{
		Name:    key,
		Pool:    "p",
		Leaving: string(value) == "leaving",
	}, nil
}

func rowOf(key, value string) Row {
	return Row{
		Key:   key,
		Value: []byte(value),
	}
}

func names(ups []route.Upstream) []string {
	var out []string
	for _, u := range ups {
		out = append(out, u.Name)
	}
	return out
}

// forgetTime is the time after which nothing may be sent to a removed upstream.
const forgetTime = 2 * time.Second

func TestUpstreamsFollowTheTable(t *testing.T) {
	Convey("Given a table with two upstreams", t, func() {
		now := time.Unix(1000, 0)
		deps := common.NewQuietDeps("h", "d")
		deps.Now = func() time.Time { return now }
		m := NewUpstreams(deps, decodeRow, forgetTime, func() {})
		So(m.Loaded(), ShouldBeFalse)
		m.Reset([]Row{rowOf("a", ""), rowOf("b", "")})
		So(m.Loaded(), ShouldBeTrue)
		So(names(m.List()), ShouldResemble, []string{"a", "b"})
		Convey("an upstream whose row is deleted is removed at once", func() {
			m.Apply([]Row{{Key: "a", Deleted: true}})
			So(names(m.List()), ShouldResemble, []string{"b"})
		})
		Convey("an upstream that is missing from a whole table is removed at once", func() {
			m.Reset([]Row{rowOf("b", "")})
			So(names(m.List()), ShouldResemble, []string{"b"})
		})
		Convey("an upstream whose new row says that it is leaving stays listed, marked as leaving", func() {
			m.Apply([]Row{rowOf("a", "leaving")})
			So(m.List()[0].Leaving, ShouldBeTrue)
		})
		Convey("rows that cannot be decoded are not listed, and the others remain", func() {
			m.Apply([]Row{rowOf("c", "?"), rowOf("a", "?")})
			So(names(m.List()), ShouldResemble, []string{"b"})
		})
		Convey("upstreams whose rows expired in an outage are listed for a while longer, and beyond that only if they register again", func() {
			m.OutageStarted()
			now = now.Add(10 * time.Second)
			m.Reset(nil)
			m.OutageEnded()
			So(names(m.List()), ShouldResemble, []string{"a", "b"})
			now = now.Add(time.Second)
			m.Apply([]Row{rowOf("a", "")})
			now = now.Add(1100 * time.Millisecond)
			So(names(m.List()), ShouldResemble, []string{"a"})
		})
		Convey("an upstream removed just after an outage is no longer listed 300 ms before the forget time ends", func() {
			m.OutageStarted()
			m.OutageEnded()
			for _, later := range []time.Duration{0, 1040 * time.Millisecond, 1390 * time.Millisecond} {
				m.Apply([]Row{rowOf("a", "")})
				now = now.Add(later)
				m.Apply([]Row{{Key: "a", Deleted: true}})
				// The remaining 300 ms cover the time to connect of a request that is sent just before the upstream is removed.
				now = now.Add(forgetTime - 300*time.Millisecond)
				So(names(m.List()), ShouldResemble, []string{"b"})
				m.OutageStarted()
				m.OutageEnded()
			}
		})
		Convey("an upstream that was leaving before the outage is removed at once", func() {
			m.Apply([]Row{rowOf("a", "leaving")})
			m.OutageStarted()
			m.Reset([]Row{rowOf("b", "")})
			So(names(m.List()), ShouldResemble, []string{"b"})
		})
	})
}

func TestPlanSinkActivatesOnlyNewerConfigurations(t *testing.T) {
	Convey("Given a sink with configuration 4", t, func() {
		var active plan.Active
		decode := func(v []byte) (*plan.Plan, error) {
			if string(v) == "?" {
				return nil, errUnreadable
			}
			return plan.New(int64(v[0]-'0'), nil, nil, nil, plan.Limits{}), nil
		}
		changes := 0
		s := NewPlanSink(common.NewQuietDeps("h", "d"), "config", decode, &active, func() { changes++ })
		So(s.IsNewest(), ShouldBeFalse)
		s.Reset([]Row{rowOf("other", "9"), rowOf("config", "4")})
		Convey("only a newer configuration replaces it, and not an older, unreadable or deleted one", func() {
			s.Apply([]Row{rowOf("config", "3"), rowOf("config", "?"), {Key: "config", Deleted: true}})
			So(active.Current().Version, ShouldEqual, 4)
			s.Apply([]Row{rowOf("config", "6")})
			So(active.Current().Version, ShouldEqual, 6)
			So(changes, ShouldEqual, 2)
		})
		// Guards against keys that stay in use because the configuration that took them away can't be read (review/5, rule CONFIG).
		Convey("it is not the newest any more once another one can't be read, until a newer one can", func() {
			So(s.IsNewest(), ShouldBeTrue)
			s.Apply([]Row{rowOf("config", "?")})
			So(s.IsNewest(), ShouldBeFalse)
			s.Apply([]Row{rowOf("other", "9"), rowOf("config", "3"), rowOf("config", "4")})
			s.Offer([]byte("4"))
			So(s.IsNewest(), ShouldBeFalse)
			s.Apply([]Row{rowOf("config", "6")})
			So(s.IsNewest(), ShouldBeTrue)
			s.Offer([]byte("?"))
			So(s.IsNewest(), ShouldBeFalse)
		})
	})
}

// faultySource is a table whose calls fail, hang or discard the history of changes while faulty is set. write changes the table.
type faultySource struct {
	rng *rand.Rand

	mu     sync.Mutex
	rows   map[string]string
	log    []Row
	base   int64
	faulty bool
}

// version returns the table's version. The lock must be held.
func (f *faultySource) version() int64 {
	return f.base + int64(len(f.log))
}

func (f *faultySource) stopFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulty = false
}

func (f *faultySource) write(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := rowOf(key, value)
	if value == "" {
		delete(f.rows, key)
		r = Row{
			Key:     key,
			Deleted: true,
		}
	} else {
		f.rows[key] = value
	}
	f.log = append(f.log, r)
}

func (f *faultySource) injectFault(ctx context.Context) error {
	f.mu.Lock()
	faulty, kind := f.faulty, f.rng.IntN(6)
	f.mu.Unlock()
	if !faulty {
		return nil
	}
	switch kind {
	case 0:
		return errors.New("refused")
	case 1:
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
		return errors.New("silent")
	case 2:
		// Discard the history of changes.
		f.mu.Lock()
		defer f.mu.Unlock()
		f.base = f.version()
		f.log = nil
	}
	return nil
}

func (f *faultySource) ReadAll(ctx context.Context) ([]Row, Position, error) {
	if err := f.injectFault(ctx); err != nil {
		return nil, Position{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Row
	for k, v := range f.rows {
		out = append(out, rowOf(k, v))
	}
	return out, Position{Version: f.version()}, nil
}

func (f *faultySource) WaitForChanges(ctx context.Context, after Position, wait time.Duration) ([]Row, Position, error) {
	if err := f.injectFault(ctx); err != nil {
		return nil, Position{}, err
	}
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		rows, version, err := f.since(after.Version)
		if err != nil || len(rows) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			return rows, Position{Version: version}, err
		}
	}
}

func (f *faultySource) since(after int64) ([]Row, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noHistory(after) {
		return nil, 0, ErrHistoryTruncated
	}
	return slices.Clone(f.log[after-f.base:]), f.version(), nil
}

// copySink is a sink that stores the rows it receives.
type copySink map[string]string

func (m copySink) Reset(rows []Row) {
	clear(m)
	m.Apply(rows)
}

func (m copySink) Restore(rows []Row) {
	m.Reset(rows)
}

func (m copySink) Apply(rows []Row) {
	for _, r := range rows {
		if r.Deleted {
			delete(m, r.Key)
			continue
		}
		m[r.Key] = string(r.Value)
	}
}

// TestFeedMatchesTableAfterSourceFaults follows a table through failing calls and compares the sink with the table once calls succeed again.
func TestFeedMatchesTableAfterSourceFaults(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 9))
			src := &faultySource{
				rng:    rand.New(rand.NewPCG(seed, 10)),
				rows:   map[string]string{},
				base:   1,
				faulty: true,
			}
			m := copySink{}
			outages, recoveries := 0, 0
			deps := common.NewQuietDeps("h", "d")
			f := NewFeed(deps, NewEras(deps), "t", src, m, time.Second, WithOutage(func() { outages++ }, func() { recoveries++ }))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = f.Run(ctx, func() {})
			}()
			for range 200 {
				src.write(fmt.Sprint(rng.IntN(10)), []string{"", "x", "y", "z"}[rng.IntN(4)])
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			src.stopFaults()
			time.Sleep(4 * time.Second)
			src.write("last", "1")
			time.Sleep(100 * time.Millisecond)
			cancel()
			<-done
			if fmt.Sprint(map[string]string(m)) != fmt.Sprint(src.rows) || outages != recoveries || outages == 0 {
				t.Fatalf("seed %d: sink has %v, table has %v, %d outages started, %d ended", seed, m, src.rows, outages, recoveries)
			}
		})
	}
}

// countingSource counts the calls for changes.
type countingSource struct {
	*faultySource
	calls atomic.Int64
}

func (c *countingSource) WaitForChanges(ctx context.Context, after Position, wait time.Duration) ([]Row, Position, error) {
	c.calls.Add(1)
	return c.faultySource.WaitForChanges(ctx, after, wait)
}

// TestFeedBatchesFrequentChangesIntoFewCalls simulates a rolling release, in which a row changes every 20 ms and every host follows the table.
func TestFeedBatchesFrequentChangesIntoFewCalls(t *testing.T) {
	const (
		pause         = 300 * time.Millisecond
		duration      = 6 * time.Second
		writeInterval = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		src := &countingSource{
			faultySource: &faultySource{
				rng:  rand.New(rand.NewPCG(1, 1)),
				rows: map[string]string{},
				base: 1,
			},
		}
		m := copySink{}
		f := NewFeed(common.NewQuietDeps("h", "d"), NewEras(common.NewQuietDeps("h", "d")), "t", src, m, 2*time.Second, WithBatchPause(func() time.Duration { return pause }))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx, func() {})
		}()
		for i := range int(duration / writeInterval) {
			src.write(fmt.Sprint(i), "x")
			time.Sleep(writeInterval)
		}
		if n, maxCalls := src.calls.Load(), int64(duration/pause)+1; n > maxCalls {
			t.Errorf("made %d calls for changes in %s, want at most %d", n, duration, maxCalls)
		}
		time.Sleep(3 * time.Second)
		src.write("alone", "x")
		time.Sleep(10 * time.Millisecond)
		cancel()
		<-done
		if m["alone"] != "x" {
			t.Error("a single change was not applied within 10 ms")
		}
		if fmt.Sprint(map[string]string(m)) != fmt.Sprint(src.rows) {
			t.Errorf("sink has %d rows, the table %d", len(m), len(src.rows))
		}
	})
}

// truncatedSource serves the whole table once. After that it has no history, and the whole table cannot be read either.
type truncatedSource struct {
	*faultySource
	reads atomic.Int64
}

func (s *truncatedSource) ReadAll(ctx context.Context) ([]Row, Position, error) {
	if s.reads.Add(1) > 1 {
		return nil, Position{}, errors.New("refused")
	}
	return s.faultySource.ReadAll(ctx)
}

func (s *truncatedSource) WaitForChanges(context.Context, Position, time.Duration) ([]Row, Position, error) {
	return nil, Position{}, ErrHistoryTruncated
}

// A response without the changes must not confirm that the sink is recent, as a revoked key could be among them.
func TestTruncatedHistoryDoesNotConfirmSink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &truncatedSource{
			faultySource: &faultySource{
				rng:  rand.New(rand.NewPCG(1, 1)),
				rows: map[string]string{},
				base: 1,
			},
		}
		confirmations := 0
		f := NewFeed(common.NewQuietDeps("h", "d"), NewEras(common.NewQuietDeps("h", "d")), "t", src, copySink{}, time.Second, WithConfirmation(func() func() {
			return func() { confirmations++ }
		}))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_ = f.Run(ctx, func() {})
		if confirmations != 1 {
			t.Errorf("sink was confirmed %d times, want only once by the first read", confirmations)
		}
	})
}
