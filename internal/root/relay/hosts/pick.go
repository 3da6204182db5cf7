package hosts

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
)

const (
	// queueTries is how many of a pool's queues one work is offered to.
	queueTries = 2
	// refusedFor is how long a queue that refused work is left to others, for work that is no more urgent.
	refusedFor = 200 * time.Millisecond
)

// refusal names work that a queue has refused.
type refusal struct {
	queue string
	rank  int
}

// picker chooses among the queues of a pool; the zero value has seen no refusals.
type picker struct {
	mu   sync.Mutex
	last map[refusal]time.Time
}

// refused records that a queue refused work of the rank.
func (p *picker) refused(now time.Time, s batch.Shard, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = map[refusal]time.Time{}
	}
	for k, at := range p.last {
		if now.Sub(at) >= refusedFor {
			delete(p.last, k)
		}
	}
	p.last[refusal{
		queue: s.Queue,
		rank:  rank,
	}] = now
}

// refuses reports whether the queue has just refused work that is as urgent or more so.
func (p *picker) refuses(now time.Time, queue string, rank int) bool {
	for k, at := range p.last {
		if k.queue == queue && k.rank <= rank && now.Sub(at) < refusedFor {
			return true
		}
	}
	return false
}

// order returns the queues to offer the work to, in turn: those that have not just refused the like first, then the one where the results are wanted, then the one of the host's own domain, then by hash of the request.
func (p *picker) order(now time.Time, w batch.Work, shards []batch.Shard, home string) []batch.Shard {
	if len(shards) == 0 {
		return []batch.Shard{{Queue: w.Pool}}
	}
	if len(shards) == 1 {
		return shards
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(shards)
	salt := xxhash.Sum64String(w.Request)
	slices.SortFunc(out, func(a, b batch.Shard) int {
		return cmp.Or(
			common.CompareBool(p.refuses(now, a.Queue, w.Rank), p.refuses(now, b.Queue, w.Rank)),
			common.CompareBool(a.Domain != w.Domain, b.Domain != w.Domain),
			common.CompareBool(a.Domain != home, b.Domain != home),
			cmp.Compare(common.Mix(salt^xxhash.Sum64String(a.Queue)), common.Mix(salt^xxhash.Sum64String(b.Queue))),
		)
	})
	return out[:min(queueTries, len(out))]
}
