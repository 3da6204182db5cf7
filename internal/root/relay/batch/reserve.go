package batch

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// capacityShare is the share of what a pool does that is reserved. The rest is for calls that are not full at once, and for requests that are not reserved.
	capacityShare = 0.95
	// marginShare is the part of its slack that a request keeps, as a share of the fixed time of a call, since calls do not begin when it comes.
	marginShare = 0.5
)

// SetPools sets the pool of the queue, and the parts of the pools for which it reserves work, by pool.
func (q *Queue) SetPools(own string, pools map[string]room.Pool) {
	q.pool = own
	q.pools = pools
}

// reserves reports whether the work begins a request whose stages this queue reserves.
func (q *Queue) reserves(w Work) bool {
	return w.Chain != nil && q.pools != nil
}

// reserve reserves all stages of a request whose first work arrives, or returns why they can't end in time.
func (q *Queue) reserve(now time.Time, j *Job) *room.Refusal {
	for _, r := range j.Chain.Reports {
		q.reports.Record(now, r)
	}
	if !q.busy() {
		// The workers have been faster than their specification, or the requests did not go on.
		q.ledger.Clear(q.pool)
	}
	claims := q.claims(j.Work)
	slack := max(j.Chain.Slack-time.Duration(marginShare*float64(q.spec.Call)), j.Chain.Slack/2)
	refused := q.ledger.Reserve(now, j.Chain.Rank, claims, slack, func(pool string) float64 { return q.capacity(now, pool) })
	if refused == nil {
		j.claims = claims
		j.reservedFor = now.Add(slack)
	}
	return refused
}

// giveBack ends the reservation of a request that does not go on.
func (q *Queue) giveBack(j *Job) {
	if len(j.claims) > 0 {
		q.ledger.Cancel(j.Chain.Rank, j.claims, j.reservedFor)
	}
	j.claims = nil
}

// claims returns what a request needs of each pool.
func (q *Queue) claims(w Work) []room.Claim {
	var out []room.Claim
	for _, n := range w.Chain.Needs {
		p, ok := q.pools[n.Pool]
		if !ok {
			continue
		}
		pieceTime := p.Spec.PieceTime
		if n.Pool == w.Pool {
			pieceTime = q.itemTime(Work{
				Stage:       n.Stage,
				ResultBytes: n.Bytes,
			})
		}
		out = append(out, room.Claim{
			Pool: n.Pool,
			Work: p.WorkTime(n, pieceTime),
		})
	}
	return out
}

// capacity returns how much work a pool does per second for this queue, in seconds of a worker.
func (q *Queue) capacity(now time.Time, pool string) float64 {
	p := q.pools[pool]
	if pool == q.pool {
		return capacityShare * p.Workers * q.pace.Value(now)
	}
	return capacityShare * p.Workers * q.reports.Pace(now, p.Queues)
}

// PartsOfPools returns for a queue which part of each pool its requests use: its own workers; of another pool those in its failure domain, or its share of all if that pool has none there or no queue of its own there.
func PartsOfPools(pool string, s Shard, workers map[string]map[Shard][]route.Upstream, specs map[string]plan.Worker) map[string]room.Pool {
	out := map[string]room.Pool{}
	own := float64(countWorkers(workers[pool][s]))
	all := 0.0
	for _, w := range workers[pool] {
		all += float64(countWorkers(w))
	}
	for name, shards := range workers {
		p := room.Pool{
			Spec: specs[name],
		}
		for other, w := range shards {
			if name == pool && other == s || name != pool && s.Domain != "" && other.Domain == s.Domain {
				p.Workers += float64(countWorkers(w))
				p.Queues = append(p.Queues, other.Queue)
			}
		}
		if p.Workers == 0 && name != pool && all > 0 {
			for other, w := range shards {
				p.Workers += float64(countWorkers(w)) * own / all
				p.Queues = append(p.Queues, other.Queue)
			}
		}
		out[name] = p
	}
	return out
}

// countWorkers returns how many of the upstreams take new work.
func countWorkers(ups []route.Upstream) int {
	n := 0
	for _, u := range ups {
		if !u.Closed() {
			n++
		}
	}
	return n
}

// observePace records how much work a call did in the time of its worker, if more waited.
func (q *Queue) observePace(now time.Time, c *Call, results []Result) {
	if !c.saturated || c.hedged {
		return
	}
	since := c.startedAt
	if !c.idleSince.IsZero() && c.idleSince.Before(since) {
		since = c.idleSince
	}
	var work time.Duration
	own := room.Pool{
		Spec: q.spec,
	}
	for i, p := range c.pieces {
		if results[i].Handle == "" {
			continue
		}
		work += own.WorkTime(room.Need{
			Pieces: 1,
			Bytes:  p.job.ResultBytes,
		}, q.itemTime(p.job.Work))
	}
	q.pace.Observe(now, work, now.Sub(since))
}

// Report returns what other hosts need to know of the queue, which has the given name, for their reservations.
func (q *Queue) Report(now time.Time, name string) room.Report {
	return room.Report{
		Queue: name,
		Pace:  q.pace.Value(now),
	}
}

// QueuesOfChain returns the queues that a request uses whose first work goes to the shard.
func QueuesOfChain(chain room.Request, s Shard, shards map[string][]Shard) []string {
	var out []string
	for _, n := range chain.Needs {
		for _, other := range shards[n.Pool] {
			if other.Domain == s.Domain || other.Domain == "" || s.Domain == "" {
				out = append(out, other.Queue)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
