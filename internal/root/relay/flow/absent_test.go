package flow

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// changeWithin is the time within which a change must be in force in these tests, and keyTerm the term of the key lease.
	changeWithin = 3 * time.Second
	keyTerm      = 5 * time.Second
	happensAfter = 100 * time.Millisecond
)

// keyCodec takes the key of a request from its headers.
type keyCodec struct {
	HeaderCodec
}

func (keyCodec) RequestHead(h http.Header) (RequestHead, error) {
	return RequestHead{
		Key:           h.Get("Key"),
		CallerTimeout: 10 * time.Second,
	}, nil
}

func (keyCodec) FormatRetryAfter(d time.Duration) string { return d.String() }

// lookupHost is a host whose configuration lacks the route /new/ and the key "new", which version 2 adds.
type lookupHost struct {
	*Service
	lease *grant.Lease
}

func newLookupHost() lookupHost {
	start := time.Now()
	lease := grant.New(func() time.Duration { return time.Since(start) }, keyTerm)
	deps := common.NewQuietDeps("h", "d")
	table := route.New("d")
	table.Sync([]route.PoolSpec{{Name: "p", Slots: 4, Expected: time.Millisecond}}, []route.Upstream{{Name: "u", Addr: "10.0.0.1:1", Domain: "d", Pool: "p"}}, 1)
	h := lookupHost{
		Service: &Service{
			Deps:        deps,
			Plans:       &plan.Active{},
			Table:       table,
			Lease:       lease,
			Recency:     grant.NewRecency(lease, changeWithin),
			HeaderCodec: keyCodec{},
			Meter:       meter.New(),
		},
		lease: lease,
	}
	h.activate(1, []string{"/old/"}, []string{"old"})
	return h
}

// activate puts a configuration with the prefixes and keys into force.
func (h lookupHost) activate(version int64, prefixes, keys []string) {
	var routes []plan.Route
	for _, p := range prefixes {
		routes = append(routes, plan.Route{
			Name:    p,
			Host:    "h.example",
			Prefix:  p,
			Timeout: 10 * time.Second,
			Targets: []plan.Target{{Pool: "p", Weight: 1}},
		})
	}
	h.Plans.ReplaceIfNewer(plan.New(version, routes, []plan.Pool{{Name: "p"}}, []plan.Account{{Name: "a", Keys: keys}}, plan.Limits{}))
}

// confirm records that the store confirms the configuration now.
func (h lookupHost) confirm() {
	h.lease.Confirm(h.lease.RequestTime())
}

// admit asks whether a request with the path and key may be served. It returns 200 if so, or the status of the refusal, and its Retry-After header.
func (h lookupHost) admit(t *testing.T, path, key string) (status int, retryAfter string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, nil)
	r.Host = "h.example"
	r.Header.Set("Key", key)
	w := httptest.NewRecorder()
	x := &exchange{
		Service: h.Service,
		w:       w,
		r:       r,
		arrived: h.Now(),
	}
	if x.admit() {
		return http.StatusOK, ""
	}
	return w.Code, w.Header().Get("Retry-After")
}

// Guards against a final 404 or 401 by an old copy of the configuration, which may lack a route or key that must be in force (issue 57, rule CONFIG).
func TestAbsenceInAnOldConfigurationIsNoFinalAnswer(t *testing.T) {
	newer := func(h lookupHost) { h.activate(2, []string{"/old/", "/new/"}, []string{"old", "new"}) }
	scenarios := []struct {
		name string
		// age is the age of the confirmation as the request comes, or negative if there was none.
		age time.Duration
		// happens is what happens happensAfter the request came.
		happens func(h lookupHost)
		// found reports that the request is served, and final that its refusal is. Else it gets a 503 with a Retry-After.
		found, final bool
	}{
		{name: "confirmed just in time", age: changeWithin, final: true},
		{name: "confirmed too long ago", age: changeWithin + time.Millisecond},
		{name: "confirmed too long ago and now again", age: changeWithin + time.Millisecond, happens: lookupHost.confirm, final: true},
		{name: "confirmed too long ago and now replaced", age: changeWithin + time.Millisecond, happens: func(h lookupHost) { newer(h); h.confirm() }, found: true},
		{name: "confirmed too long ago and replaced by one that is not confirmed", age: changeWithin + time.Millisecond, happens: newer, found: true},
		{name: "confirmed again, but as of long ago", age: changeWithin + 200*time.Millisecond, happens: func(h lookupHost) { h.lease.Confirm(100 * time.Millisecond) }},
		{name: "never confirmed", age: -1},
	}
	requests := []struct {
		name, path, key string
		absent          int
	}{
		{name: "unknown route", path: "/new/x", key: "old", absent: http.StatusNotFound},
		{name: "unknown key", path: "/old/x", key: "new", absent: http.StatusUnauthorized},
	}
	for _, sc := range scenarios {
		for _, r := range requests {
			t.Run(r.name+", "+sc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newLookupHost()
					if sc.age >= 0 {
						h.confirm()
						time.Sleep(sc.age)
					}
					if sc.happens != nil {
						time.AfterFunc(happensAfter, func() { sc.happens(h) })
					}
					began := time.Now()
					status, retryAfter := h.admit(t, r.path, r.key)
					took := time.Since(began)
					want := http.StatusServiceUnavailable
					switch {
					case sc.found:
						want = http.StatusOK
					case sc.final:
						want = r.absent
					}
					if status != want {
						t.Errorf("status %d after %s, want %d", status, took, want)
					}
					if (retryAfter != "") != (status == http.StatusServiceUnavailable) {
						t.Errorf("Retry-After %q with status %d", retryAfter, status)
					}
					if took > time.Second || (sc.happens != nil && took < happensAfter) {
						t.Errorf("answered after %s of 10s", took)
					}
				})
			})
		}
	}
}

// Guards against hosts that refuse what they know because nobody confirms it.
func TestKnownRouteIsServedHoweverOldTheConfigurationIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLookupHost()
		h.confirm()
		time.Sleep(changeWithin + time.Second)
		began := time.Now()
		if status, _ := h.admit(t, "/old/x", "old"); status != http.StatusOK || time.Since(began) > 0 {
			t.Errorf("status %d after %s, want 200 at once", status, time.Since(began))
		}
	})
}
