package batch

import (
	"maps"
	"slices"
	"strings"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// minWorkersToShard is the number of workers from which a pool has one queue for each failure domain. Smaller pools have a single queue, because their calls are fuller that way.
	minWorkersToShard = 9
	// domainSeparator separates the pool from the failure domain in the name of a queue.
	domainSeparator = "@"
)

// Shard is a queue of a pool: its only one, or the one for the workers in a failure domain.
type Shard struct {
	Queue string
	// Domain is the failure domain of the workers, or "" if they are in all domains.
	Domain string
}

// QueueInDomain returns the name of the queue of a pool for one failure domain.
func QueueInDomain(pool, domain string) string {
	return pool + domainSeparator + domain
}

// DomainOf returns the failure domain in the name of a queue, or "" if it has none.
func DomainOf(queue string) string {
	if i := strings.LastIndex(queue, domainSeparator); i >= 0 {
		return queue[i+len(domainSeparator):]
	}
	return ""
}

// ShardWorkers divides the workers of a pool among its queues, the same way on every host that knows the same workers.
func ShardWorkers(pool string, workers []route.Upstream) map[Shard][]route.Upstream {
	out := map[Shard][]route.Upstream{}
	if len(workers) < minWorkersToShard {
		out[Shard{Queue: pool}] = workers
		return out
	}
	for _, w := range workers {
		s := Shard{
			Queue:  QueueInDomain(pool, w.Domain),
			Domain: w.Domain,
		}
		out[s] = append(out[s], w)
	}
	return out
}

// SortedShards returns the shards sorted by the names of their queues.
func SortedShards(of map[Shard][]route.Upstream) []Shard {
	return slices.SortedFunc(maps.Keys(of), func(a, b Shard) int { return strings.Compare(a.Queue, b.Queue) })
}
