package batch

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
)

// Piece is one part of a request's work at a stage.
type Piece struct {
	Index int `json:"index"`
	// Inputs are the handles of the results that the piece is computed from.
	Inputs []string `json:"inputs,omitempty"`
}

// Released lists results of a queue that are no longer needed.
type Released struct {
	Queue   string   `json:"queue"`
	Handles []string `json:"handles"`
}

// Work is the work of one request at one stage.
type Work struct {
	Pool string `json:"pool"`
	// Queue names the queue of the pool that the work is sent to.
	Queue   string `json:"queue"`
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	// Key identifies the input of the pieces at a stage that has no earlier stages.
	Key    string  `json:"key,omitempty"`
	Pieces []Piece `json:"pieces"`
	// Released lists the results that nothing else needs once all pieces are in progress.
	Released []Released `json:"spent,omitempty"`
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64 `json:"bytes"`
	// Rank is the urgency of the work; 0 is the most urgent.
	Rank int `json:"rank"`
	// Resumed reports that the caller has got a part of the answer already. Such work goes first, as it has little time left and what was done for it would be lost.
	Resumed bool `json:"resumed,omitempty"`
	// AdmitWithin, if not 0, is the time within which the work must end. Work that would end later is refused at once, as its request has not begun and its caller can come back.
	AdmitWithin time.Duration `json:"admit_within,omitempty"`
	// Chain is set on the first work of a request, and says what its stages need of all pools. The request is refused at once if they can't all end in time.
	Chain *room.Request `json:"chain,omitempty"`
	// Reserved reports that the work was reserved by the first work of its request.
	Reserved bool `json:"reserved,omitempty"`
	// Domain is the failure domain in which the work should run: the one that holds its inputs if they are large, otherwise the one in which the results are needed.
	Domain string `json:"domain,omitempty"`
	// TransferBytes is how many bytes of inputs or results cross from one failure domain to another if the worker is outside Domain.
	TransferBytes int64 `json:"moves,omitempty"`
	// Regions are the regions of the workers that may run the work. A host of an older build ignores them, so that work with regions is sent to another path.
	Regions place.Regions `json:"regions,omitempty"`
	// ForceLocal asks the receiving host to batch the work itself, even if it considers another host the owner of the queue. A host that is about to stop ignores it.
	ForceLocal bool `json:"keep,omitempty"`
	// SoftTimeout is the time left to the stage for the request to be on time, and HardTimeout the time left until its result is no longer accepted.
	SoftTimeout time.Duration `json:"on_time"`
	HardTimeout time.Duration `json:"last"`
}

// WithElapsed returns the work with its times reduced by the time that has passed.
func (w Work) WithElapsed(d time.Duration) Work {
	w.SoftTimeout -= d
	w.HardTimeout -= d
	if w.AdmitWithin > 0 {
		w.AdmitWithin = max(time.Nanosecond, w.AdmitWithin-d)
	}
	if w.Chain != nil {
		chain := w.Chain.WithElapsed(d)
		w.Chain = &chain
	}
	return w
}

// Outcome is how work ended: Completed, Refused, Failed or OwnerChanged.
type Outcome interface {
	outcome()
}

// Completed holds the handles of the results, one for each piece in the order of the pieces.
type Completed struct {
	Handles []string
	// Domain is the failure domain that holds most of the results.
	Domain string
	// Queue is the name of the queue that produced the results and must be used to free them.
	Queue string
}

// Refused reports that no part of the work was or will be done; After is the delay before a retry.
type Refused struct {
	After time.Duration
	// Pool is the pool of a later stage that has no time for the request, or "". It is known to the owner of the queue alone.
	Pool string
}

// Failed reports that the work was abandoned, and the reason.
type Failed struct {
	Reason Reason
}

// OwnerChanged reports that no part of the work was done because another host owns the queue now.
type OwnerChanged struct{}

func (Completed) outcome()    {}
func (Refused) outcome()      {}
func (Failed) outcome()       {}
func (OwnerChanged) outcome() {}

// Reason is why a piece has no result.
type Reason string

// Reasons for a piece without a result.
const (
	// ReasonDeadline means that the time for the work ran out.
	ReasonDeadline Reason = "late"
	// ReasonInputLost means that an input no longer exists.
	ReasonInputLost Reason = "gone"
	// ReasonNoRoom means that the worker has no room for the result.
	ReasonNoRoom Reason = "full"
	// ReasonPaused means that the worker ran nothing and asked for a pause.
	ReasonPaused Reason = "paused"
	// ReasonWorkerFailed means that the worker failed.
	ReasonWorkerFailed Reason = "fault"
	// ReasonNoWorker means that no worker could be reached.
	ReasonNoWorker Reason = "no worker"
)

// Item is one piece in a call; TimeLeft is the time until the deadline of its work.
type Item struct {
	Request  string
	Stage    int
	Piece    int
	Key      string
	Inputs   []string
	TimeLeft time.Duration
}

// Result is the result of one item: a handle, or the reason why there is none.
type Result struct {
	Handle string
	Reason Reason
}

// costClass groups the work whose pieces take about the same time.
type costClass struct {
	stage int
	bytes int64
}

func (w Work) costClass() costClass {
	return costClass{
		stage: w.Stage,
		bytes: w.ResultBytes,
	}
}
