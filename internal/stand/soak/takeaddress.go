package soak

import (
	"math/rand/v2"
	"time"
)

// takeAddress ends a server, and starts one of another service (or of a new ID, if it is the same) at its address after the delay, for a while.
type takeAddress struct {
	From, By string
	Delay    time.Duration
	For      time.Duration
}

func (takeAddress) isFault() {}

const (
	// reuseTime is the least time after which the address of a server is used again, and maxReuseDelay how much later that may be.
	reuseTime     = 2 * time.Second
	maxReuseDelay = time.Second
	// minTaken and maxTaken bound how long the address is used.
	minTaken = 2 * time.Second
	maxTaken = 5 * time.Second
)

func randomTaking(rng *rand.Rand) takeAddress {
	services := []string{"plain", "engine", "worker"}
	return takeAddress{
		From:  services[rng.IntN(len(services))],
		By:    services[rng.IntN(len(services))],
		Delay: reuseTime + time.Duration(rng.Int64N(int64(maxReuseDelay))),
		For:   minTaken + time.Duration(rng.Int64N(int64(maxTaken-minTaken))),
	}
}

// takeAddress ends a server, and plays another one at its address, which leaves in the end.
func (f *fleet) takeAddress(old *server, t takeAddress) {
	addr := old.Addr()
	// The stand-in has no error of a close that matters here.
	_ = old.Close()
	time.Sleep(t.Delay)
	s, err := f.addAt(t.By, addr)
	if err != nil || s == nil {
		// Another process has the address, or the run has ended.
		return
	}
	f.mu.Lock()
	f.superseded[s] = true
	f.mu.Unlock()
	time.Sleep(t.For)
	f.leave(s)
}

// checkServices checks that requests run only at servers of the service of their route.
func (h *history) checkServices(servers []serverLog) {
	byID := h.requestsByID()
	for _, s := range servers {
		for _, id := range s.Runs {
			if q, ok := byID[id]; ok && s.Service != "" && q.Route.Service != s.Service {
				h.addViolationf("ROUTE", "request %s to %s ran at %s of service %s", q.ID, q.Route.Name, s.ID, s.Service)
			}
		}
	}
}
