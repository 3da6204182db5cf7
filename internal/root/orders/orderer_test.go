package orders_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/orders"
	"github.com/cornelwing/cornelwing/internal/root/orders/lease"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const loadTime = 5 * time.Second

// engine is a fake that loads what it is ordered to.
type engine struct {
	checks bool
	state  stage.EngineState
	until  time.Time
	fences []int64
}

// engines are fakes by address; a frozen sender's orders arrive late.
type engines struct {
	mu     sync.Mutex
	byAddr map[string]*engine
	most   int
	// delay holds back the orders of a fencing number between the check of the lease and the send.
	delay map[int64]time.Duration
	lost  bool
}

func newEngines(n int, checks bool) *engines {
	e := &engines{
		byAddr: map[string]*engine{},
		delay:  map[int64]time.Duration{},
	}
	for i := range n {
		e.byAddr[fmt.Sprintf("e%02d", i)] = &engine{checks: checks}
	}
	return e
}

func (e *engines) State(_ context.Context, addr string) (stage.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byAddr[addr].state
	s.Loading = time.Now().Before(e.byAddr[addr].until)
	return s, nil
}

func (e *engines) Order(_ context.Context, addr string, o stage.Order) error {
	e.mu.Lock()
	wait := e.delay[o.Fence]
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.byAddr[addr]
	if x.checks && o.Fence < x.state.Fence {
		return context.Canceled
	}
	x.state = stage.EngineState{Model: o.Model, Version: o.Version, Fence: max(o.Fence, x.state.Fence)}
	x.until = time.Now().Add(loadTime)
	x.fences = append(x.fences, o.Fence)
	busy := 0
	for _, y := range e.byAddr {
		if time.Now().Before(y.until) {
			busy++
		}
	}
	e.most = max(e.most, busy)
	if e.lost {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *engines) members() []route.Upstream {
	var out []route.Upstream
	for i := range len(e.byAddr) {
		name := fmt.Sprintf("e%02d", i)
		out = append(out, route.Upstream{Name: name, Addr: name, Pool: "engines"})
	}
	return out
}

func (e *engines) matching(version string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.byAddr {
		if x.state.Version == version {
			n++
		}
	}
	return n
}

// get returns a copy of an engine.
func (e *engines) get(addr string) engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := *e.byAddr[addr]
	x.fences = append([]int64(nil), x.fences...)
	return x
}

func revision(n int64, version string) config.Revision {
	return config.Revision{
		Number:   n,
		ChangeID: fmt.Sprint(n),
		Document: config.Document{
			Pools: []config.Pool{
				{
					Name: "engines",
					Kind: config.KindEngine,
					Wanted: &config.Wanted{
						Model:     "m",
						Version:   version,
						RollShare: 0.25,
						MaxLoads:  8,
					},
				},
			},
		},
	}
}

// host is one order holder or candidate; it can be paused.
type host struct {
	holder  *watch.Holder
	orderer *orders.Orderer
	keeper  *lease.Keeper
	store   *table.Flaky
	stop    context.CancelFunc
}

func newHost(i int, rows *table.Rows, e *engines, burning func() bool) *host {
	h := &host{
		holder: watch.NewHolder(),
		store:  table.NewFlaky(rows, table.Odds{}, uint64(i)),
	}
	deps := common.Quiet(fmt.Sprintf("host-%d", i), "d")
	nonce := 0
	h.keeper = lease.NewKeeper(deps, h.store, "orders", lease.New(deps.Host, lease.DefaultTerms(), func() string {
		nonce++
		return fmt.Sprintf("%d-%d", i, nonce)
	}))
	h.orderer = orders.New(deps, h.keeper, e, h.holder, e.members, burning)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { _ = h.keeper.Run(ctx, func() {}) }()
	go func() { _ = h.orderer.Part().Run(ctx, func() {}) }()
	return h
}

func calm() bool { return false }

func TestAVersionRollsInSharesOfTheLiveEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(12, true)
		h := newHost(0, table.NewRows(), e, calm)
		h.holder.Offer(revision(1, "v1"))
		time.Sleep(2 * time.Minute)
		if n := e.matching("v1"); n != 12 {
			t.Errorf("%d of 12 engines have the version", n)
		}
		if e.most > 3 {
			t.Errorf("%d engines loaded at once, where a quarter of 12 may", e.most)
		}
		h.stop()
	})
}

func TestARollStopsWhileTheObjectiveBurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		hot := false
		e := newEngines(12, true)
		h := newHost(0, table.NewRows(), e, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return hot
		})
		h.holder.Offer(revision(1, "v1"))
		time.Sleep(10 * time.Second)
		mu.Lock()
		hot = true
		mu.Unlock()
		time.Sleep(2 * time.Second)
		stopped := e.matching("v1")
		time.Sleep(time.Minute)
		if n := e.matching("v1"); n != stopped || n == 0 || n == 12 {
			t.Errorf("%d engines have the version, %d had it when the burn began", n, stopped)
		}
		h.holder.Offer(revision(2, "v0"))
		mu.Lock()
		hot = false
		mu.Unlock()
		time.Sleep(2 * time.Minute)
		if n := e.matching("v0"); n != 12 {
			t.Errorf("%d of 12 engines went back", n)
		}
		h.stop()
	})
}

func TestLostAnswersOfOrdersAreSettledByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(4, false)
		e.lost = true
		h := newHost(0, table.NewRows(), e, calm)
		h.holder.Offer(revision(1, "v1"))
		time.Sleep(2 * time.Minute)
		for i := range 4 {
			addr := fmt.Sprintf("e%02d", i)
			x := e.get(addr)
			if len(x.fences) != 1 || x.state.Version != "v1" {
				t.Errorf("engine %s was ordered %d times and has %s", addr, len(x.fences), x.state.Version)
			}
		}
		h.stop()
	})
}

// passOn gives the lease from a paused holder, whose order is held back, to another with another version wanted.
func passOn(t *testing.T, checks bool) *engines {
	t.Helper()
	e := newEngines(1, checks)
	e.delay[1] = 40 * time.Second
	rows := table.NewRows()
	old := newHost(0, rows, e, calm)
	old.holder.Offer(revision(1, "v1"))
	time.Sleep(2 * time.Second)
	// The holder stands still between the check of its lease and its send, and renews no more.
	old.store.SetOdds(table.Odds{Out: 1})
	next := newHost(1, rows, e, calm)
	next.holder.Offer(revision(2, "v2"))
	time.Sleep(30 * time.Second)
	if got := e.get("e00").fences; len(got) != 1 || got[0] != 2 {
		t.Errorf("before the old holder wakes the orders are %v", got)
	}
	time.Sleep(30 * time.Second)
	old.stop()
	next.stop()
	return e
}

func TestAnOldHoldersOrderIsRefusedByEnginesThatCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := passOn(t, true).get("e00")
		if len(x.fences) != 1 || x.state.Version != "v2" {
			t.Errorf("orders %v, version %s", x.fences, x.state.Version)
		}
	})
}

// The window that remains with engines that do not check: a late order takes effect once, and the next round puts it right.
func TestAnOldHoldersOrderIsPutRightOnEnginesThatDoNotCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := passOn(t, false).get("e00")
		if x.state.Version != "v2" {
			t.Errorf("version %s is left", x.state.Version)
		}
		if len(x.fences) != 3 || x.fences[1] != 1 || x.fences[2] != 2 {
			t.Errorf("orders %v, want the new holder's, the late one and the new holder's again", x.fences)
		}
	})
}

// The share is of those that are live now; a number fixed while 12 were live would take 3 of 4 away at once.
func TestTheShareFollowsTheLiveEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(4, true)
		h := newHost(0, table.NewRows(), e, calm)
		h.holder.Offer(revision(1, "v1"))
		time.Sleep(time.Minute)
		if n := e.matching("v1"); n != 4 || e.most != 1 {
			t.Errorf("%d of 4 engines have the version, %d loaded at once", n, e.most)
		}
		h.stop()
	})
}
