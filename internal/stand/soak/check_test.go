package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

var begin = time.Unix(1000, 0)

// after returns a time in seconds after begin.
func after(s float64) time.Time {
	return begin.Add(time.Duration(s * float64(time.Second)))
}

// answered returns a request to host 0 that was sent at a time and got a whole response 0.1 s later.
func answered(id string, r route, sent float64) request {
	q := request{
		ID:       id,
		Route:    r,
		Key:      steadyKey,
		Sent:     after(sent),
		Ended:    after(sent + 0.1),
		Status:   200,
		Stamped:  true,
		EchoedID: id,
	}
	q.Body = q.wantBody()
	return q
}

// takenUp returns a request that took a stream up after some events and got a whole response.
func takenUp(before, body string) request {
	return answered("b", resumedRoute, 1).with(func(q *request) {
		q.First = "a"
		q.Before = before
		q.Body = body
	})
}

// with returns the request after a change.
func (r request) with(change func(*request)) request {
	change(&r)
	return r
}

// arrivals returns n requests of host 0 that arrive at a server, the first at a time and the others one every 0.1 s, and their arrivals.
func arrivals(n int, from float64, change func(*request)) ([]request, []serv.Arrival) {
	var requests []request
	var out []serv.Arrival
	for i := range n {
		at := from + float64(i)/10
		id := fmt.Sprintf("r%g-%d", from, i)
		requests = append(requests, answered(id, routes[0], at).with(change))
		out = append(out, serv.Arrival{At: after(at), ID: id})
	}
	return requests, out
}

// TestCheckersFindBrokenRules guards against checks that pass whatever happened.
func TestCheckersFindBrokenRules(t *testing.T) {
	safe := routes[0]
	once := routes[1]
	stream := routes[2]
	unchanged := func(*request) {}
	crashing := func(q *request) { q.Crashing = true }
	ten, tenArrivals := arrivals(10, 2, unchanged)
	many, manyArrivals := arrivals(60, 4, unchanged)
	crashes, crashArrivals := arrivals(5, 0, crashing)
	late, lateArrivals := arrivals(4, 4, crashing)
	told := answered("told", safe, 1).with(func(q *request) { q.Leaving = true })
	paused := answered("paused", safe, 1)
	scenarios := []struct {
		name         string
		requests     []request
		servers      []serverLog
		disturbances []disturbance
		limits       []limitation
		freezes      []freeze
		evacuations  []evacuation
		want         string
	}{
		{name: "a whole response", requests: []request{answered("a", stream, 1)}},
		{name: "the response of another request", requests: []request{answered("a", safe, 1).with(func(q *request) { q.Body = "body of b" })}, want: "ORDER"},
		{name: "a stream without its last event", requests: []request{answered("a", stream, 1).with(func(q *request) { q.Body = q.Body[:len(q.Body)-20] })}, want: "ORDER"},
		{name: "a stream that was broken off", requests: []request{answered("a", stream, 1).with(func(q *request) { q.Body = ""; q.Err = "EOF" })}},
		{name: "a stream that was broken off after an event that it had twice", requests: []request{answered("a", stream, 1).with(func(q *request) { q.Body = eventTexts(1, 2, "v1") + eventTexts(2, 2, "v1"); q.Err = "EOF" })}, want: "ORDER"},
		{name: "a stream that was broken off in an event", requests: []request{answered("a", stream, 1).with(func(q *request) { q.Body = q.Body[:30]; q.Err = "EOF" })}},
		{name: "a stream in HTTP/1.0 that ends in order too early", requests: []request{answered("a", stream, 1).with(func(q *request) { q.HTTP10 = true; q.Body = eventTexts(1, 5, "v1") })}, want: "ORDER"},
		{name: "a stream in HTTP/1.0 that is reset", requests: []request{answered("a", stream, 1).with(func(q *request) { q.HTTP10 = true; q.Body = eventTexts(1, 5, "v1"); q.Err = "reset" })}},
		{name: "a stream that is taken up an event too late", requests: []request{takenUp(eventTexts(1, 2, "v1"), eventTexts(4, streamEvents, "v1"))}, want: "ORDER"},
		{name: "a stream that is taken up and ends too early", requests: []request{takenUp(eventTexts(1, 2, "v1"), eventTexts(3, 4, "v1"))}, want: "ORDER"},
		{name: "a stream that is taken up after its last event", requests: []request{takenUp(eventTexts(1, streamEvents, "v1"), "")}},
		{name: "a stream that is taken up", requests: []request{takenUp(eventTexts(1, 2, "v1"), eventTexts(3, streamEvents, "v1"))}},
		{name: "a stream that is taken up at another version", requests: []request{takenUp(eventTexts(1, 2, "v1"), eventTexts(3, streamEvents, "v2"))}, want: "ORDER"},
		{name: "a stream of the second version that is taken up", requests: []request{takenUp(eventTexts(1, 2, "v2"), eventTexts(3, streamEvents, "v2"))}},
		{name: "a request that ran twice", requests: []request{answered("a", once, 1)}, servers: []serverLog{{Runs: []string{"a"}}, {Runs: []string{"a"}}}, want: "TWICE"},
		{name: "an idempotent request that ran twice", requests: []request{answered("a", safe, 1)}, servers: []serverLog{{Runs: []string{"a", "a"}}}},
		{name: "a request that ran at a server of another service", requests: []request{answered("a", safe, 1)}, servers: []serverLog{{Service: "engine", Runs: []string{"a"}}}, want: "ROUTE"},
		{name: "a request that reached a server of another service and did not run", requests: []request{answered("a", safe, 1)}, servers: []serverLog{{Service: "engine", Arrivals: []serv.Arrival{{At: after(1), ID: "a"}}}, {Service: "plain", Runs: []string{"a"}}}},
		{name: "a refused request that ran", requests: []request{{ID: "a", Route: once, Status: 503}}, servers: []serverLog{{Runs: []string{"a"}}}, want: "REFUSED"},
		{name: "a refused request that did not run", requests: []request{{ID: "a", Route: once, Status: 503}}},
		{name: "a key that was revoked long ago", requests: []request{answered("a", safe, 9).with(func(q *request) { q.Key = "old" })}, want: "KEYS"},
		{name: "a key that was just revoked", requests: []request{answered("a", safe, 1).with(func(q *request) { q.Key = "old" })}},
		{name: "a valid key that was refused", requests: []request{answered("a", safe, 1).with(func(q *request) { q.Status = 401 })}, want: "KEYS"},
		{name: "a leaving server that is used", requests: append([]request{told}, many...), servers: []serverLog{{Arrivals: append([]serv.Arrival{{At: after(1), ID: "told", Leaving: true}}, manyArrivals...)}}, want: "DRAIN"},
		{name: "a leaving server that is used after the host was ended", requests: append([]request{told}, many...), servers: []serverLog{{Arrivals: append([]serv.Arrival{{At: after(1), ID: "told", Leaving: true}}, manyArrivals...)}}, disturbances: []disturbance{{From: after(1.5), To: after(2)}}},
		{name: "a leaving server that is used after the store was away", requests: append([]request{told}, many...), servers: []serverLog{{Arrivals: append([]serv.Arrival{{At: after(1), ID: "told", Leaving: true}}, manyArrivals...)}}, disturbances: []disturbance{{From: after(1.5), To: after(2), CutOff: true}}, want: "DRAIN"},
		{name: "requests in a pause", requests: append([]request{paused}, ten...), servers: []serverLog{{Arrivals: append([]serv.Arrival{{At: after(1), ID: "paused", RetryAfter: "2"}}, tenArrivals...)}}, want: "BUDGET"},
		{name: "requests after a pause", requests: append([]request{paused}, ten...), servers: []serverLog{{Arrivals: append([]serv.Arrival{{At: after(1), ID: "paused", RetryAfter: "0.9"}}, tenArrivals...)}}},
		{name: "requests in a pause that a server stopped long before reads", requests: append([]request{paused}, ten...), servers: []serverLog{{ID: "s", Arrivals: append([]serv.Arrival{{At: after(1), ID: "paused", RetryAfter: "2"}}, tenArrivals...)}}, freezes: []freeze{{Server: "s", From: after(1.1), To: after(1.5)}}, want: "BUDGET"},
		{name: "requests in a pause that a server reads just after it was stopped", requests: append([]request{paused}, ten...), servers: []serverLog{{ID: "s", Arrivals: append([]serv.Arrival{{At: after(1), ID: "paused", RetryAfter: "2"}}, tenArrivals...)}}, freezes: []freeze{{Server: "s", From: after(1.1), To: after(2.8)}}},
		{name: "more requests than a limit allows", requests: many, servers: []serverLog{{ID: "s", Arrivals: manyArrivals}}, limits: []limitation{{Server: "s", PerSecond: 2, From: after(0), To: after(20)}}, want: "LIMIT"},
		{name: "as many as it allows", requests: many, servers: []serverLog{{ID: "s", Arrivals: manyArrivals}}, limits: []limitation{{Server: "s", PerSecond: 6, From: after(0), To: after(20)}}},
		{name: "a part that goes on crashing engines", requests: append(crashes, late...), servers: []serverLog{{Arrivals: append(crashArrivals, lateArrivals...)}}, want: "BUDGET"},
		{name: "a part that is tried three times", requests: append(crashes, late[:3]...), servers: []serverLog{{Arrivals: append(crashArrivals, lateArrivals[:3]...)}}},
		{name: "an evacuated zone that is used", requests: many, servers: []serverLog{{Zone: evacuableZone, Arrivals: manyArrivals}}, evacuations: []evacuation{{From: after(3), To: after(20)}}, want: "EVAC"},
		{name: "an evacuated zone that is used by a host that was cut off", requests: many, servers: []serverLog{{Zone: evacuableZone, Arrivals: manyArrivals}}, evacuations: []evacuation{{From: after(3), To: after(20)}}, disturbances: []disturbance{{From: after(3.5), To: after(4), CutOff: true}}},
		{name: "an evacuated zone that is used just after the order", requests: ten, servers: []serverLog{{Zone: evacuableZone, Arrivals: tenArrivals}}, evacuations: []evacuation{{From: after(1), To: after(20)}}},
		{name: "a zone that was taken back", requests: many, servers: []serverLog{{Zone: evacuableZone, Arrivals: manyArrivals}}, evacuations: []evacuation{{From: after(0), To: after(4)}}},
		{name: "a stream that breaks at the client after all faults", requests: []request{answered("a", resumedRoute, 31).with(func(q *request) { q.BreaksAfter = 1; q.Err = "broken" })}},
		{name: "a stream that fails after all faults before it can break at the client", requests: []request{answered("a", resumedRoute, 31).with(func(q *request) { q.BreaksAfter = 1; q.Status = 504; q.Stamped = false })}, want: "RECOVER"},
		{name: "a request that fails after all faults", requests: []request{answered("a", safe, 31).with(func(q *request) { q.Status = 504; q.Stamped = false })}, want: "RECOVER"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			h := &history{
				requests:     append([]request{answered("last", safe, 40)}, sc.requests...),
				disturbances: sc.disturbances,
				limits:       sc.limits,
				freezes:      sc.freezes,
				evacuations:  sc.evacuations,
			}
			h.check(sc.servers, map[string]time.Time{"old": after(0)}, after(30))
			var rules []string
			for _, v := range h.violations {
				if !slices.Contains(rules, v.Rule) {
					rules = append(rules, v.Rule)
				}
			}
			var want []string
			if sc.want != "" {
				want = []string{sc.want}
			}
			if !slices.Equal(rules, want) {
				t.Errorf("got %v, want %v", h.violations, want)
			}
		})
	}
}
