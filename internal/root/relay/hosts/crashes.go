package hosts

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/flow"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// countersKey is the key in whose ranking the first crashCounters hosts collect the crashes that all hosts see. With several of them the evidence survives the loss of some.
	countersKey   = "crashes"
	crashCounters = 3
	// maxSurveyed is the maximum number of fingerprints in a question about survivals, and maxTold that in a message about what is blocked.
	maxSurveyed = 512
	maxTold     = 8
	// gatherTime is how long a crash is held back, so that requests that lost their connections together are reported together.
	gatherTime = 5 * time.Millisecond
	// reportWait is how long a request waits for the report of its crash.
	reportWait = 200 * time.Millisecond
	// survivalSpacing is the time for each host between two reports of survivals of the same fingerprint, so that their rate does not depend on the number of hosts.
	survivalSpacing = 10 * time.Millisecond
	// deniedTrialRetryAfter is the Retry-After time of a request with a part that is due for a trial, if another request is the trial.
	deniedTrialRetryAfter = 10 * time.Second
	// lastingRetryAfter is the Retry-After time of a request that is not tried again.
	lastingRetryAfter = 30 * time.Second
)

// Crashes finds the requests and the parts of prompts that crash upstreams, over all hosts. Each host reports what was in progress at an upstream that crashed to the first hosts in the ranking for countersKey. Those ask all hosts which of the suspects upstreams have survived, and tell all hosts what is blocked.
type Crashes struct {
	common.Deps
	ledger *blame.Ledger
	prober *crash.Prober
	peers  *Peers
	// save keeps what crashes upstreams in the platform's store.
	save func(u blame.Update)
	// saveSuspects has Suspects kept in the platform's store.
	saveSuspects func()
	// unreachable is called with an upstream that lost a connection and can't be connected to.
	unreachable func(up route.Upstream)
	// background runs a function that sends messages to other hosts in a goroutine of its own.
	background func(f func())
	// assessing serializes assessments, so that each uses the answers to the survey of the one before.
	assessing sync.Mutex

	mu sync.Mutex
	// gathered holds the crashes that are about to be reported, by the start of the upstream.
	gathered map[string]*gatheredCrash
}

// gatheredCrash is a crash that is about to be reported. done is closed once it has been.
type gatheredCrash struct {
	crash blame.Crash
	done  chan struct{}
}

// NewCrashes returns the record of crashes on this host, which is shared with other hosts through peers. reachable reports whether a connection to the address of an upstream can be opened. NewCrashes must be called before peers runs.
func NewCrashes(deps common.Deps, peers *Peers, reachable func(ctx context.Context, addr string) bool) *Crashes {
	c := &Crashes{
		Deps:         deps.WithPart("crash"),
		ledger:       blame.NewLedger(),
		prober:       crash.NewProber(reachable),
		peers:        peers,
		save:         func(blame.Update) {},
		saveSuspects: func() {},
		unreachable:  func(route.Upstream) {},
		background:   func(f func()) { go f() },
		gathered:     map[string]*gatheredCrash{},
	}
	peers.services = append(peers.services, c)
	peers.roster.OnJoin(c.notifyJoined)
	return c
}

// OnUnreachable sets the function that is called with an upstream that lost a connection and can't be connected to. It must be called before peers runs.
func (c *Crashes) OnUnreachable(f func(up route.Upstream)) {
	c.unreachable = f
}

// SaveWith sets what keeps in the platform's store what crashes upstreams. It must be called before peers runs.
func (c *Crashes) SaveWith(save func(u blame.Update)) {
	c.save = save
}

// SaveSuspectsWith sets what has Suspects kept in the platform's store. It must be called before peers runs.
func (c *Crashes) SaveSuspectsWith(save func()) {
	c.saveSuspects = save
}

// Suspects returns what is known of requests that have crashed upstreams and are not blocked yet.
func (c *Crashes) Suspects() blame.Update {
	return c.ledger.Suspects(c.Now())
}

// Restore takes over what was known of crashes before all hosts were lost.
func (c *Crashes) Restore(u blame.Update) {
	c.ledger.Merge(c.Now(), u)
	c.updateVerdict()
}

// Stats returns counts for the metrics.
func (c *Crashes) Stats() blame.Stats {
	return c.ledger.Stats()
}

// Check reports whether the request has crashed so many upstreams, or a part of its prompt, that it must not be sent. A request with a part that is due for a trial passes.
func (c *Crashes) Check(r blame.Request) flow.Admission {
	blocks := c.ledger.Blocks(r)
	if len(blocks) == 0 {
		return flow.Admitted{}
	}
	at, ok := blame.TrialAt(r, blocks)
	if !ok {
		return flow.Rejected{
			Detail:     "request has crashed too many upstreams",
			RetryAfter: lastingRetryAfter,
		}
	}
	if wait := at.Sub(c.Now()); wait > 0 {
		return rejectedForPart(wait)
	}
	return flow.Admitted{
		Trial: true,
	}
}

func rejectedForPart(wait time.Duration) flow.Rejected {
	return flow.Rejected{
		Detail:     "a part of the prompt has crashed too many upstreams",
		RetryAfter: wait,
	}
}

// BeginAttempt is Check just before the request is sent. If the request is due for a trial, it is admitted only with the consent of the host that grants trials.
func (c *Crashes) BeginAttempt(ctx context.Context, r blame.Request) flow.Admission {
	a := c.Check(r)
	if admitted, ok := a.(flow.Admitted); !ok || !admitted.Trial {
		return a
	}
	for _, b := range c.ledger.Blocks(r) {
		if !c.requestTrial(ctx, b.Fingerprint) {
			return rejectedForPart(deniedTrialRetryAfter)
		}
	}
	c.Log.WithField("fingerprint", formatFingerprint(r.Own)).Info("Sending a request with a blocked part as a trial.")
	return a
}

// RecordConnLoss records that the connection to an upstream was lost while it ran the request. It returns once the crash has been reported, or after reportWait.
func (c *Crashes) RecordConnLoss(ctx context.Context, r blame.Request, up route.Upstream) {
	if c.prober.StaysReachable(ctx, up) {
		return
	}
	c.unreachable(up)
	c.Log.Warnf("Upstream %s became unreachable while it ran the request with fingerprint %s.", up.Name, formatFingerprint(r.Own))
	done := c.gather(up, func(g *blame.Crash) {
		if len(g.Requests) < blame.MaxRequests {
			g.Requests = append(g.Requests, r)
		}
	})
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// RecordLateConnLoss records that the connection to an upstream, one of so many of its pool, was lost after it had been answering a request for a while.
func (c *Crashes) RecordLateConnLoss(ctx context.Context, late blame.LateRun, up route.Upstream, poolSize int) {
	if c.prober.StaysReachable(ctx, up) {
		return
	}
	c.unreachable(up)
	c.Log.WithField("ran_ms", late.RanMS).Warnf("Upstream %s became unreachable while it ran the request with fingerprint %s.", up.Name, formatFingerprint(late.Own))
	c.gather(up, func(g *blame.Crash) {
		g.PoolSize = max(g.PoolSize, poolSize)
		if len(g.Late) < blame.MaxRequests {
			g.Late = append(g.Late, late)
		}
	})
}

// gather adds what was in progress to the crash of its upstream, which is reported after gatherTime. The returned channel is closed once that is done.
func (c *Crashes) gather(up route.Upstream, add func(g *blame.Crash)) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := formatStart(up)
	g, ok := c.gathered[key]
	if !ok {
		g = &gatheredCrash{
			crash: blame.Crash{
				Upstream: key,
				At:       c.Now(),
			},
			done: make(chan struct{}),
		}
		c.gathered[key] = g
		c.background(func() { c.reportGathered(key, g) })
	}
	add(&g.crash)
	return g.done
}

// startSeparator separates the name of an upstream from the time of its start.
const startSeparator = "/"

// formatStart returns the text that stands for the start of an upstream in reports.
func formatStart(up route.Upstream) string {
	return fmt.Sprintf("%s%s%d", up.Name, startSeparator, up.StartedAtMS)
}

// parseStart is the inverse of formatStart.
func parseStart(text string) (name string, startedAtMS int64, ok bool) {
	i := strings.LastIndex(text, startSeparator)
	if i < 0 {
		return "", 0, false
	}
	startedAtMS, err := strconv.ParseInt(text[i+len(startSeparator):], 10, 64)
	return text[:i], startedAtMS, err == nil
}

func (c *Crashes) reportGathered(key string, g *gatheredCrash) {
	defer close(g.done)
	time.Sleep(gatherTime)
	c.mu.Lock()
	delete(c.gathered, key)
	c.mu.Unlock()
	c.report(blame.NewUpdate(c.Now(), []blame.Crash{g.crash}, nil))
}

// RecordSurvived records that an upstream survived the request.
func (c *Crashes) RecordSurvived(r blame.Request) {
	interval := time.Duration(c.peers.roster.Count()) * survivalSpacing
	told := c.ledger.Survived(c.Now(), r, interval)
	if len(told) > 0 {
		c.background(func() { c.report(blame.NewUpdate(c.Now(), nil, told)) })
	}
}

// assess asks the other hosts what they know of new suspects, draws the verdict, and tells all hosts what has changed in it.
func (c *Crashes) assess() {
	c.assessing.Lock()
	defer c.assessing.Unlock()
	if suspects := c.ledger.DueSurvey(c.Now()); len(suspects) > 0 {
		c.survey(suspects)
	}
	c.updateVerdict()
	if untold := c.ledger.TakeUntold(c.Now()); len(untold) > 0 {
		if c.peers.roster.IsWriter(countersKey) {
			c.save(c.ledger.Evidence(c.Now(), c.ledger.Blocked()))
		}
		c.background(func() { c.notify(c.peers.roster.LiveOthers(), untold) })
	}
	// What is blocked now leaves the suspects only after it was given to save.
	if c.peers.roster.IsWriter(countersKey) && c.ledger.TakeSuspectsChange(c.Now()) {
		c.saveSuspects()
	}
}

// updateVerdict draws the verdict from the evidence, and logs what has changed in it.
func (c *Crashes) updateVerdict() {
	blocked, lifted := c.ledger.Assess(c.Now())
	for _, b := range blocked {
		c.Log.WithField("fingerprint", formatFingerprint(b.Fingerprint)).WithField("crashes", b.Crashes).WithField("companions", len(b.Companions)).
			WithField("trial_ms", b.TrialAt().Sub(c.Now()).Milliseconds()).Warn("Request has crashed too many upstreams. It is blocked.")
	}
	for _, f := range lifted {
		c.Log.WithField("fingerprint", formatFingerprint(f)).Warn("Upstreams survive requests with the fingerprint. It is no longer blocked.")
	}
}

func formatFingerprint(f crash.Fingerprint) string {
	return fmt.Sprintf("%x", uint64(f))
}
