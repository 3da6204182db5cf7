package batch

import (
	"maps"
	"slices"
	"strings"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

const (
	// shardFrom is the number of workers from which a pool has a queue for each failure domain: fewer share one, as calls are fuller then.
	shardFrom = 9
	// shardMark stands between the pool and the failure domain in a queue's name.
	shardMark = "@"
)

// Shard names a queue of a pool: the only one, or that of the workers in one failure domain.
type Shard struct {
	Queue string
	// Domain is where the workers are, or "" where they are in all domains.
	Domain string
}

// DomainOf returns the failure domain that a queue's name says, or "".
func DomainOf(queue string) string {
	if i := strings.LastIndex(queue, shardMark); i >= 0 {
		return queue[i+len(shardMark):]
	}
	return ""
}

// shardsOf divides the workers of a pool over its queues, the same way on every host that knows the same workers.
func shardsOf(pool string, workers []route.Upstream) map[Shard][]route.Upstream {
	out := map[Shard][]route.Upstream{}
	if len(workers) < shardFrom {
		out[Shard{Queue: pool}] = workers
		return out
	}
	for _, w := range workers {
		s := Shard{
			Queue:  pool + shardMark + w.Domain,
			Domain: w.Domain,
		}
		out[s] = append(out[s], w)
	}
	return out
}

// sortedShards returns the shards by their names.
func sortedShards(of map[Shard][]route.Upstream) []Shard {
	return slices.SortedFunc(maps.Keys(of), func(a, b Shard) int { return strings.Compare(a.Queue, b.Queue) })
}
