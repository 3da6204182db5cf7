package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/grant"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/warm"
)

const (
	// tokenTimeout is the timeout of the question for a token. It leaves time for the connection to the upstream within warm.PermitLife.
	tokenTimeout = 100 * time.Millisecond
	// silentTime is how long a granting host that did not answer is not asked.
	silentTime = 500 * time.Millisecond
	// tokenRetrySpread is the time over which hosts come back that got no token.
	tokenRetrySpread = 250 * time.Millisecond
	// granterTTL is how long the ranking of the granting hosts of an upstream is reused. Hosts may disagree about it for longer.
	granterTTL = 200 * time.Millisecond
	// maxRankings is the maximum number of upstreams with a ranking that is reused.
	maxRankings = 4096
)

// pathToken is the path of the question for a token.
const pathToken = "/token"

// errInvalidToken is returned for a question that names no upstream or a negative number of tokens.
var errInvalidToken = errors.New("question for a token is not valid")

// tokenRequest asks a granting host for its token for one request to a cold upstream.
type tokenRequest struct {
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	Pool     string `json:"pool"`
	// Tokens is how many tokens the granting host gives within a window, by the configuration of the host that asks.
	Tokens int `json:"tokens"`
}

// UnmarshalJSON decodes a question and checks that it names an upstream and no negative number.
func (r *tokenRequest) UnmarshalJSON(b []byte) error {
	type plain tokenRequest
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode question for a token: %w", err)
	}
	if p.Upstream == "" || p.Tokens < 0 {
		return fmt.Errorf("check question for a token: %w", errInvalidToken)
	}
	*r = tokenRequest(p)
	return nil
}

// tokenResponse is the answer to a tokenRequest. Without a token it says how long there will be none.
type tokenResponse struct {
	Granted bool  `json:"granted"`
	RetryMS int64 `json:"retry_ms,omitempty"`
}

// WarmUpStats counts what this host decided about cold upstreams.
type WarmUpStats struct {
	// Permits counts the requests for which this host got a permit, and Refused those for which it got none. Unasked counts those of Refused for which too few granting hosts could be asked.
	Permits int64 `json:"permits"`
	Refused int64 `json:"refused"`
	Unasked int64 `json:"unasked"`
	// TokensGiven counts the tokens that this host gave, and TokensRefused those that it did not give.
	TokensGiven   int64 `json:"tokens_given"`
	TokensRefused int64 `json:"tokens_refused"`
}

// WarmUps keeps to the rate that cold upstreams take, over all hosts. Each request to one needs the tokens of two of the three hosts that rank highest for the upstream, whether they are up or not, so that no more are sent where hosts disagree about who is up.
type WarmUps struct {
	common.Deps
	peers  *Peers
	plans  *plan.Active
	bound  warm.Bound
	book   *warm.Book
	grants *warm.Grants
	// apply is called with each change of a cold time.
	apply func(i route.Incarnation, c route.Cold)

	permits       atomic.Int64
	refused       atomic.Int64
	unasked       atomic.Int64
	tokensGiven   atomic.Int64
	tokensRefused atomic.Int64

	mu       sync.Mutex
	rankings map[string]ranking
	// silentUntil is until when hosts are not asked that did not answer.
	silentUntil map[string]time.Time
}

// ranking holds the granting hosts of an upstream, the first one first.
type ranking struct {
	hosts []Host
	at    time.Time
}

// NewWarmUps returns what this host knows of cold upstreams. bound holds the overage and the slack; the rates come from the plan. apply is called with each change of a cold time. NewWarmUps must be called before peers runs.
func NewWarmUps(deps common.Deps, peers *Peers, plans *plan.Active, bound warm.Bound, apply func(i route.Incarnation, c route.Cold)) *WarmUps {
	w := &WarmUps{
		Deps:        deps.WithPart("warmup"),
		peers:       peers,
		plans:       plans,
		bound:       bound,
		book:        warm.NewBook(),
		grants:      warm.NewGrants(deps.Now()),
		apply:       apply,
		rankings:    map[string]ranking{},
		silentUntil: map[string]time.Time{},
	}
	peers.services = append(peers.services, w)
	return w
}

// Stats returns counts for the metrics.
func (w *WarmUps) Stats() WarmUpStats {
	return WarmUpStats{
		Permits:       w.permits.Load(),
		Refused:       w.refused.Load(),
		Unasked:       w.unasked.Load(),
		TokensGiven:   w.tokensGiven.Load(),
		TokensRefused: w.tokensRefused.Load(),
	}
}

// enabled reports whether the settings bound the requests to cold upstreams.
func (w *WarmUps) enabled() bool {
	return w.bound.Overage > 0
}

// spec returns how the upstreams of a pool warm up.
func (w *WarmUps) spec(pool string) plan.WarmUp {
	if p := w.plans.Current(); p != nil {
		return p.Pools[pool].WarmUp
	}
	return plan.WarmUp{}
}

// poolBound returns how many requests a cold upstream of the pool may get, and whether that is bounded.
func (w *WarmUps) poolBound(pool string) (warm.Bound, bool) {
	b := w.bound
	b.PerSecond = w.spec(pool).PerSecond
	return b, b.PerSecond > 0
}

// RecordRow records how much longer an upstream stays cold according to its row. outdated is set for a row of a restored table.
func (w *WarmUps) RecordRow(up route.Upstream, remaining time.Duration, outdated bool) {
	if w.enabled() && w.book.Row(w.Now(), up, remaining, outdated) {
		w.update(up.Incarnation(), up.Pool)
	}
}

// RecordUnreachable records that no connection to the upstream could be opened. If its pool warms up it counts as cold until it is known not to have restarted.
func (w *WarmUps) RecordUnreachable(up route.Upstream) {
	if !w.enabled() || w.spec(up.Pool).Duration <= 0 {
		return
	}
	w.book.Failed(w.Now(), up)
	w.update(up.Incarnation(), up.Pool)
}

// RecordResponse records that the upstream has answered a request.
func (w *WarmUps) RecordResponse(up route.Upstream) {
	if w.book.Answered(w.Now(), up.Incarnation()) {
		w.update(up.Incarnation(), up.Pool)
	}
}

// Sync applies all cold times again, after a change of the plan.
func (w *WarmUps) Sync() {
	if !w.enabled() {
		return
	}
	for _, s := range w.book.List(w.Now(), func(pool string) time.Duration { return w.spec(pool).Duration }) {
		w.apply(s.Incarnation, w.cold(s))
	}
}

// update applies the cold time of an upstream, and logs it.
func (w *WarmUps) update(i route.Incarnation, pool string) {
	now := w.Now()
	s, ok := w.book.State(now, i, w.spec(pool).Duration)
	if !ok {
		return
	}
	c := w.cold(s)
	w.apply(i, c)
	w.Log.WithField("upstream", i.Name).WithField("pool", pool).WithField("cold_ms", max(0, s.Until.Sub(now)).Milliseconds()).WithField("in_doubt", s.InDoubt).WithField("per_second", c.PerSecond).Info("Cold time of upstream changed.")
}

// cold returns what follows from a state for the routing table.
func (w *WarmUps) cold(s warm.State) route.Cold {
	c := route.Cold{
		Since: s.Since,
		Until: s.Until,
	}
	if b, bounded := w.poolBound(s.Pool); bounded {
		c.PerSecond = b.Rate()
		c.Withheld = b.Tokens() == 0
	}
	return c
}

// Take asks for the permit to send one request to a cold upstream. If there is none now, it returns how long to wait before another try. An upstream whose pool names no rate needs none.
func (w *WarmUps) Take(ctx context.Context, up route.Upstream) (granted bool, retry time.Duration) {
	b, bounded := w.poolBound(up.Pool)
	if !bounded {
		return true, 0
	}
	question := tokenRequest{
		Upstream: up.Name,
		Domain:   up.Domain,
		Pool:     up.Pool,
		Tokens:   b.Tokens(),
	}
	asked, enough := w.choose(up)
	if !enough {
		w.refused.Add(1)
		w.unasked.Add(1)
		w.logRefusal(up, permitRetry, len(asked))
		return false, permitRetry
	}
	retry = w.askAll(ctx, asked, question)
	if retry == 0 {
		w.permits.Add(1)
		return true, 0
	}
	w.refused.Add(1)
	retry += rand.N(tokenRetrySpread)
	w.logRefusal(up, retry, len(asked))
	return false, retry
}

// Permit returns the context for one call to an upstream, which sends nothing once its permit has expired. If the upstream is cold and there is no permit, it returns for how long.
func (w *WarmUps) Permit(ctx context.Context, up route.Upstream) (permitted context.Context, retry time.Duration) {
	if !w.isCold(up) {
		return ctx, 0
	}
	permit := warm.NewPermit(grant.SinceBoot)
	granted, retry := w.Take(ctx, up)
	if !granted {
		return ctx, retry
	}
	return send.WithPermit(ctx, permit.Spend), 0
}

// isCold reports whether the upstream is cold or may have restarted.
func (w *WarmUps) isCold(up route.Upstream) bool {
	now := w.Now()
	s, ok := w.book.State(now, up.Incarnation(), w.spec(up.Pool).Duration)
	return ok && now.Before(s.Until)
}

// logRefusal logs that there was no permit, with the age of what is known of the upstream.
func (w *WarmUps) logRefusal(up route.Upstream, retry time.Duration, asked int) {
	s, _ := w.book.State(w.Now(), up.Incarnation(), w.spec(up.Pool).Duration)
	w.Log.WithField("upstream", up.Name).WithField("asked", asked).WithField("retry_ms", retry.Milliseconds()).WithField("in_doubt", s.InDoubt).WithField("age_ms", s.Age.Milliseconds()).Info("No permit for a cold upstream.")
}

// choose returns the granting hosts to ask for a permit, the first ones of those that are up and answer. enough reports whether these are as many as a permit needs.
func (w *WarmUps) choose(up route.Upstream) (asked []Host, enough bool) {
	granters := w.granters(up.Name, up.Domain)
	quorum := warm.Quorum(len(granters))
	for _, h := range granters {
		if len(asked) < quorum && w.mayAnswer(h) {
			asked = append(asked, h)
		}
	}
	return asked, len(granters) > 0 && len(asked) == quorum
}

// mayAnswer reports whether a host is up and did not fail to answer a moment ago.
func (w *WarmUps) mayAnswer(h Host) bool {
	if h.Name == w.Host {
		return true
	}
	w.mu.Lock()
	silent := w.Now().Before(w.silentUntil[h.Name])
	w.mu.Unlock()
	return !silent && w.peers.roster.DownSignal(h) != nil
}

// granters returns the granting hosts of an upstream, or none until the table of hosts has been read.
func (w *WarmUps) granters(upstream, domain string) []Host {
	now := w.Now()
	w.mu.Lock()
	r, ok := w.rankings[upstream]
	w.mu.Unlock()
	if ok && now.Sub(r.at) < granterTTL {
		return r.hosts
	}
	r = ranking{
		hosts: w.peers.roster.granters("warmup/"+upstream, domain, warm.Granters),
		at:    now,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rankings) >= maxRankings {
		clear(w.rankings)
	}
	w.rankings[upstream] = r
	return r.hosts
}

// askAll asks the hosts for their tokens at the same time. It returns 0 if all gave theirs, or how long to wait.
func (w *WarmUps) askAll(ctx context.Context, asked []Host, question tokenRequest) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	waits := make([]time.Duration, len(asked))
	var wg sync.WaitGroup
	for n, h := range asked {
		if h.Name == w.Host {
			waits[n] = w.give(question)
			continue
		}
		wg.Go(func() { waits[n] = w.ask(ctx, h, question) })
	}
	wg.Wait()
	longest := time.Duration(0)
	for _, wait := range waits {
		longest = max(longest, wait)
	}
	return longest
}

// ask asks another host for its token. It returns 0 if it gave it, or how long to wait.
func (w *WarmUps) ask(ctx context.Context, h Host, question tokenRequest) time.Duration {
	var answer tokenResponse
	if err := w.peers.post(ctx, h, pathToken, question, &answer); err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			return permitRetry
		}
		w.Log.WithError(err).WithField("upstream", question.Upstream).Info("Failed to ask for a token.")
		w.mu.Lock()
		w.silentUntil[h.Name] = w.Now().Add(silentTime)
		w.mu.Unlock()
		return permitRetry
	}
	if answer.Granted {
		return 0
	}
	return max(time.Millisecond, time.Duration(answer.RetryMS)*time.Millisecond)
}

// give gives the token of this host, and returns 0, or how long there is none. It gives none for an upstream for which it is no granting host.
func (w *WarmUps) give(question tokenRequest) time.Duration {
	if !w.isGranter(question) {
		w.tokensRefused.Add(1)
		return permitRetry
	}
	tokens := question.Tokens
	if b, bounded := w.poolBound(question.Pool); bounded {
		tokens = min(tokens, b.Tokens())
	}
	granted, retry := w.grants.Take(w.Now(), question.Upstream, tokens)
	if granted {
		w.tokensGiven.Add(1)
		return 0
	}
	w.tokensRefused.Add(1)
	return max(time.Millisecond, retry)
}

func (w *WarmUps) isGranter(question tokenRequest) bool {
	for _, h := range w.granters(question.Upstream, question.Domain) {
		if h.Name == w.Host {
			return true
		}
	}
	return false
}

func (w *WarmUps) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathToken, w.handleToken)
}

func (w *WarmUps) handleToken(rw http.ResponseWriter, r *http.Request) {
	var question tokenRequest
	if !decodeBody(rw, r, &question) {
		return
	}
	wait := w.give(question)
	writeJSON(rw, tokenResponse{
		Granted: wait == 0,
		RetryMS: wait.Milliseconds(),
	})
}
