package batch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// maxQueueAttempts is how many of a pool's queues the same work is sent to in turn if they refuse it.
	maxQueueAttempts = 2
	// refusalTTL is how long a queue that refused work is avoided for work that is not more urgent.
	refusalTTL = 200 * time.Millisecond
)

// refusal identifies refused work by its queue and rank.
type refusal struct {
	queue string
	rank  int
}

// Picker chooses among the queues of a pool. Its zero value has recorded no refusals. It is safe for concurrent use.
type Picker struct {
	mu        sync.Mutex
	refusedAt map[refusal]time.Time
}

// RecordRefusal records that a queue refused work of the rank.
func (p *Picker) RecordRefusal(now time.Time, s Shard, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedAt == nil {
		p.refusedAt = map[refusal]time.Time{}
	}
	for k, at := range p.refusedAt {
		if now.Sub(at) >= refusalTTL {
			delete(p.refusedAt, k)
		}
	}
	p.refusedAt[refusal{
		queue: s.Queue,
		rank:  rank,
	}] = now
}

// recentlyRefused reports whether the queue has just refused work that is as urgent or more urgent. The caller holds the lock.
func (p *Picker) recentlyRefused(now time.Time, queue string, rank int) bool {
	for k, at := range p.refusedAt {
		if k.queue == queue && k.rank <= rank && now.Sub(at) < refusalTTL {
			return true
		}
	}
	return false
}

// Candidates returns the queues to send the work to, in order: queues that have not recently refused work of the same or a more urgent rank first, then the one in the domain where the results are needed, then the one in the host's own domain, then by hash of the request.
func (p *Picker) Candidates(now time.Time, w Work, shards []Shard, ownDomain string) []Shard {
	if len(shards) == 0 {
		return []Shard{{Queue: w.Pool}}
	}
	if len(shards) == 1 {
		return shards
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(shards)
	salt := xxhash.Sum64String(w.Request)
	slices.SortFunc(out, func(a, b Shard) int {
		return cmp.Or(
			common.CompareBool(p.recentlyRefused(now, a.Queue, w.Rank), p.recentlyRefused(now, b.Queue, w.Rank)),
			common.CompareBool(a.Domain != w.Domain, b.Domain != w.Domain),
			common.CompareBool(a.Domain != ownDomain, b.Domain != ownDomain),
			cmp.Compare(common.MixBits(salt^xxhash.Sum64String(a.Queue)), common.MixBits(salt^xxhash.Sum64String(b.Queue))),
		)
	})
	return out[:min(maxQueueAttempts, len(out))]
}
