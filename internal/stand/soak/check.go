package soak

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

const (
	// stableTime is the time after which hosts must agree on what they have seen.
	stableTime = 3 * time.Second
	// maxLateCrashing is how many requests with a crashing part may reach servers later than stableTime after the fifth crash.
	maxLateCrashing = 3
	crashesToNotice = 5
	// pauseDelay is the time after which a pause is in force, and maxInPause how many requests of a host may reach a server in a pause.
	pauseDelay = 500 * time.Millisecond
	maxInPause = 2
	// limitWindow, limitFactor and limitExtra bound the requests to a server with a limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// recoveredShare is the least part of the requests that must be served after all faults.
	recoveredShare = 0.98
	// thawTime is how long after a server was stopped requests may be read that came while it was.
	thawTime = 300 * time.Millisecond
)

// check adds the broken rules to the history. servers is what each server has seen, and revoked when each key was revoked. Requests sent after recovered must be served.
func (h *history) check(servers []serverLog, revoked map[string]time.Time, recovered time.Time) {
	h.checkResponses()
	h.checkRuns(servers)
	h.checkServices(servers)
	h.checkKeys(revoked)
	h.checkLeaving(servers)
	inTime := h.withoutHeldUp(servers)
	h.checkPauses(inTime)
	h.checkLimits(inTime)
	h.checkCrashing(servers)
	h.checkEvacuations(inTime)
	h.checkRecovery(recovered)
}

// withoutHeldUp returns the logs without the arrivals at servers that had been stopped just before, as these may have been sent much earlier.
func (h *history) withoutHeldUp(servers []serverLog) []serverLog {
	out := slices.Clone(servers)
	for i, s := range out {
		out[i].Arrivals = slices.DeleteFunc(slices.Clone(s.Arrivals), func(a serv.Arrival) bool { return h.heldUp(s.ID, a.At) })
	}
	return out
}

// heldUp reports whether the server had been stopped just before the time.
func (h *history) heldUp(server string, at time.Time) bool {
	return slices.ContainsFunc(h.freezes, func(f freeze) bool {
		return f.Server == server && at.After(f.From) && at.Before(f.To.Add(thawTime))
	})
}

// checkResponses checks that what looks like a whole response is the one of the request, and that a broken stream holds nothing but the beginning of one.
func (h *history) checkResponses() {
	for _, q := range h.requests {
		switch {
		case q.whole() && (q.EchoedID != q.ID || q.joined() != q.wantBody()):
			h.addViolationf("ORDER", "request %s (HTTP/1.0: %t) to %s got a whole response with ID %q and body %q after %q", q.ID, q.HTTP10, q.Route.Name, q.EchoedID, q.Body, q.Before)
		case q.holdsEvents() && !strings.HasPrefix(q.wantBody(), q.joined()):
			h.addViolationf("ORDER", "request %s (HTTP/1.0: %t) to %s got a stream that broke off with body %q after %q", q.ID, q.HTTP10, q.Route.Name, q.Body, q.Before)
		}
	}
}

// checkRuns checks that requests which must not be repeated ran once at most, and that refused ones did not run.
func (h *history) checkRuns(servers []serverLog) {
	runs := map[string]int{}
	for _, s := range servers {
		for _, id := range s.Runs {
			runs[id]++
		}
	}
	for _, q := range h.requests {
		if q.Route.runsOnce() && runs[q.ID] > 1 {
			h.addViolationf("TWICE", "request %s to %s ran %d times", q.ID, q.Route.Name, runs[q.ID])
		}
		if q.refused() && runs[q.ID] > 0 {
			h.addViolationf("REFUSED", "request %s to %s was refused with %d, and ran %d times", q.ID, q.Route.Name, q.Status, runs[q.ID])
		}
	}
}

// refused reports whether the response promises that the request never runs.
func (r *request) refused() bool {
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	return slices.Contains(promises, r.Status) && !r.Stamped
}

// checkKeys checks that no request with a key that was revoked long ago was served, and that none with a valid one was refused for it.
func (h *history) checkKeys(revokedAt map[string]time.Time) {
	for _, q := range h.requests {
		at, revoked := revokedAt[q.Key]
		if revoked && q.Sent.Sub(at) > revokeTime && q.whole() {
			h.addViolationf("KEYS", "request %s with key %s was served %s after its revocation", q.ID, q.Key, q.Sent.Sub(at))
		}
		if q.Key == steadyKey && q.Status == http.StatusUnauthorized {
			h.addViolationf("KEYS", "request %s with a valid key was refused", q.ID)
		}
	}
}

// checkLeaving checks that a host sends nothing further to a server after it has passed on that the server is leaving.
func (h *history) checkLeaving(servers []serverLog) {
	byID := h.requestsByID()
	for _, s := range servers {
		toldAt := map[int]time.Time{}
		for _, a := range s.Arrivals {
			q, ok := byID[a.ID]
			if !ok {
				continue
			}
			if told, ok := toldAt[q.Host]; ok && q.Sent.Sub(told) > forgetTime && !h.forgotSince(q.Host, told) {
				h.addViolationf("DRAIN", "request %s reached %s %s after host %d had passed on that it is leaving", q.ID, s.ID, q.Sent.Sub(told), q.Host)
			}
			if _, known := toldAt[q.Host]; a.Leaving && q.Leaving && !known {
				toldAt[q.Host] = q.Ended
			}
		}
	}
}

// checkPauses checks that a host sends next to nothing to a server in a pause that the server has asked it for.
func (h *history) checkPauses(servers []serverLog) {
	byID := h.requestsByID()
	for _, s := range servers {
		log := s.Arrivals
		for i, a := range log {
			seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
			q, ok := byID[a.ID]
			if err != nil || !ok || seconds <= 0 {
				continue
			}
			from := a.At.Add(pauseDelay)
			to := a.At.Add(time.Duration(seconds * float64(time.Second)))
			n := 0
			for _, later := range log[i+1:] {
				if o, ok := byID[later.ID]; ok && o.Host == q.Host && later.At.After(from) && later.At.Before(to) {
					n++
				}
			}
			if n > maxInPause && !h.disturbedSince(q.Host, a.At) {
				h.addViolationf("BUDGET", "%d requests of host %d reached %s in a pause of %s s", n, q.Host, s.ID, a.RetryAfter)
			}
		}
	}
}

// checkLimits checks that all hosts together keep to the limits that servers have named.
func (h *history) checkLimits(servers []serverLog) {
	for _, l := range h.limits {
		i := slices.IndexFunc(servers, func(s serverLog) bool { return s.ID == l.Server })
		allowed := int(limitFactor*l.PerSecond*limitWindow.Seconds()) + limitExtra
		if n := busiest(servers[i].Arrivals, l.From.Add(stableTime), l.To); n > allowed {
			h.addViolationf("LIMIT", "%d requests reached %s within %s, %d are allowed at %.2f a second", n, l.Server, limitWindow, allowed, l.PerSecond)
		}
	}
}

// busiest returns the largest number of arrivals in any limitWindow within from and to.
func busiest(arrivals []serv.Arrival, from, to time.Time) int {
	most := 0
	for i, begin := range arrivals {
		if begin.At.Before(from) || begin.At.After(to) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(begin.At) <= limitWindow && a.At.Before(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkCrashing checks that hosts soon send no more requests with the part that crashes engines.
func (h *history) checkCrashing(servers []serverLog) {
	byID := h.requestsByID()
	var sends []time.Time
	for _, s := range servers {
		for _, a := range s.Arrivals {
			if q, ok := byID[a.ID]; ok && q.Crashing {
				sends = append(sends, a.At)
			}
		}
	}
	slices.SortFunc(sends, time.Time.Compare)
	if len(sends) < crashesToNotice {
		return
	}
	// Each of these requests crashes the server that it reaches.
	from := sends[crashesToNotice-1].Add(stableTime)
	late := 0
	for _, at := range sends {
		if at.After(from) {
			late++
		}
	}
	if late > maxLateCrashing {
		h.addViolationf("BUDGET", "%d requests with a part that crashes engines reached them later than %s after the fifth crash", late, stableTime)
	}
}

// checkRecovery checks that requests are served once all faults have ended.
func (h *history) checkRecovery(from time.Time) {
	sent := 0
	whole := 0
	failed := map[int]int{}
	for _, q := range h.requests {
		brokenAtClient := q.BreaksAfter > 0 && q.holdsEvents()
		if q.Sent.Before(from) || q.Key != steadyKey || q.Crashing || brokenAtClient {
			continue
		}
		sent++
		if q.whole() {
			whole++
			continue
		}
		failed[q.Status]++
	}
	if sent == 0 || float64(whole) < recoveredShare*float64(sent) {
		h.addViolationf("RECOVER", "%d of %d requests were served after all faults had ended, the others got %v", whole, sent, failed)
	}
}

// requestsByID returns the requests by their IDs.
func (h *history) requestsByID() map[string]request {
	out := make(map[string]request, len(h.requests))
	for _, q := range h.requests {
		out[q.ID] = q
	}
	return out
}

// forgotSince reports whether the host was ended or frozen since the time, which excuses that it knows less.
func (h *history) forgotSince(host int, since time.Time) bool {
	return slices.ContainsFunc(h.disturbances, func(d disturbance) bool { return d.Host == host && d.To.After(since) && !d.CutOff })
}

// disturbedSince reports whether a fault has held the host since the time.
func (h *history) disturbedSince(host int, since time.Time) bool {
	return slices.ContainsFunc(h.disturbances, func(d disturbance) bool { return d.Host == host && d.To.After(since) })
}
