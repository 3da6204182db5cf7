package flow

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/graph"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/serve"
)

const (
	// notReadyRetryAfter is the Retry-After time while this host cannot serve the request yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// unusableRouteRetryAfter is the Retry-After time on a route that can't be served until an operator changes it.
	unusableRouteRetryAfter = 5 * time.Second
	// unknownHostsReserve is how many extra retries are allowed on a host that does not know how many hosts share the budget.
	unknownHostsReserve = 1.0
)

// Sender sends one request to an upstream.
type Sender interface {
	Do(ctx context.Context, r send.Request) send.Result
}

// Workers runs the pieces of stages.
type Workers interface {
	// Do runs the work. free, if not nil, frees its results.
	Do(ctx context.Context, w batch.Work) (o batch.Outcome, free func())
}

// CrashDetector detects requests, and parts of their prompts, that crash the upstreams that run them.
type CrashDetector interface {
	// Check decides before any work whether the request may be sent.
	Check(r blame.Request) Admission
	// BeginAttempt decides whether the request may be sent to one upstream now.
	BeginAttempt(ctx context.Context, r blame.Request) Admission
	// RecordConnLoss records that the connection to an upstream was lost while it ran the request.
	RecordConnLoss(ctx context.Context, r blame.Request, up route.Upstream)
	// RecordLateConnLoss records that the connection to an upstream, one of so many of its pool, was lost after it had been answering a request for a while.
	RecordLateConnLoss(ctx context.Context, late blame.LateRun, up route.Upstream, poolSize int)
	// RecordSurvived records that an upstream ran the request to completion (see blame.Request.Whole), or has been sending its response for a while.
	RecordSurvived(r blame.Request)
}

// Upstreams tracks which upstreams may be used.
type Upstreams interface {
	// MarkLeaving records that an upstream announced in a response that it is leaving.
	MarkLeaving(i route.Incarnation)
	// Serves reports whether the upstream is registered and not leaving. One that leaves may end after its last response.
	Serves(i route.Incarnation) bool
	// MayHaveRestarted reports whether the upstream may have been a later start of it, with another software version, at the given time.
	MayHaveRestarted(i route.Incarnation, version string, at time.Time) bool
	// MarkReplaced records that a process which started at the given time, in milliseconds since the Unix epoch, answers in place of the one that the row of the upstream describes.
	MarkReplaced(i route.Incarnation, startedAtMS int64)
}

// Starts finds out whether upstreams are still the processes that their rows describe.
type Starts interface {
	// Check asks the process at the address of the upstream when it started.
	Check(ctx context.Context, i route.Incarnation) starts.Finding
	// Probe asks also if the row does not say when the process started, over the connection unless that is nil.
	Probe(ctx context.Context, i route.Incarnation, conn net.Conn) starts.Finding
}

// Limits keeps to the request rates that upstreams name, over all hosts.
type Limits interface {
	// Note records the limit, in requests per second, that an upstream named in the response to a request that was sent at the given time. 0 means that it named none.
	Note(up route.Upstream, perSecond float64, sentAt time.Time)
	// Take returns whether one request may be sent to a limited upstream now, or else how long there will be no permit for another one.
	Take(ctx context.Context, up route.Upstream) (granted bool, retry time.Duration)
}

// WarmUps learns which upstreams may have restarted, and then take few requests.
type WarmUps interface {
	// RecordUnreachable records that no connection to the upstream could be opened.
	RecordUnreachable(up route.Upstream)
	// RecordResponse records that the upstream has answered a request.
	RecordResponse(up route.Upstream)
}

// Budget configures the retry budget of a pool.
type Budget struct {
	// Ratio is how many retries each request adds to the budget. ExtraRetries is how many more retries are allowed within a window on all hosts together. Each host gets an equal part of ExtraRetries.
	Ratio        float64
	ExtraRetries float64
}

// Service forwards requests to upstreams.
type Service struct {
	common.Deps
	Plans     *plan.Active
	Moves     *plan.Moves
	Table     *route.Table
	Upstreams Upstreams
	Limits    Limits
	WarmUps   WarmUps
	// PermitClock is the clock by which permits for cold upstreams expire. It goes on while the host is suspended.
	PermitClock   func() time.Duration
	Origins       Origins
	Starts        Starts
	Sender        Sender
	Workers       Workers
	CrashDetector CrashDetector
	Lease         *grant.Lease
	Recency       *grant.Recency
	Evacuations   Evacuations
	HeaderCodec   HeaderCodec
	Budget        Budget
	Meter         *meter.Meter
	// HostCount returns how many hosts share the retry budget, or 0 while that is unknown.
	HostCount func() int

	// stageTimes holds the average times of stages.
	stageTimes graph.Times
	fetches    fetchGuard

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Service: s,
		w:       w,
		r:       r,
		stop:    serve.StopOf(r.Context()),
		arrived: s.Now(),
	}
	defer x.finish()
	if x.admit() {
		x.serve()
	}
}

// admit validates the request, reads its body and sets its deadline. It sends an error response and returns false if the request cannot be served.
func (x *exchange) admit() bool {
	var err error
	arrivedAt := x.Recency.ArrivalTime()
	x.header = x.r.Header.Clone()
	if x.requestHead, err = x.HeaderCodec.RequestHead(x.header); err != nil {
		x.respondError(http.StatusBadRequest, CauseMalformed, err.Error())
		return false
	}
	if !x.identify(arrivedAt) || !x.bindRegions() || !x.choosePool(rand.Float64()) {
		return false
	}
	wait := x.route.Timeout
	if x.requestHead.CallerTimeout > 0 && (wait <= 0 || x.requestHead.CallerTimeout < wait) {
		wait = x.requestHead.CallerTimeout
	}
	x.deadline = x.arrived.Add(wait)
	if !x.readBody() {
		return false
	}
	if !x.findOrigin() {
		return false
	}
	x.blamable = x.blameRequest()
	if x.route.Affinity {
		x.preferredDomain = x.Table.PreferredDomain(x.arrived, x.pool, x.requestHead.affinityHash(), x.regions)
	}
	return true
}

// blameRequest returns what is to blame if the request crashes an upstream. The last part of a prompt is left out, as no other request shares it.
func (x *exchange) blameRequest() blame.Request {
	r := blame.Request{
		Own: crash.FingerprintOf(x.body, x.r.Host, x.r.RequestURI, x.account.Name),
	}
	parts := x.requestHead.PromptParts
	for _, p := range parts[:min(max(0, len(parts)-1), blame.MaxParts)] {
		r.Parts = append(r.Parts, blame.PartFingerprint(x.pool, p.ID))
	}
	return r
}

// headerBytes returns the approximate size of a request's head as it was sent.
func headerBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + perLine
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perLine
		}
	}
	return n
}

// stillAuthorized checks the key again just before an attempt, as the key may have been revoked since the request arrived.
func (x *exchange) stillAuthorized() bool {
	if !x.authenticated {
		return true
	}
	if !x.Lease.Valid() {
		return false
	}
	_, ok := x.Plans.Current().Account(x.requestHead.Key)
	return ok
}

// rank returns the urgency of the request. 0 is the most urgent.
func (x *exchange) rank() int {
	if x.account.HasRank {
		return x.account.Rank
	}
	return x.route.Rank
}

// retryBudget returns this host's share of the retry budget of a pool.
func (s *Service) retryBudget(pool string) *retry.Budget {
	reserve := unknownHostsReserve
	if n := s.HostCount(); n > 0 {
		reserve = s.Budget.ExtraRetries / float64(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budgets == nil {
		s.budgets = map[string]*retry.Budget{}
	}
	b, ok := s.budgets[pool]
	if !ok {
		b = retry.NewBudget(retry.WithRetriesPerRequest(s.Budget.Ratio), retry.WithCapacity(reserve))
		s.budgets[pool] = b
	}
	b.SetCapacity(reserve)
	return b
}
