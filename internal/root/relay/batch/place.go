package batch

import (
	"slices"

	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// withoutEvacuated returns the shards without those whose workers are all in an evacuated failure domain, or all shards if there are no others.
func withoutEvacuated(shards map[Shard][]route.Upstream) map[Shard][]route.Upstream {
	out := map[Shard][]route.Upstream{}
	for s, workers := range shards {
		if len(workers) == 0 || slices.ContainsFunc(workers, func(w route.Upstream) bool { return !w.Evacuated }) {
			out[s] = workers
		}
	}
	if len(out) == 0 {
		return shards
	}
	return out
}

// ShardsIn returns the shards whose workers are in the regions, or in several failure domains.
func ShardsIn(shards []Shard, regions place.Regions, domains place.Domains) []Shard {
	if !regions.Bound() {
		return shards
	}
	return slices.DeleteFunc(slices.Clone(shards), func(s Shard) bool {
		return s.Domain != "" && !regions.Allows(domains.Region(s.Domain))
	})
}

// allows reports whether the worker is in a region of the work.
func (w Work) allows(worker route.Upstream) bool {
	return w.Regions.Allows(worker.Region)
}

// regions returns the regions that all work in the call may use.
func (c *Call) regions() place.Regions {
	var out place.Regions
	for _, j := range c.jobs() {
		out = out.Intersect(j.Regions)
	}
	return out
}

// RefuseEvacuated ends the jobs for which only evacuated workers are left and of which no piece runs, so that they are sent to another queue at once. It returns them, and the results that they already have so that they can be freed.
func (q *Queue) RefuseEvacuated() (ended []*Job, unused []string) {
	if !q.hasEvacuated() {
		return nil, nil
	}
	for _, j := range slices.Clone(q.jobs) {
		if len(j.waiting) != j.remaining || q.runs(j) || q.hasOpenWorker(j.Work) {
			continue
		}
		q.endJob(j, Refused{
			After: noWorkerRetryAfter,
		})
		ended = append(ended, j)
		unused = append(unused, q.partialResults(j)...)
	}
	return ended, unused
}

// runs reports whether a call with pieces of the job runs.
func (q *Queue) runs(j *Job) bool {
	return slices.ContainsFunc(q.running, func(c *Call) bool { return slices.Contains(c.jobs(), j) })
}

// hasEvacuated reports whether a worker is in an evacuated failure domain.
func (q *Queue) hasEvacuated() bool {
	for _, w := range q.workers {
		if w.upstream.Evacuated {
			return true
		}
	}
	return false
}

// hasOpenWorker reports whether a worker that is not closed may run the work.
func (q *Queue) hasOpenWorker(w Work) bool {
	for _, o := range q.workers {
		if !o.upstream.Closed() && w.allows(o.upstream) {
			return true
		}
	}
	return false
}
