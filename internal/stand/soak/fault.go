package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/link"
	"github.com/cornelwing/cornelwing/internal/stand/rows"
	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

// fault is one disturbance. Its types are those of this file.
type fault interface {
	isFault()
}

// terminateHost sends SIGTERM to a host and starts it again, killHost does so with SIGKILL.
type terminateHost struct {
	Host int
}

type killHost struct {
	Host int
}

// freezeHost stops the process of a host for a while.
type freezeHost struct {
	Host int
	For  time.Duration
}

// hangUp sends SIGHUP to a host.
type hangUp struct {
	Host int
}

// cutLinks cuts the paths between linkedHost and all servers for a while, in which it reaches them only through other hosts.
type cutLinks struct {
	Mode link.Mode
	For  time.Duration
}

// breakStore lets the calls of a host to the store fail for a while.
type breakStore struct {
	Host int
	Kind rows.Fault
	For  time.Duration
}

// copyStore takes a copy of the store, and restoreStore restores the latest one. After the pause the operator and the servers write again.
type copyStore struct{}

type restoreStore struct {
	Pause time.Duration
}

// changeKey replaces a key of the callers.
type changeKey struct{}

// serverLeaves lets a server leave, and serverCrashes ends one at once.
type serverLeaves struct {
	Service string
}

type serverCrashes struct {
	Service string
}

// engineFreezes stops the process of an engine for a while.
type engineFreezes struct {
	For time.Duration
}

// releaseEngines replaces the engines by those of a new software version, one after the other with the gap between them, while the old ones still serve.
type releaseEngines struct {
	Gap time.Duration
}

// releaseInPlace replaces the engines by those of a new software version under the same IDs and addresses, one after the other with the gap between them. Each writes its row after the delay.
type releaseInPlace struct {
	Gap      time.Duration
	RowDelay time.Duration
}

// serverPauses lets a server turn all requests away, with the text as Retry-After, for a while.
type serverPauses struct {
	Service    string
	RetryAfter string
	For        time.Duration
}

// serverLimits lets a server name a limit of its request rate for a while.
type serverLimits struct {
	Service   string
	PerSecond float64
	For       time.Duration
}

// serverMisbehaves gives a server a behavior for a while.
type serverMisbehaves struct {
	Service  string
	Behavior serv.Behavior
	For      time.Duration
}

// crashingRequests sends requests with a part of a prompt that crashes engines for a while.
type crashingRequests struct {
	For time.Duration
}

func (terminateHost) isFault()    {}
func (killHost) isFault()         {}
func (freezeHost) isFault()       {}
func (hangUp) isFault()           {}
func (cutLinks) isFault()         {}
func (breakStore) isFault()       {}
func (copyStore) isFault()        {}
func (restoreStore) isFault()     {}
func (changeKey) isFault()        {}
func (serverLeaves) isFault()     {}
func (serverCrashes) isFault()    {}
func (engineFreezes) isFault()    {}
func (releaseEngines) isFault()   {}
func (releaseInPlace) isFault()   {}
func (serverPauses) isFault()     {}
func (serverLimits) isFault()     {}
func (serverMisbehaves) isFault() {}
func (crashingRequests) isFault() {}

// event is a fault that begins at a time after the start of the load.
type event struct {
	At    time.Duration
	Fault fault
}

// String describes the event for a report.
func (e event) String() string {
	return fmt.Sprintf("%7.3f s  %T %+v", e.At.Seconds(), e.Fault, e.Fault)
}

// meanGap is the mean time between the beginnings of two faults, which is shorter than most of them last.
const meanGap = 400 * time.Millisecond

// maxReleaseGap bounds the time from one engine of a release to the next, maxRowDelay that from the start of an engine to its first write of its row, and noResponseTime is how long a server sends bytes that are no responses.
const (
	maxReleaseGap  = 500 * time.Millisecond
	maxRowDelay    = time.Second
	noResponseTime = time.Second
)

// schedule returns the faults of a seed, among them one release, one release in place, one cut of links and two servers that send bytes which are no responses, which all begin within the duration.
func schedule(seed uint64, hosts int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 7))
	out := []event{{
		Fault: copyStore{},
	}}
	fixed := append(cutSchedule(rng, hosts, duration), event{
		At:    time.Duration(rng.Int64N(int64(duration/2) + 1)),
		Fault: releaseEngines{Gap: time.Duration(rng.Int64N(int64(maxReleaseGap)))},
	})
	// A source of its own leaves the other faults of a seed as they are.
	own := rand.New(rand.NewPCG(seed, 11))
	for _, service := range []string{"plain", "engine"} {
		kinds := []serv.Behavior{serv.StatusZero, serv.BlankInName}
		fixed = append(fixed, event{
			At: time.Duration(own.Int64N(int64(duration) + 1)),
			Fault: serverMisbehaves{
				Service:  service,
				Behavior: kinds[own.IntN(len(kinds))],
				For:      noResponseTime,
			},
		})
	}
	fixed = append(fixed, event{
		At: time.Duration(own.Int64N(int64(duration) + 1)),
		Fault: releaseInPlace{
			Gap:      time.Duration(own.Int64N(int64(maxReleaseGap))),
			RowDelay: time.Duration(own.Int64N(int64(maxRowDelay))),
		},
	})
	fixed = append(fixed, newerFaults(rand.New(rand.NewPCG(seed, 13)), hosts, duration)...)
	storms := 0
	for at := time.Duration(0); ; {
		at += time.Duration(rng.Int64N(int64(2 * meanGap)))
		if at >= duration {
			out = append(out, fixed...)
			slices.SortStableFunc(out, func(a, b event) int { return cmp.Compare(a.At, b.At) })
			return out
		}
		f := randomFault(rng, hosts)
		if _, storm := f.(crashingRequests); storm {
			// Two storms at once would be one.
			if storms++; storms > 1 {
				continue
			}
		}
		out = append(out, event{
			At:    at,
			Fault: f,
		})
	}
}

// cutTime is how long linkedHost reaches servers through other hosts only, and killsInCut how many of these are killed meanwhile.
const (
	cutTime    = 4 * time.Second
	killsInCut = 2
)

// cutSchedule returns a cut of the links of linkedHost, and the ends of other hosts in it.
func cutSchedule(rng *rand.Rand, hosts int, duration time.Duration) []event {
	if hosts <= linkedHost+1 {
		return nil
	}
	modes := []link.Mode{link.Refuse, link.RefuseNew, link.Hang}
	from := time.Duration(rng.Int64N(int64(max(duration-cutTime, 0)) + 1))
	out := []event{{
		At:    from,
		Fault: cutLinks{Mode: modes[rng.IntN(len(modes))], For: cutTime},
	}}
	for range killsInCut {
		out = append(out, event{
			At:    from + time.Duration(rng.Int64N(int64(cutTime))),
			Fault: killHost{Host: linkedHost + 1 + rng.IntN(hosts-linkedHost-1)},
		})
	}
	return out
}

func randomFault(rng *rand.Rand, hosts int) fault {
	h := rng.IntN(hosts)
	service := []string{"plain", "engine", "worker"}[rng.IntN(3)]
	d := 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))
	switch rng.IntN(18) {
	case 0:
		return terminateHost{Host: h}
	case 1:
		return killHost{Host: h}
	case 2:
		return freezeHost{Host: h, For: d}
	case 3:
		return hangUp{Host: h}
	case 4, 5:
		kinds := []rows.Fault{rows.Busy, rows.Limited, rows.Silent, rows.Reset, rows.LoseAnswers}
		return breakStore{Host: h, Kind: kinds[rng.IntN(len(kinds))], For: d}
	case 6:
		return copyStore{}
	case 7:
		return restoreStore{Pause: time.Duration(rng.Int64N(int64(time.Second)))}
	case 8:
		return changeKey{}
	case 9:
		return serverLeaves{Service: service}
	case 10:
		return serverCrashes{Service: service}
	case 11:
		texts := []string{"0.7", "1", "2", "-3", "soon"}
		return serverPauses{Service: service, RetryAfter: texts[rng.IntN(len(texts))], For: d}
	case 12:
		return serverLimits{Service: service, PerSecond: 0.5 + rng.Float64()*8, For: 3 * d}
	case 13:
		kinds := []serv.Behavior{serv.Full, serv.Fail, serv.DropResponse, serv.Truncate, serv.TruncateHead, serv.Reset, serv.OtherRequestID, serv.NoStamp, serv.RespondTwice, serv.EndlessHead}
		return serverMisbehaves{Service: service, Behavior: kinds[rng.IntN(len(kinds))], For: d}
	case 14:
		return engineFreezes{For: d}
	case 15, 16:
		return serverCrashes{Service: "engine"}
	default:
		return crashingRequests{For: 6 * time.Second}
	}
}

// play carries out one fault, and returns once it has ended.
func (r *run) play(rng *rand.Rand, f fault) {
	switch f := f.(type) {
	case terminateHost:
		r.restart(f.Host, true)
	case killHost:
		r.restart(f.Host, false)
	case freezeHost:
		r.freeze(f.Host, f.For)
	case hangUp:
		r.world.hosts[f.Host].hangUp()
	case cutLinks:
		r.cutLinks(f)
	case harmWays:
		r.harmWays(f)
	case takeAddress:
		r.withServer(rng, f.From, f, func(s *server) { r.world.servers.takeAddress(s, f) })
	case freezeHosts:
		r.freezeHosts(f)
	case isolateHosts:
		r.isolateHosts(f)
	case pair:
		r.playPair(rng, f)
	case loseHosts:
		r.loseHosts(rng, f)
	case breakStore:
		r.breakStore(f)
	case copyStore:
		r.world.copyStore()
	case restoreStore:
		r.world.restoreStore(f.Pause)
	case changeKey:
		r.world.changeKey()
	case serverLeaves:
		r.withServer(rng, f.Service, f, r.world.servers.leave)
	case serverCrashes:
		// The stand-in has no error of a close that matters here.
		r.withServer(rng, f.Service, f, func(s *server) { _ = s.Close() })
	case engineFreezes:
		r.withServer(rng, "engine", f, func(s *server) { r.freezeEngine(s, f.For) })
	case releaseEngines:
		r.world.servers.release(f.Gap)
	case releaseInPlace:
		r.world.servers.releaseInPlace(f.Gap, f.RowDelay)
	case serverPauses:
		r.withServer(rng, f.Service, f, func(s *server) {
			s.SetPause(f.RetryAfter)
			time.Sleep(f.For)
			s.SetPause("")
		})
	case serverLimits:
		r.withServer(rng, f.Service, f, func(s *server) { r.limit(s, f) })
	case serverMisbehaves:
		r.withServer(rng, f.Service, f, func(s *server) {
			s.SetDefaultBehavior(s.possible(f.Behavior))
			time.Sleep(f.For)
			s.SetDefaultBehavior(serv.Good)
		})
	case crashingRequests:
		r.sendCrashing(f.For)
	default:
		panic(fmt.Sprintf("unknown fault %T", f))
	}
}

// withServer calls the function with a random server of the service, unless a fault of the same kind holds each of them.
func (r *run) withServer(rng *rand.Rand, service string, kind fault, f func(s *server)) {
	name := fmt.Sprintf("%T", kind)
	s := r.world.servers.hold(rng, service, name)
	if s == nil {
		return
	}
	defer r.world.servers.letGo(s, name)
	f(s)
}

// possible returns the behavior, or another one if it would break no rule of the protocol that callers could notice: the end of an unframed response that the server itself ends early and in order counts as complete.
func (s *server) possible(b serv.Behavior) serv.Behavior {
	if s.Unframed && b == serv.TruncateHead {
		return serv.Reset
	}
	return b
}

// freezeEngine stops the process of an engine for a while, and records that.
func (r *run) freezeEngine(s *server, d time.Duration) {
	e, ok := s.backend.(*engineProcess)
	if !ok {
		panic(fmt.Sprintf("server %s has no process", s.ID))
	}
	from := time.Now()
	e.signal(syscall.SIGSTOP)
	time.Sleep(d)
	e.signal(syscall.SIGCONT)
	r.history.addFreeze(freeze{
		Server: s.logName(),
		From:   from,
		To:     time.Now(),
	})
}

// limit lets a server name a limit for a while, and records that.
func (r *run) limit(s *server, f serverLimits) {
	s.SetLimit(strconv.FormatFloat(f.PerSecond, 'f', 2, 64))
	r.history.addLimit(s.logName(), f.PerSecond, f.For)
	time.Sleep(f.For)
	s.SetLimit("")
}

// restart ends a host by SIGTERM or SIGKILL and starts it again. It does nothing while another fault holds the host.
func (r *run) restart(i int, gracefully bool) {
	if !r.hold(i) {
		return
	}
	defer r.release(i)
	r.restartHeld(i, gracefully)
}

// restartHeld is restart for a fault that holds the host.
func (r *run) restartHeld(i int, gracefully bool) {
	h := r.world.hosts[i]
	from := time.Now()
	if !gracefully {
		h.kill()
	} else if !h.terminate() || h.exitCode() != 0 {
		r.history.addViolation("STOP", fmt.Sprintf("host %d did not end within %s of SIGTERM with exit code 0", i, stopGrace))
	}
	if err := h.start(); err != nil {
		r.history.addViolation("START", err.Error())
		return
	}
	if !h.waitReady(readyTimeout) {
		r.history.addViolation("START", fmt.Sprintf("host %d was not ready within %s", i, readyTimeout))
	}
	r.history.addDisturbance(disturbance{
		Host: i,
		From: from,
		To:   time.Now(),
	})
}

// freeze stops the process of a host for a while.
func (r *run) freeze(i int, d time.Duration) {
	if !r.hold(i) {
		return
	}
	defer r.release(i)
	from := time.Now()
	r.world.hosts[i].signal(syscall.SIGSTOP)
	time.Sleep(d)
	r.world.hosts[i].signal(syscall.SIGCONT)
	r.history.addDisturbance(disturbance{
		Host: i,
		From: from,
		To:   time.Now(),
	})
}

// cutLinks cuts the paths between linkedHost and all servers for a while.
func (r *run) cutLinks(f cutLinks) {
	from := time.Now()
	l := r.world.hosts[linkedHost].links
	if l == nil {
		return
	}
	l.setMode(f.Mode)
	time.Sleep(f.For)
	l.setMode(link.Open)
	r.history.addDisturbance(disturbance{
		Host:   linkedHost,
		From:   from,
		To:     time.Now(),
		CutOff: true,
	})
}

// breakStore lets the calls of a host to the store fail for a while.
func (r *run) breakStore(f breakStore) {
	from := time.Now()
	l := r.world.hosts[f.Host].store
	l.SetFault(f.Kind)
	time.Sleep(f.For)
	l.SetFault(rows.None)
	r.history.addDisturbance(disturbance{
		Host:   f.Host,
		From:   from,
		To:     time.Now(),
		CutOff: true,
	})
}
