package batch

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// Job is work that was taken; Outcome is set once it is over.
type Job struct {
	Work
	Outcome Outcome

	onTime  time.Time
	last    time.Time
	handles []string
	// waiting holds the places of the pieces that are in no call.
	waiting []int
	missing int
	tries   int
	// begun is when the last piece was put into a call, and freed says that the inputs were given up since.
	begun time.Time
	freed bool
	// domains counts the results by the failure domains where they are.
	domains map[string]int
}

// domain returns where most of the results are.
func (j *Job) domain() string {
	best := ""
	for d, n := range j.domains {
		if best == "" || n > j.domains[best] || (n == j.domains[best] && d < best) {
			best = d
		}
	}
	return best
}

// Call is one call to a worker.
type Call struct {
	Upstream route.Upstream
	Items    []Item
	// Expected is how long the call should take.
	Expected time.Duration

	// room is how many bytes of results the worker had room for.
	room int64

	worker *worker
	parts  []part
	began  time.Time
	// normal is how long the call takes at a worker of normal speed.
	normal time.Duration
	// hedged says that the pieces are made elsewhere as well, as the call takes too long.
	hedged bool
}

// part says which piece of which job an item is.
type part struct {
	job   *Job
	place int
}
