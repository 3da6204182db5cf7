package orders_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/orders"
	"github.com/cornelwing/cornelwing/internal/root/orders/lease"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const loadTime = 5 * time.Second

// fakeEngine is an engine that loads the ordered model and version in loadTime.
type fakeEngine struct {
	checksFencing bool
	state         stage.EngineState
	loadingUntil  time.Time
	fences        []int64
}

// fakeEngines is an EngineClient for fake engines, by address.
type fakeEngines struct {
	mu         sync.Mutex
	byAddr     map[string]*fakeEngine
	maxLoading int
	// delay is the time by fencing number that an order takes from the lease check to the engine.
	delay         map[int64]time.Duration
	loseResponses bool
}

func newFakeEngines(n int, checksFencing bool) *fakeEngines {
	e := &fakeEngines{
		byAddr: map[string]*fakeEngine{},
		delay:  map[int64]time.Duration{},
	}
	for i := range n {
		e.byAddr[fmt.Sprintf("e%02d", i)] = &fakeEngine{checksFencing: checksFencing}
	}
	return e
}

func (e *fakeEngines) State(_ context.Context, addr string) (stage.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byAddr[addr].state
	s.Loading = time.Now().Before(e.byAddr[addr].loadingUntil)
	return s, nil
}

func (e *fakeEngines) Order(_ context.Context, addr string, o stage.Order) error {
	e.mu.Lock()
	wait := e.delay[o.Fence]
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.byAddr[addr]
	if x.checksFencing && o.Fence < x.state.Fence {
		return context.Canceled
	}
	x.state = stage.EngineState{Model: o.Model, Version: o.Version, Fence: max(o.Fence, x.state.Fence)}
	x.loadingUntil = time.Now().Add(loadTime)
	x.fences = append(x.fences, o.Fence)
	loading := 0
	for _, y := range e.byAddr {
		if time.Now().Before(y.loadingUntil) {
			loading++
		}
	}
	e.maxLoading = max(e.maxLoading, loading)
	if e.loseResponses {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *fakeEngines) members() []route.Upstream {
	var out []route.Upstream
	for i := range len(e.byAddr) {
		name := fmt.Sprintf("e%02d", i)
		out = append(out, route.Upstream{Name: name, Addr: name, Pool: "engines"})
	}
	return out
}

func (e *fakeEngines) countVersion(version string) int {
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
func (e *fakeEngines) get(addr string) fakeEngine {
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

// testHost is a host that competes for the lease and sends orders while it holds it.
type testHost struct {
	active       *watch.Active
	controller   *orders.Controller
	leaseManager *lease.Manager
	store        *table.Flaky
	stop         context.CancelFunc
}

func startHost(i int, rows *table.Rows, e *fakeEngines, burning func() bool) *testHost {
	h := &testHost{
		active: watch.NewActive(),
		store:  table.NewFlaky(rows, table.FaultRates{}, uint64(i)),
	}
	deps := common.NewQuietDeps(fmt.Sprintf("host-%d", i), "d")
	nonce := 0
	h.leaseManager = lease.NewManager(deps, h.store, "orders", lease.New(deps.Host, lease.DefaultTiming(), func() string {
		nonce++
		return fmt.Sprintf("%d-%d", i, nonce)
	}))
	h.controller = orders.New(deps, h.leaseManager, e, h.active, e.members, burning)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { _ = h.leaseManager.Run(ctx, func() {}) }()
	go func() { _ = h.controller.Part().Run(ctx, func() {}) }()
	return h
}

func notBurning() bool { return false }

func TestRolloutLoadsAtMostRollShareOfEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(12, true)
		h := startHost(0, table.NewRows(), e, notBurning)
		h.active.PutIfNewer(revision(1, "v1"))
		time.Sleep(2 * time.Minute)
		if n := e.countVersion("v1"); n != 12 {
			t.Errorf("%d of 12 engines have the version", n)
		}
		if e.maxLoading > 3 {
			t.Errorf("%d engines loaded at the same time, want at most 3 of 12", e.maxLoading)
		}
		h.stop()
	})
}

func TestRolloutPausesWhileObjectiveIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		burning := false
		e := newFakeEngines(12, true)
		h := startHost(0, table.NewRows(), e, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return burning
		})
		h.active.PutIfNewer(revision(1, "v1"))
		time.Sleep(10 * time.Second)
		mu.Lock()
		burning = true
		mu.Unlock()
		time.Sleep(2 * time.Second)
		stopped := e.countVersion("v1")
		time.Sleep(time.Minute)
		if n := e.countVersion("v1"); n != stopped || n == 0 || n == 12 {
			t.Errorf("%d engines have the version, want the %d that had it when the objective was first missed", n, stopped)
		}
		h.active.PutIfNewer(revision(2, "v0"))
		mu.Lock()
		burning = false
		mu.Unlock()
		time.Sleep(2 * time.Minute)
		if n := e.countVersion("v0"); n != 12 {
			t.Errorf("%d of 12 engines have the previous version", n)
		}
		h.stop()
	})
}

func TestOrderWithLostResponseIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(4, false)
		e.loseResponses = true
		h := startHost(0, table.NewRows(), e, notBurning)
		h.active.PutIfNewer(revision(1, "v1"))
		time.Sleep(2 * time.Minute)
		for i := range 4 {
			addr := fmt.Sprintf("e%02d", i)
			x := e.get(addr)
			if len(x.fences) != 1 || x.state.Version != "v1" {
				t.Errorf("engine %s got %d orders and has version %s, want 1 order and v1", addr, len(x.fences), x.state.Version)
			}
		}
		h.stop()
	})
}

// takeOverDuringDelayedOrder delays an order for v1 until another host has taken over the lease and wants v2.
func takeOverDuringDelayedOrder(t *testing.T, checksFencing bool) *fakeEngines {
	t.Helper()
	e := newFakeEngines(1, checksFencing)
	e.delay[1] = 40 * time.Second
	rows := table.NewRows()
	old := startHost(0, rows, e, notBurning)
	old.active.PutIfNewer(revision(1, "v1"))
	time.Sleep(2 * time.Second)
	// The old holder has checked its lease, but its order is delayed. The store outage prevents it from renewing the lease.
	old.store.SetFaultRates(table.FaultRates{Unavailable: 1})
	next := startHost(1, rows, e, notBurning)
	next.active.PutIfNewer(revision(2, "v2"))
	time.Sleep(30 * time.Second)
	if got := e.get("e00").fences; len(got) != 1 || got[0] != 2 {
		t.Errorf("got fencing numbers %v before the delayed order, want only that of the new holder's order", got)
	}
	time.Sleep(30 * time.Second)
	old.stop()
	next.stop()
	return e
}

func TestEngineThatChecksFencingRefusesOldHoldersOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := takeOverDuringDelayedOrder(t, true).get("e00")
		if len(x.fences) != 1 || x.state.Version != "v2" {
			t.Errorf("got orders with fencing numbers %v and version %s, want one order and v2", x.fences, x.state.Version)
		}
	})
}

// An engine that does not check fencing numbers executes the old holder's delayed order once. The next round of the new
// holder must restore the wanted version.
func TestOldHoldersOrderIsCorrectedOnEngineWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := takeOverDuringDelayedOrder(t, false).get("e00")
		if x.state.Version != "v2" {
			t.Errorf("got version %s, want v2", x.state.Version)
		}
		if len(x.fences) != 3 || x.fences[1] != 1 || x.fences[2] != 2 {
			t.Errorf("got fencing numbers %v, want those of the new holder's order, the delayed order and the new holder's second order", x.fences)
		}
	})
}

// The number of engines that may load at the same time must be computed from the live engines: with a roll share of 0.25
// it is 1 of 4 engines. The limit of 3 that holds for 12 engines would take 3 of 4 out of service.
func TestLoadingLimitIsComputedFromLiveEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(4, true)
		h := startHost(0, table.NewRows(), e, notBurning)
		h.active.PutIfNewer(revision(1, "v1"))
		time.Sleep(time.Minute)
		if n := e.countVersion("v1"); n != 4 || e.maxLoading != 1 {
			t.Errorf("%d engines have the version and up to %d loaded at the same time, want 4 and 1", n, e.maxLoading)
		}
		h.stop()
	})
}
