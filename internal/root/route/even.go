package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// queueMemory is after how long a reported queue has mostly given way to the mean of the pool, as requests leave it and others join it.
	queueMemory = 400 * time.Millisecond
	// sentMemory is for how long a send counts as waiting if no report is newer.
	sentMemory = 2 * time.Second
	// poolMeanWeight is the weight of a new sample in the means of a pool.
	poolMeanWeight = 0.02
)

// Prompt is the size of a request's prompt in tokens. The zero value means that the request has none.
type Prompt struct {
	Tokens int
	// Shared is how many of the tokens an upstream need not read that has served the same prefix before.
	Shared int
}

// Estimate is what a host expected of the upstream that it chose. The zero value means that the choice did not compare expected times.
type Estimate struct {
	// Pace is the expected pace of the upstream, and Queued the number of requests expected to wait before this one.
	Pace   float64
	Queued float64
	// ReportAge is the age of the load report that the estimate rests on, or negative if there is none.
	ReportAge time.Duration
	// Wait is the expected time until the first event of the response, or 0 as long as no response has shown how fast the pool reads.
	Wait time.Duration
	// work is the expected time in tokens read at the usual pace, and read the number of tokens that the request itself needs to be read.
	work float64
	read float64
}

// evenPool holds what is learned of a pool whose upstreams state their pace.
type evenPool struct {
	// pace is the mean of the usual paces, and queued the mean number of waiting requests in reports.
	pace   float64
	queued float64
	// read is the mean number of prompt tokens that an upstream reads for a request.
	read float64
	// perToken is the time in seconds that a token takes to read at the usual pace.
	perToken float64
	stats    evenCounts
}

// paced reports whether an upstream of the pool has stated its pace.
func (v *evenPool) paced() bool {
	return v.pace > 0
}

// recordReport updates the means of the pool with the report that an upstream has last sent.
func (v *evenPool) recordReport(e *entry) {
	if !e.pace.known() {
		return
	}
	updateMean(&v.pace, e.pace.usual)
	v.queued += poolMeanWeight * (float64(e.report.Queued) - v.queued)
}

// updateMean adds a sample to a moving average, which is 0 before the first one.
func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += poolMeanWeight * (sample - *mean)
}

// evenEntry returns the usable entry with the least expected time until the first event, among the one that ranks highest for the prompt's prefix and a few random ones. It returns nil if none is usable.
func (t *Table) evenEntry(now time.Time, rng *rand.Rand, p *pool, q Query) (*entry, Estimate) {
	c := comparison{
		table: t,
		now:   now,
		pool:  p,
		query: q,
	}
	own := p.byDomain[q.PreferDomain]
	if q.Affinity != 0 {
		c.consider(highestRankedByPace(now, p, own, q), true, 0)
	}
	for range sampleSize {
		c.consider(drawUsable(now, rng, own, q), false, 0)
	}
	if c.best == nil || c.estimate.Queued >= 1 {
		c.query.remote = true
		for range sampleSize {
			c.consider(drawUsable(now, rng, p.entries, c.query), false, crossDomainCost)
		}
	}
	if c.best != nil {
		updateMean(&p.even.read, c.estimate.read)
		p.even.stats.add(c.estimate)
	}
	return c.best, c.estimate
}

// comparison finds the candidate with the least expected time.
type comparison struct {
	table    *Table
	now      time.Time
	pool     *pool
	query    Query
	best     *entry
	estimate Estimate
}

// consider compares a candidate, if it is not nil, with the best one so far. cached reports that the candidate has probably served the same prefix, and extra is the time that it takes longer to reach.
func (c *comparison) consider(e *entry, cached bool, extra time.Duration) {
	if e == nil {
		return
	}
	s := c.table.estimate(c.now, c.pool, e, c.query.Prompt, cached)
	if perToken := c.pool.even.perToken; perToken > 0 {
		s.work += extra.Seconds() / perToken
	}
	if c.best == nil || s.work < c.estimate.work {
		c.best = e
		c.estimate = s
	}
}

// estimate returns what is expected of a request that is sent to an upstream now.
func (t *Table) estimate(now time.Time, p *pool, e *entry, prompt Prompt, cached bool) Estimate {
	read := float64(prompt.Tokens)
	if cached {
		read = float64(max(1, prompt.Tokens-prompt.Shared))
	}
	pace := e.pace.at(now, p.even.pace)
	queued := e.expectedQueue(now, p)
	loadRatio := float64(e.load(now, t.hosts)+1) / e.capacity(now, p.slots)
	work := pace * (read + queued*p.even.read) * max(1, loadRatio)
	s := Estimate{
		Pace:      pace,
		Queued:    queued,
		ReportAge: -1,
		Wait:      time.Duration(work * p.even.perToken * float64(time.Second)),
		work:      work,
		read:      read,
	}
	if !e.reportAt.IsZero() {
		s.ReportAge = now.Sub(e.reportAt)
	}
	return s
}

// expectedQueue returns how many requests are expected to wait at the upstream: those of its report, the older the report the more by the mean of the pool, and those that this host has sent since.
func (e *entry) expectedQueue(now time.Time, p *pool) float64 {
	queued := p.even.queued
	if !e.reportStale(now) {
		queued = decayed(float64(e.report.Queued), queued, now.Sub(e.reportAt), queueMemory)
	}
	from := now.Add(-sentMemory)
	if e.reportAt.After(from) {
		from = e.reportAt
	}
	return queued + float64(e.sent.since(from))
}

// highestRankedByPace returns the usable entry that ranks highest for the query's prefix, or nil. Each upstream ranks highest for a share of the prefixes that is proportional to its usual speed.
func highestRankedByPace(now time.Time, p *pool, from []*entry, q Query) *entry {
	var best *entry
	var bestScore float64
	for _, e := range from {
		if s := paceScore(e.hash^q.Affinity, e.pace.usualAt(now, p.even.pace)); s > bestScore && q.matches(now, e) {
			best = e
			bestScore = s
		}
	}
	return best
}

// paceScore returns the weighted rendezvous score of an upstream with the usual pace.
func paceScore(hash uint64, pace float64) float64 {
	const mantissaBits = 53
	uniform := (float64(common.MixBits(hash)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return 1 / (pace * -math.Log(uniform))
}

// RecordFirstEvent records how long the first event of a response took that the upstream chosen by Pick sent.
func (t *Table) RecordFirstEvent(up Upstream, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[up.Pool]
	if !ok || up.Estimate.work <= 0 {
		return
	}
	updateMean(&p.even.perToken, took.Seconds()/up.Estimate.work)
	p.even.stats.addWait(up.Estimate.Wait, took)
}
