package room

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// fetchTime is how long the results of a call are held at least, while what needs them fetches them.
const fetchTime = 50 * time.Millisecond

// Need is what a request needs of one pool.
type Need struct {
	Pool string `json:"pool"`
	// Stage is the index of the stage, and Pieces the number of its pieces.
	Stage  int `json:"stage"`
	Pieces int `json:"pieces"`
	// Bytes is the approximate size of the result of a piece.
	Bytes int64 `json:"bytes,omitempty"`
}

// ErrInvalidNeed is returned for a need without a pool or with a negative figure.
var ErrInvalidNeed = errors.New("need is not valid")

// UnmarshalJSON decodes a need and checks its figures.
func (n *Need) UnmarshalJSON(b []byte) error {
	type plain Need
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode need: %w", err)
	}
	if p.Pool == "" || p.Stage < 0 || p.Pieces < 0 || p.Bytes < 0 {
		return fmt.Errorf("check need: %w", ErrInvalidNeed)
	}
	*n = Need(p)
	return nil
}

// Request is what a request needs of all pools.
type Request struct {
	Needs []Need `json:"needs"`
	// Slack is how long the request may wait, over all of its stages, and still be on time.
	Slack time.Duration `json:"slack"`
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int `json:"rank,omitempty"`
	// Reports are what the sender knows of the queues of later stages.
	Reports []Report `json:"reports,omitempty"`
}

// WithElapsed returns the request with its slack reduced by the time that has passed.
func (r Request) WithElapsed(d time.Duration) Request {
	r.Slack -= d
	return r
}

// Pool is the part of a pool for which one ledger reserves work.
type Pool struct {
	// Workers is how many workers of normal speed the part has.
	Workers float64
	Spec    plan.Worker
	// Queues are the queues of these workers.
	Queues []string
}

// WorkTime returns the time of a worker that the pieces take in the best sequence of calls: full ones that begin once the results of the one before were fetched, or ones that leave room for those.
func (p Pool) WorkTime(n Need, pieceTime time.Duration) time.Duration {
	full := max(1, p.Spec.Batch)
	half := full
	if n.Bytes > 0 {
		fit := int(min(p.Spec.ResultCapacity/n.Bytes, int64(full)))
		full = max(1, fit)
		half = int(min(p.Spec.ResultCapacity/n.Bytes/2, int64(half)))
	}
	perPiece := float64(p.Spec.Call+fetchTime) / float64(full)
	if half > 0 {
		perPiece = min(perPiece, float64(p.Spec.Call)/float64(half))
	}
	return time.Duration(float64(n.Pieces) * (perPiece + float64(pieceTime)))
}
