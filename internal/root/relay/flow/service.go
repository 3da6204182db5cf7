package flow

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/retry"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// notReadyRetry is when to come back to a host that may serve nothing yet.
	notReadyRetry = 500 * time.Millisecond
	// crashRetry is when to come back with a request that crashes upstreams.
	crashRetry = 30 * time.Second
	// unsharedReserve is the reserve of retries of a host that doesn't know how many others there are.
	unsharedReserve = 1.0
)

// Sender sends one request to an upstream.
type Sender interface {
	Do(ctx context.Context, r send.Request) send.Result
}

// Workers run the pieces of stages.
type Workers interface {
	// Do runs the work; free, where not nil, gives its results up.
	Do(ctx context.Context, w batch.Work) (o batch.Outcome, free func())
}

// Crashes finds the requests that crash the upstreams that run them.
type Crashes interface {
	// Stopped reports whether the request crashed so many upstreams that it is sent to no more.
	Stopped(p crash.Fingerprint) bool
	// Broke tells that the connection to an upstream was lost while it ran the request.
	Broke(ctx context.Context, p crash.Fingerprint, up route.Upstream)
	// Served tells that an upstream ran the request to its end.
	Served(p crash.Fingerprint)
}

// Budget tells how retries are bounded.
type Budget struct {
	// Ratio is how many retries each request adds, and Extra how many are allowed besides in a window.
	Ratio float64
	Extra float64
}

// Service serves requests.
type Service struct {
	common.Deps
	Plans   *plan.Active
	Table   *route.Table
	Sender  Sender
	Workers Workers
	Crashes Crashes
	Lease   *grant.Lease
	Headers Headers
	Budget  Budget
	Meter   *meter.Meter
	// Hosts returns how many hosts share the retry budget, or 0 while that is not known.
	Hosts func() int

	// spans is how long stages take.
	spans spans

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u := &run{
		Service: s,
		w:       w,
		r:       r,
		arrived: s.Now(),
	}
	defer u.end()
	if u.admit() {
		u.serve()
	}
}

// admit checks the request whole, and answers it where it can't be served.
func (u *run) admit() bool {
	var err error
	u.header = u.r.Header.Clone()
	if u.ask, err = u.Headers.Ask(u.header); err != nil {
		u.fail(http.StatusBadRequest, CauseMalformed, err.Error())
		return false
	}
	u.plan = u.Plans.Current()
	if u.plan == nil {
		u.refuse(notReadyRetry, CauseNotReady, "no configuration yet")
		return false
	}
	if !u.match() || !u.headFits() || !u.identify() {
		return false
	}
	wait := u.route.Timeout
	if u.ask.Wait > 0 && (wait <= 0 || u.ask.Wait < wait) {
		wait = u.ask.Wait
	}
	u.deadline = u.arrived.Add(wait)
	if !u.readBody() {
		return false
	}
	u.print = crash.FingerprintOf(u.body, u.r.Host, u.r.RequestURI, u.account.Name)
	u.pool = u.route.Pool(rand.Float64())
	if u.route.Affinity {
		u.near = u.Table.Home(u.arrived, u.pool, u.ask.affinity())
	}
	return true
}

func (u *run) match() bool {
	host := u.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(u.r.RequestURI, "?")
	var ok bool
	if u.route, ok = u.plan.Match(host, path); !ok || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		u.fail(http.StatusNotFound, CauseRoute, "no route")
		return false
	}
	return true
}

// headFits refuses a request whose headers are larger than the configuration allows.
func (u *run) headFits() bool {
	limit := u.plan.Limits.HeaderBytes
	if limit <= 0 || headBytes(u.r) <= limit {
		return true
	}
	u.fail(http.StatusRequestHeaderFieldsTooLarge, CauseTooLarge, "headers are too large")
	return false
}

// headBytes is about the size of a request's head as it was sent, in bytes.
func headBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + perLine
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perLine
		}
	}
	return n
}

// identify finds the caller's account. A keyed request is served only while the configuration is known to be recent.
func (u *run) identify() bool {
	if u.route.Public || !u.plan.RequiresKeys() {
		return true
	}
	if !u.Lease.Valid() {
		age, _ := u.Lease.Age()
		u.refuse(notReadyRetry, CauseKeysUnsure, "platform not heard for "+age.Round(time.Millisecond).String())
		return false
	}
	var ok bool
	if u.account, ok = u.plan.Account(u.ask.Key); !ok {
		u.fail(http.StatusUnauthorized, CauseKey, "unknown key")
		return false
	}
	u.keyed = true
	return true
}

// allowed checks the account again just before a send, as the key may have been taken away since.
func (u *run) allowed() bool {
	if !u.keyed {
		return true
	}
	if !u.Lease.Valid() {
		return false
	}
	_, ok := u.Plans.Current().Account(u.ask.Key)
	return ok
}

// rank is the urgency of the request; 0 is the most urgent.
func (u *run) rank() int {
	if u.account.Ranked {
		return u.account.Rank
	}
	return u.route.Rank
}

// budget returns the retry budget of a pool, of which this host has its share.
func (s *Service) budget(pool string) *retry.Budget {
	reserve := unsharedReserve
	if n := s.Hosts(); n > 0 {
		reserve = s.Budget.Extra / float64(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budgets == nil {
		s.budgets = map[string]*retry.Budget{}
	}
	b, ok := s.budgets[pool]
	if !ok {
		b = retry.NewBudget(retry.WithRatio(s.Budget.Ratio), retry.WithReserve(reserve))
		s.budgets[pool] = b
	}
	b.Limit(reserve)
	return b
}
