package batch

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Job is work that a queue has accepted; Outcome is set when the work ends.
type Job struct {
	Work
	Outcome Outcome

	softDeadline time.Time
	hardDeadline time.Time
	handles      []string
	// waiting holds the positions in Pieces of the pieces that still have to be put into a call.
	waiting   []int
	remaining int
	attempts  int
	// lastCallAt is when a piece was last put into a call. inputsReleased is set once the inputs were released; the pieces can't be computed again after that.
	lastCallAt     time.Time
	inputsReleased bool
	// claims is what is reserved for the request, and reservedFor the time by which its work must have begun.
	claims      []room.Claim
	reservedFor time.Time
	// resultsByDomain counts the results by the failure domain that holds them.
	resultsByDomain map[string]int
}

func newJob(now time.Time, w Work) *Job {
	j := &Job{
		Work:            w,
		softDeadline:    now.Add(w.SoftTimeout),
		hardDeadline:    now.Add(w.HardTimeout),
		handles:         make([]string, len(w.Pieces)),
		remaining:       len(w.Pieces),
		resultsByDomain: map[string]int{},
	}
	for i := range w.Pieces {
		j.waiting = append(j.waiting, i)
	}
	return j
}

// hasInputs reports whether the work uses results of earlier stages.
func (j *Job) hasInputs() bool {
	return len(j.Pieces) > 0 && len(j.Pieces[0].Inputs) > 0
}

// mainDomain returns the failure domain that holds most of the results.
func (j *Job) mainDomain() string {
	best := ""
	for d, n := range j.resultsByDomain {
		if best == "" || n > j.resultsByDomain[best] || (n == j.resultsByDomain[best] && d < best) {
			best = d
		}
	}
	return best
}

// Call is one call to a worker with a batch of items.
type Call struct {
	Upstream route.Upstream
	Items    []Item
	// Expected is how long the call is expected to take at this worker.
	Expected time.Duration

	// room is how many bytes of results the worker was expected to have room for when the call was built.
	room int64

	worker    *worker
	pieces    []pieceRef
	startedAt time.Time
	// baseline is how long the call is expected to take at a worker of normal speed.
	baseline time.Duration
	// saturated is set if the call is full or as many pieces as fill another one went on waiting, and idleSince is since when the worker could have begun it.
	saturated bool
	idleSince time.Time
	// hedged is set once the call has taken too long and its pieces were queued for another worker as well.
	hedged bool
}

// jobs returns the jobs whose pieces the call contains.
func (c *Call) jobs() []*Job {
	var out []*Job
	for _, p := range c.pieces {
		if !slices.Contains(out, p.job) {
			out = append(out, p.job)
		}
	}
	return out
}

// onlyLacksRoom reports whether the worker had no room for some of the job's pieces and did not fail otherwise.
func (c *Call) onlyLacksRoom(j *Job, results []Result) bool {
	lacks := false
	for i, p := range c.pieces {
		if p.job != j || results[i].Handle != "" {
			continue
		}
		if results[i].Reason != ReasonNoRoom {
			return false
		}
		lacks = true
	}
	return lacks
}

// refundAttempt takes back that the call counts as an attempt of the job. The pieces of a hedged call are in another attempt already.
func (c *Call) refundAttempt(j *Job) {
	if !c.hedged {
		j.attempts--
	}
}

// pieceRef identifies the piece of an item: its job and its position in the job's Pieces.
type pieceRef struct {
	job *Job
	pos int
}
