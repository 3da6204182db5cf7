package backup

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

// randomSeeds is how many random runs are played.
var randomSeeds = flag.Uint64("random-seeds", 60, "number of random runs")

const (
	// randomLifetime is the longest time of a stream in them.
	randomLifetime = 20 * time.Second
	randomSteps    = 300
	// writtenWithin is the time within which hosts must have written what they know, if the store takes it.
	writtenWithin = writeDelay + confirmInterval
)

// fleet is a fleet of hosts of which all are lost from time to time, as are calls to the store.
type fleet struct {
	t         *testing.T
	r         *rand.Rand
	table     *memoryTable
	processes []*process
	// served holds the versions that serve.
	served atomic.Pointer[[]string]
	// begun holds the version and the start of each stream. known are those that a host which lives has in memory.
	begun map[origin.Key]stream
	known map[origin.Key]bool
	next  origin.Key
	// safe holds the streams whose hosts and store lived on long enough to write them.
	safe map[origin.Key]bool
	// cut is the process whose streams nobody else knows, or nil, and unshared are those streams.
	cut      *process
	unshared map[origin.Key]bool
	// lost is the index of a process that was lost while the others live, or -1.
	lost int
	// goneAt is when a process was last lost while others lived on.
	goneAt time.Time
	// changedAt is when calls to the store last began to fail, or to work again.
	changedAt time.Time
	// wentOn and refused count what streams that were taken up came to.
	wentOn, refused int
}

type stream struct {
	version string
	at      time.Time
	by      *process
}

// followedSince reports whether the process that began the stream has followed the versions ever since. If not, it does not learn of one that came and went meanwhile, and does not write the stream, whose version is then in doubt.
func (s stream) followedSince() bool {
	return s.by.stoppedUntil.Load() < s.at.UnixNano()
}

func (f *fleet) versions() []string { return *f.served.Load() }

func (f *fleet) setVersions(list []string) { f.served.Store(&list) }

func (f *fleet) startAll() {
	f.processes = nil
	for i := range 3 {
		f.processes = append(f.processes, f.startOne(i))
	}
	f.known = map[origin.Key]bool{}
	f.unshared = map[origin.Key]bool{}
	f.cut = nil
	f.lost = -1
	if f.table.isFailing() {
		// Hosts that cannot read the store as they start do not learn what was known of versions before these change.
		f.safe = map[origin.Key]bool{}
	}
	time.Sleep(50 * time.Millisecond)
}

func (f *fleet) startOne(i int) *process {
	return start(f.t, f.table, strconv.Itoa(i), i == 0, f.versions)
}

// loseOne loses the process that is cut off from the others, or else a random one, with what only it knows.
func (f *fleet) loseOne() {
	i := max(slices.Index(f.processes, f.cut), 0)
	if f.cut == nil {
		i = f.r.IntN(len(f.processes))
	}
	f.goneAt = time.Now()
	f.processes[i].kill()
	f.processes = slices.Delete(slices.Clone(f.processes), i, i+1)
	f.lost = i
	if f.cut != nil {
		for k := range f.unshared {
			delete(f.known, k)
		}
		f.unshared = map[origin.Key]bool{}
		f.cut = nil
	}
}

// startLost starts the process again that was lost.
func (f *fleet) startLost() {
	f.processes = slices.Insert(f.processes, f.lost, f.startOne(f.lost))
	f.lost = -1
	time.Sleep(50 * time.Millisecond)
}

func (f *fleet) killAll() {
	for k := range f.known {
		begun := f.begun[k]
		if !f.table.isFailing() && time.Since(begun.at) > writtenWithin && begun.at.Sub(f.changedAt) > writtenWithin && begun.followedSince() {
			f.safe[k] = true
		}
	}
	for _, p := range f.processes {
		p.kill()
	}
}

// begin begins a stream at a random version.
func (f *fleet) begin() {
	p := f.processes[f.r.IntN(len(f.processes))]
	known := *p.known.Load()
	v := known[f.r.IntN(len(known))]
	f.next++
	f.begun[f.next] = stream{
		version: v,
		at:      time.Now(),
		by:      p,
	}
	f.known[f.next] = true
	if p == f.cut {
		f.unshared[f.next] = true
	}
	p.own.AddOwn(time.Now(), f.next, originAt(v), randomLifetime)
	if !p.history.Settled(time.Now(), origin.Scope{Pools: []string{"p"}, Lifetime: randomLifetime}) {
		p.Save(f.next, originAt(v), randomLifetime)
	}
}

// takeUp takes up a random stream that may still be resumed and that no host has in memory, as hosts.Origins does.
func (f *fleet) takeUp() {
	k := origin.Key(f.r.IntN(int(f.next)) + 1)
	begun := f.begun[k]
	if time.Since(begun.at) >= randomLifetime || f.known[k] {
		return
	}
	version := f.find(k)
	switch {
	case version == begun.version:
		f.wentOn++
	case version != "":
		f.t.Fatalf("stream %d began at %s and goes on at %s", k, begun.version, version)
	case f.safe[k] && !f.table.isFailing() && f.upToDate() && slices.Contains(f.versions(), begun.version):
		f.t.Fatalf("stream %d, which began at %s %s ago, is refused", k, begun.version, time.Since(begun.at))
	default:
		f.refused++
	}
}

// upToDate reports whether all processes have followed the versions for long.
func (f *fleet) upToDate() bool {
	for _, p := range f.processes {
		if time.Now().UnixNano() < p.stoppedUntil.Load()+int64(randomLifetime) {
			return false
		}
	}
	return true
}

// find returns at which version the stream goes on, or "" if it is refused.
func (f *fleet) find(k origin.Key) string {
	p := f.processes[f.r.IntN(len(f.processes))]
	o, found, err := p.Find(f.t.Context(), k)
	if found {
		return o.Version
	}
	if err != nil {
		return ""
	}
	now := time.Now()
	if v := origin.SeenVersion(f.statements(), randomLifetime); v != "" && !f.contradicts(p, v) {
		return v
	}
	if v := origin.AgreedVersion(f.statements(), randomLifetime); v != "" && !f.contradicts(p, v) {
		return v
	}
	mixedSince := now.Add(-origin.LongestMixed(f.statements()))
	v := origin.PreviousVersion(f.statements(), randomLifetime)
	if len(f.processes) < 3 || !f.goneAt.Before(mixedSince) || p.BeganAtOther("p", v, now.Add(-randomLifetime), mixedSince) {
		return ""
	}
	return v
}

// contradicts reports whether a process has seen the versions change within a stream's lifetime, the store held a stream of another one when the process read it, or other versions serve now.
func (f *fleet) contradicts(p *process, version string) bool {
	now := time.Now()
	for _, p := range f.processes {
		if d, changed := p.history.SinceChange(now, "p"); changed && d < randomLifetime {
			return true
		}
	}
	var news origin.News
	news.Upstreams = upstreams(f.versions())
	return p.BeganAtOther("p", version, now.Add(-randomLifetime), now) || !news.Allows(version, []string{"p"})
}

func (f *fleet) statements() []origin.Sole {
	var out []origin.Sole
	for _, p := range f.processes {
		if s, ok := p.history.Sole(time.Now(), "p"); ok {
			out = append(out, s)
		}
	}
	return out
}

// setFailing makes all calls to the store fail, or work again.
func (f *fleet) setFailing(failing bool) {
	f.table.setFailing(failing)
	f.changedAt = time.Now()
}

// step plays one random event.
func (f *fleet) step() {
	switch n := f.r.IntN(100); {
	case n < 60:
		f.begin()
	case n < 85:
		f.takeUp()
	case n < 88:
		f.killAll()
		time.Sleep(time.Duration(f.r.IntN(3000)) * time.Millisecond)
		f.startAll()
	case n < 91 && len(f.versions()) < 3:
		f.setVersions(append(slices.Clone(f.versions()), "v"+strconv.Itoa(f.r.IntN(1000))))
	case n < 94 && len(f.versions()) > 1:
		f.setVersions(slices.Clone(f.versions()[1:]))
	case n < 96 && len(f.versions()) > 1:
		f.setVersions(slices.Clone(f.versions()[:len(f.versions())-1]))
	case n < 97:
		f.processes[f.r.IntN(len(f.processes))].stopFollowing(time.Duration(f.r.IntN(8000)) * time.Millisecond)
	case n < 98 && f.lost >= 0:
		f.startLost()
	case n < 98 && f.cut != nil:
		f.loseOne()
	case n < 98:
		f.cut = f.processes[f.r.IntN(len(f.processes))]
	case n < 99:
		f.setFailing(f.r.IntN(2) == 0)
	default:
		time.Sleep(time.Duration(f.r.IntN(8000)) * time.Millisecond)
	}
	time.Sleep(time.Duration(f.r.IntN(200)) * time.Millisecond)
}

// Streams never go on at another version, whatever happens to hosts and store. Those that the hosts had time to write go on.
func TestRandomLossesNeverMixVersions(t *testing.T) {
	wentOn, refused := 0, 0
	for seed := range *randomSeeds {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{
				t:     t,
				r:     rand.New(rand.NewPCG(seed, 0)),
				table: newMemoryTable(),
				begun: map[origin.Key]stream{},
				safe:  map[origin.Key]bool{},
			}
			f.setVersions([]string{"v"})
			f.startAll()
			f.begin()
			for range randomSteps {
				f.step()
			}
			f.killAll()
			wentOn += f.wentOn
			refused += f.refused
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d streams went on, %d were refused", wentOn, refused)
}
