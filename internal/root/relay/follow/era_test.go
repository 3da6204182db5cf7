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

func TestEraDecision(t *testing.T) {
	scenarios := []struct {
		name                  string
		current, sentIn, seen Era
		want                  eraAction
	}{
		{name: "the first era", seen: EraOf(4), want: enterEra{}},
		{name: "a first era numbered 0", seen: EraOf(0), want: enterEra{}},
		{name: "the era after one numbered 0", current: EraOf(0), sentIn: EraOf(0), seen: EraOf(1), want: enterEra{}},
		{name: "the current era", current: EraOf(4), sentIn: EraOf(4), seen: EraOf(4), want: keepEra{}},
		{name: "the current era to a call sent before it", current: EraOf(4), sentIn: EraOf(3), seen: EraOf(4), want: keepEra{}},
		{name: "the next era", current: EraOf(4), sentIn: EraOf(4), seen: EraOf(5), want: enterEra{}},
		{name: "an era after several restores", current: EraOf(4), sentIn: EraOf(2), seen: EraOf(9), want: enterEra{}},
		{name: "a late response of an earlier era", current: EraOf(4), sentIn: EraOf(3), seen: EraOf(3), want: discardResponse{}},
		{name: "a late response to a call that was sent before any era was known", current: EraOf(4), seen: EraOf(3), want: discardResponse{}},
		{name: "an era that has fallen", current: EraOf(4), sentIn: EraOf(4), seen: EraOf(1), want: enterEra{}},
		{name: "no era from a store that states none", want: keepEra{}},
		{name: "no era from a store that stated one before", current: EraOf(4), sentIn: EraOf(4), want: keepEra{}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			So(decideEra(sc.current, sc.sentIn, sc.seen), ShouldResemble, sc.want)
		})
	}
}

func TestPositionsOfDifferentErasAreOrderedByEra(t *testing.T) {
	scenarios := []struct {
		a, b   Position
		before bool
	}{
		{a: Position{Era: EraOf(1), Version: 5}, b: Position{Era: EraOf(1), Version: 6}, before: true},
		{a: Position{Era: EraOf(1), Version: 6}, b: Position{Era: EraOf(1), Version: 6}},
		{a: Position{Era: EraOf(1), Version: 90}, b: Position{Era: EraOf(2), Version: 6}, before: true},
		{a: Position{Era: EraOf(2), Version: 6}, b: Position{Era: EraOf(1), Version: 90}},
		{a: Position{Version: 5}, b: Position{Era: EraOf(2), Version: 6}, before: true},
	}
	for _, sc := range scenarios {
		Convey(fmt.Sprintf("%v before %v: %t", sc.a, sc.b, sc.before), t, func() {
			So(sc.a.Before(sc.b), ShouldEqual, sc.before)
		})
	}
}

// TestErasAgainstNaive sends calls to a store that is restored now and then, and delivers their responses late and out of order. A naive observer that knows every send and restore decides which responses are outdated.
func TestErasAgainstNaive(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		e := NewEras(common.NewQuietDeps("h", "d"))
		type call struct {
			sentIn Era
			seen   Era
		}
		storeEra := int64(0)
		var highest Era
		var inFlight []call
		entered := 0
		e.OnEnter(func() { entered++ })
		for range 2000 {
			switch {
			case rng.IntN(20) == 0:
				storeEra++
			case len(inFlight) > 0 && rng.IntN(2) == 0:
				i := rng.IntN(len(inFlight))
				c := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				_, err := e.Observe(c.sentIn, c.seen)
				outdated := c.seen.known && highest.known && c.seen.number < highest.number
				if outdated != errors.Is(err, ErrOutdatedEra) {
					t.Fatalf("seed %d: response of era %s after era %s: error %v", seed, c.seen, highest, err)
				}
				if c.seen.known && !outdated {
					highest = c.seen
				}
			default:
				current, _ := e.Current()
				c := call{sentIn: current, seen: EraOf(storeEra)}
				if rng.IntN(10) == 0 {
					c.seen = Era{}
				}
				inFlight = append(inFlight, c)
			}
			if current, _ := e.Current(); current != highest {
				t.Fatalf("seed %d: era %s, want %s", seed, current, highest)
			}
		}
		if entered == 0 {
			t.Fatalf("seed %d: no era was entered", seed)
		}
	}
}

func TestEraThatCannotBeParsedIsIgnored(t *testing.T) {
	Convey("An invalid era changes nothing, and a valid one afterwards counts", t, func() {
		e := NewEras(common.NewQuietDeps("h", "d"))
		_, err := e.Observe(Era{}, EraOf(7))
		So(err, ShouldBeNil)
		e.ObserveInvalid(errors.New("not a number"))
		era, err := e.Observe(EraOf(7), Era{})
		So(err, ShouldBeNil)
		So(era, ShouldEqual, EraOf(7))
		era, _ = e.Observe(EraOf(7), EraOf(8))
		So(era, ShouldEqual, EraOf(8))
	})
}

// restoredSource is a table of a store that is restored from older copies. Versions are given out again after a restore.
type restoredSource struct {
	*faultySource
	eras *Eras
	era  int64
}

// restore replaces the table by its state before the last n writes.
func (r *restoredSource) restore(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = r.log[:max(0, len(r.log)-n)]
	clear(r.rows)
	for _, row := range r.log {
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = string(row.Value)
	}
	r.era++
}

func (r *restoredSource) observe(sentIn, seen Era) (Era, error) {
	era, err := r.eras.Observe(sentIn, seen)
	if err != nil {
		return Era{}, fmt.Errorf("observe era: %w", err)
	}
	return era, nil
}

func (r *restoredSource) currentEra() Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return EraOf(r.era)
}

func (r *restoredSource) ReadAll(ctx context.Context) ([]Row, Position, error) {
	sentIn, _ := r.eras.Current()
	seen := r.currentEra()
	rows, position, err := r.faultySource.ReadAll(ctx)
	if err != nil {
		return nil, Position{}, err
	}
	// The response was made before a restore that happens while it is on its way.
	time.Sleep(time.Duration(r.rng.IntN(30)) * time.Millisecond)
	era, err := r.observe(sentIn, seen)
	position.Era = era
	return rows, position, err
}

func (r *restoredSource) WaitForChanges(ctx context.Context, after Position, wait time.Duration) ([]Row, Position, error) {
	sentIn, _ := r.eras.Current()
	rows, position, err := r.faultySource.WaitForChanges(ctx, after, wait)
	if ctx.Err() != nil {
		return nil, Position{}, ctx.Err()
	}
	era, eraErr := r.observe(sentIn, r.currentEra())
	if eraErr != nil {
		return nil, Position{}, eraErr
	}
	position.Era = era
	return rows, position, err
}

func (f *faultySource) noHistory(after int64) bool {
	return after < f.base || after > f.version()
}

// TestFeedMatchesTableAfterStoreIsRestored follows a table while its store is restored again and again and calls fail, and compares the sink with the table in the end. Every restored state must reach the sink as such, as the rows of the copy before must not be taken for current ones.
func TestFeedMatchesTableAfterStoreIsRestored(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			deps := common.NewQuietDeps("h", "d")
			eras := NewEras(deps)
			src := &restoredSource{
				faultySource: &faultySource{
					rng:    rand.New(rand.NewPCG(seed, 12)),
					rows:   map[string]string{},
					base:   1,
					faulty: seed%2 == 0,
				},
				eras: eras,
				era:  1,
			}
			m := copySink{}
			f := NewFeed(deps, eras, "t", src, m, time.Second, WithRestorePause(func() time.Duration { return 50 * time.Millisecond }))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = f.Run(ctx, func() {})
			}()
			for range 200 {
				if rng.IntN(15) == 0 {
					src.restore(rng.IntN(8))
				}
				src.write(fmt.Sprint(rng.IntN(10)), []string{"", "x", "y", "z"}[rng.IntN(4)])
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
			src.stopFaults()
			src.restore(3)
			time.Sleep(4 * time.Second)
			cancel()
			<-done
			if fmt.Sprint(map[string]string(m)) != fmt.Sprint(src.rows) {
				t.Fatalf("seed %d: sink has %v, table has %v", seed, m, src.rows)
			}
		})
	}
}

// restoreSink records which kind of update it receives.
type restoreSink struct {
	copySink
	updates []string
}

func (s *restoreSink) Reset(rows []Row) {
	s.updates = append(s.updates, "reset")
	s.copySink.Reset(rows)
}

func (s *restoreSink) Restore(rows []Row) {
	s.updates = append(s.updates, "restore")
	s.copySink.Reset(rows)
}

func TestFeedTellsRestoredRowsFromCurrentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := common.NewQuietDeps("h", "d")
		eras := NewEras(deps)
		src := &restoredSource{
			faultySource: &faultySource{
				rng:  rand.New(rand.NewPCG(1, 1)),
				rows: map[string]string{},
				base: 1,
			},
			eras: eras,
			era:  3,
		}
		s := &restoreSink{copySink: copySink{}}
		var confirmed atomic.Int64
		f := NewFeed(deps, eras, "t", src, s, time.Second, WithConfirmation(func() func() {
			return func() { confirmed.Add(1) }
		}))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = f.Run(ctx, func() {}) })
		time.Sleep(100 * time.Millisecond)
		src.write("a", "1")
		time.Sleep(1500 * time.Millisecond)
		before := confirmed.Load()
		src.restore(1)
		src.write("b", "1")
		time.Sleep(1500 * time.Millisecond)
		cancel()
		wg.Wait()
		if fmt.Sprint(s.updates) != "[reset restore]" {
			t.Errorf("updates of the sink are %v", s.updates)
		}
		if confirmed.Load() == before {
			t.Error("the sink was not confirmed after the restore")
		}
	})
}

// decodeStart decodes rows whose value is "START STATE" into an upstream that started at START.
func decodeStart(key string, value []byte) (route.Upstream, error) {
	var start int64
	var state string
	if _, err := fmt.Sscan(string(value), &start, &state); err != nil {
		return route.Upstream{}, fmt.Errorf("scan %q: %w", value, err)
	}
	return route.Upstream{
		Name:        key,
		Addr:        "addr-" + key,
		StartedAtMS: start,
		Leaving:     state == "leaving",
	}, nil
}

func TestRestoredUpstreamsNeverRevert(t *testing.T) {
	Convey("Given upstreams a, which is leaving, b, which has left, c and d, and a store restored from an older copy", t, func() {
		now := time.Unix(1000, 0)
		deps := common.NewQuietDeps("h", "d")
		deps.Now = func() time.Time { return now }
		m := NewUpstreams(deps, decodeStart, forgetTime, func() {})
		m.Reset([]Row{rowOf("a", "5 ready"), rowOf("b", "5 ready"), rowOf("c", "5 ready")})
		m.Apply([]Row{rowOf("a", "5 leaving"), {Key: "b", Deleted: true}, rowOf("c", "9 ready"), rowOf("d", "5 ready")})
		usable := func() []string {
			var out []string
			for _, u := range m.List() {
				if !u.Leaving {
					out = append(out, fmt.Sprintf("%s@%d", u.Name, u.StartedAtMS))
				}
			}
			return out
		}
		So(usable(), ShouldResemble, []string{"c@9", "d@5"})
		m.Restore([]Row{rowOf("a", "5 ready"), rowOf("b", "5 ready"), rowOf("c", "5 ready")})
		Convey("those that were leaving or had left are not used, the newest start counts, and one without a row is retained", func() {
			So(usable(), ShouldResemble, []string{"c@9", "d@5"})
		})
		Convey("one without a row is removed if it does not register again in time", func() {
			now = now.Add(forgetTime)
			So(usable(), ShouldResemble, []string{"c@9"})
		})
		Convey("one that registers again in time stays", func() {
			m.Apply([]Row{rowOf("d", "5 ready")})
			now = now.Add(forgetTime)
			So(usable(), ShouldResemble, []string{"c@9", "d@5"})
		})
		Convey("one that had lapsed but writes its row again is used again", func() {
			m.Apply([]Row{rowOf("b", "5 ready")})
			So(usable(), ShouldContain, "b@5")
		})
		Convey("a later start of one that has left is used", func() {
			m.Apply([]Row{rowOf("a", "7 ready"), rowOf("b", "8 ready")})
			So(usable(), ShouldResemble, []string{"a@7", "b@8", "c@9", "d@5"})
		})
		Convey("a second restore changes nothing", func() {
			m.Restore([]Row{rowOf("a", "5 ready"), rowOf("b", "5 ready"), rowOf("c", "5 ready"), rowOf("d", "5 ready")})
			So(usable(), ShouldResemble, []string{"c@9", "d@5"})
		})
		Convey("a row that cannot be decoded removes only its upstream", func() {
			m.Restore([]Row{rowOf("c", "?"), rowOf("d", "5 ready")})
			So(usable(), ShouldResemble, []string{"d@5"})
		})
	})
}

func TestLeaversAreBounded(t *testing.T) {
	Convey("Incarnations that have left are forgotten after a while, and the oldest ones above a limit", t, func() {
		now := time.Unix(1000, 0)
		l := leavers{}
		none := func(route.Incarnation) bool { return false }
		for i := range maxLeavers + 10 {
			l.add(now.Add(time.Duration(i)*time.Millisecond), route.Incarnation{Name: fmt.Sprint(i), StartedAtMS: 1}, false)
		}
		l.prune(now, none)
		So(l, ShouldHaveLength, maxLeavers)
		So(l.has(now, route.Incarnation{Name: "9", StartedAtMS: 1}), ShouldBeFalse)
		So(l.has(now, route.Incarnation{Name: "10", StartedAtMS: 1}), ShouldBeTrue)
		l.prune(now.Add(2*leaverRetention), none)
		So(l, ShouldBeEmpty)
	})
}

func TestRestoredConfigurationNeverReverts(t *testing.T) {
	Convey("Given configuration 6, and a store restored from a copy with configuration 4", t, func() {
		var active plan.Active
		decode := func(v []byte) (*plan.Plan, error) {
			return plan.New(int64(v[0]-'0'), nil, nil, nil, plan.Limits{}), nil
		}
		s := NewPlanSink(common.NewQuietDeps("h", "d"), "config", decode, &active, func() {})
		s.Reset([]Row{rowOf("config", "6")})
		s.Restore([]Row{rowOf("config", "4")})
		Convey("6 stays active, and others can learn it", func() {
			So(active.Current().Version, ShouldEqual, 6)
			version, value := s.Newest()
			So(version, ShouldEqual, 6)
			So(string(value), ShouldEqual, "6")
		})
		Convey("a copy without any configuration changes nothing", func() {
			s.Restore(nil)
			So(active.Current().Version, ShouldEqual, 6)
		})
		Convey("an older configuration of another host changes nothing, and a newer one counts", func() {
			s.Offer([]byte("5"))
			So(active.Current().Version, ShouldEqual, 6)
			s.Offer([]byte("8"))
			version, value := s.Newest()
			So(version, ShouldEqual, 8)
			So(string(value), ShouldEqual, "8")
		})
	})
}
