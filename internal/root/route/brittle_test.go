package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/stage"
)

func TestKnownRoomOfBrittleUpstream(t *testing.T) {
	const slots = 12
	cases := []struct {
		name string
		// own is the number of this host's requests in flight at the report, busy that of all, and ended tells whether one of its own has just ended.
		own, busy int
		age       time.Duration
		ended     bool
		room      int
	}{
		{name: "full, and one of its own has ended", own: 2, busy: 12, ended: true, room: 2},
		{name: "full, and none has ended", own: 2, busy: 12, room: 1},
		{name: "full, and the slot was not used soon", own: 2, busy: 12, age: slotHoldTime, ended: true, room: 1},
		{name: "one free for four hosts", own: 2, busy: 11, room: 1},
		{name: "two free", own: 2, busy: 10, room: 2},
		{name: "two free a while ago", own: 2, busy: 10, age: time.Second, room: 1},
		{name: "a quarter free a while ago", own: 2, busy: 9, age: time.Second, room: 2},
		{name: "half free a while ago", own: 2, busy: 6, age: time.Second, room: 3},
		{name: "all but one free", own: 1, busy: 1, room: 3},
		{name: "no current report", own: 2, busy: 1, age: reportTTL + 1, room: 0},
	}
	Convey("What a host knows of the room of a brittle upstream, with four hosts", t, func() {
		now := time.Unix(100, 0)
		for _, c := range cases {
			e := newEntry(Upstream{Name: "u"})
			e.brittle = 5
			e.setInFlight(now, c.own)
			e.setReport(stage.Load{Busy: c.busy, Slots: slots}, now)
			if c.ended {
				e.slotFreedAt = now
			}
			So(fmt.Sprint(c.name, e.knownRoom(now.Add(c.age), 4)), ShouldEqual, fmt.Sprint(c.name, c.room))
		}
	})
}

func TestNewUpstreamOfBrittlePoolIsBrittle(t *testing.T) {
	Convey("Given a pool with a brittle upstream", t, func() {
		ups := []Upstream{{Name: "a", Addr: "a:1", Pool: "p"}, {Name: "b", Addr: "b:1", Pool: "p"}}
		table := New("x")
		table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, ups[:1], 9)
		table.SetBrittle(ups[0].Incarnation(), 5)
		Convey("one that is added counts as brittle until it has said what it is", func() {
			table.Sync([]PoolSpec{{Name: "p", Slots: 4, Expected: expected}}, ups, 9)
			So(table.byName["b"].brittle, ShouldEqual, 5)
			table.SetBrittle(ups[1].Incarnation(), 0)
			So(table.byName["b"].brittle, ShouldEqual, 0)
		})
		Convey("what another start of it said doesn't count", func() {
			other := ups[0].Incarnation()
			other.StartedAtMS = 7
			table.SetBrittle(other, 0)
			So(table.byName["a"].brittle, ShouldEqual, 5)
		})
	})
}

// brittleServer is a server in the simulation of TestHostsLeaveBrittleUpstreamsStanding.
type brittleServer struct {
	// ends are the times at which the running requests end, and hosts those that sent them.
	ends     []time.Time
	hosts    []int
	rejected []time.Time
	falls    int
	// back is when the server is back after a fall.
	back time.Time
}

// brittleFleet simulates hosts that send requests to brittle servers.
type brittleFleet struct {
	rng     *rand.Rand
	now     time.Time
	tables  []*Table
	servers map[string]*brittleServer
	served  int
}

const (
	simSlots     = 6
	simBrittle   = 5
	simWork      = 60 * time.Millisecond
	simStep      = time.Millisecond
	simServers   = 3
	simFallTime  = 2 * time.Second
	simDuration  = 13 * time.Second
	simCountFrom = 3 * time.Second
)

func newBrittleFleet(seed uint64, hosts int) *brittleFleet {
	f := &brittleFleet{
		rng:     rand.New(rand.NewPCG(seed, 2)),
		now:     time.Unix(100, 0),
		servers: map[string]*brittleServer{},
	}
	var ups []Upstream
	for i := range simServers {
		name := fmt.Sprintf("s%d", i)
		ups = append(ups, Upstream{Name: name, Addr: name + ":1", Domain: "x", Pool: "p"})
		f.servers[name] = &brittleServer{}
	}
	for range hosts {
		table := New("x")
		table.Sync([]PoolSpec{{Name: "p", Slots: simSlots, Expected: simWork}}, ups, hosts)
		f.tables = append(f.tables, table)
	}
	return f
}

// answer lets a host learn what a response states.
func (f *brittleFleet) answer(host int, name string) {
	table := f.tables[host]
	table.SetBrittle(Incarnation{Name: name, Addr: name + ":1"}, simBrittle)
	table.Report(name, stage.Load{Busy: len(f.servers[name].ends), Slots: simSlots}, f.now)
}

// send lets a host send one request, which a second upstream may get after a first one has turned it away.
func (f *brittleFleet) send(host int, counted bool) {
	var exclude []string
	for range 2 {
		up, ok := f.tables[host].Pick(f.now, f.rng, Query{Pool: "p", Exclude: exclude})
		if !ok {
			return
		}
		s := f.servers[up.Name]
		if f.now.Before(s.back) {
			f.tables[host].Done(f.now, up.Name, 0, false)
			return
		}
		if len(s.ends) < simSlots {
			s.ends = append(s.ends, f.now.Add(simWork/2+time.Duration(f.rng.Int64N(int64(simWork)))))
			s.hosts = append(s.hosts, host)
			return
		}
		f.answer(host, up.Name)
		f.tables[host].RecordFull(f.now, up.Name)
		f.reject(s, counted)
		exclude = append(exclude, up.Name)
	}
}

// reject counts a rejection, under which a server may fall over.
func (f *brittleFleet) reject(s *brittleServer, counted bool) {
	s.rejected = append(s.rejected, f.now)
	recent := 0
	for _, at := range s.rejected {
		if f.now.Sub(at) < time.Second {
			recent++
		}
	}
	if counted && recent > simBrittle {
		s.falls++
		s.rejected = nil
		s.back = f.now.Add(simFallTime)
	}
}

// endWork ends the requests that are done.
func (f *brittleFleet) endWork() {
	for name, s := range f.servers {
		for i := 0; i < len(s.ends); {
			if s.ends[i].After(f.now) {
				i++
				continue
			}
			host := s.hosts[i]
			f.answer(host, name)
			f.tables[host].Done(f.now, name, simWork, true)
			s.ends = append(s.ends[:i], s.ends[i+1:]...)
			s.hosts = append(s.hosts[:i], s.hosts[i+1:]...)
			f.served++
		}
	}
}

// run lets the hosts send as many requests a second as the rate says, and returns how often servers fell over.
func (f *brittleFleet) run(rate float64) int {
	began := f.now
	for f.now.Sub(began) < simDuration {
		f.now = f.now.Add(simStep)
		f.endWork()
		for n := rate * simStep.Seconds(); f.rng.Float64() < n; n-- {
			f.send(f.rng.IntN(len(f.tables)), f.now.Sub(began) > simCountFrom)
		}
	}
	falls := 0
	for _, s := range f.servers {
		falls += s.falls
	}
	return falls
}

// Guards against hosts that together have a brittle upstream turn more away than it can bear (rule LIMIT).
func TestHostsLeaveBrittleUpstreamsStanding(t *testing.T) {
	const capacity = simServers * simSlots / 0.06
	cases := []struct {
		hosts int
		load  float64
		// least is the share of what can be served that must be.
		least float64
	}{
		{hosts: 9, load: 0.3, least: 0.25},
		{hosts: 9, load: 1, least: 0.4},
		{hosts: 9, load: 3, least: 0.4},
		{hosts: 36, load: 1, least: 0.25},
		{hosts: 36, load: 3, least: 0.25},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("%d hosts that send %.1f times what three brittle upstreams can serve, over 20 seeds", c.hosts, c.load), t, func() {
			served, falls := 0, 0
			for seed := range uint64(20) {
				f := newBrittleFleet(seed, c.hosts)
				n := f.run(c.load * capacity)
				So(n, ShouldBeLessThanOrEqualTo, 2)
				falls += n
				served += f.served
			}
			share := float64(served) / (20 * capacity * simDuration.Seconds())
			t.Logf("%d hosts, load %.1f: %d falls, %.2f of the capacity served", c.hosts, c.load, falls, share)
			So(share, ShouldBeGreaterThanOrEqualTo, c.least)
		})
	}
}
