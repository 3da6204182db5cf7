package batch

import (
	"time"
)

// Piece is one part of a request's work at a stage.
type Piece struct {
	Index int `json:"index"`
	// Inputs are the handles of the results that the piece is made from.
	Inputs []string `json:"inputs,omitempty"`
}

// Spent names results of a queue that are no longer needed.
type Spent struct {
	Queue   string   `json:"queue"`
	Handles []string `json:"handles"`
}

// Work is what one request needs of one stage.
type Work struct {
	Pool string `json:"pool"`
	// Queue is the one of the pool's queues that the work goes to.
	Queue   string `json:"queue"`
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	// Key is what pieces of a stage without earlier stages are made from.
	Key    string  `json:"key,omitempty"`
	Pieces []Piece `json:"pieces"`
	// Spent are results that nothing else needs once the pieces are in the making.
	Spent []Spent `json:"spent,omitempty"`
	// Bytes is about the size of one piece's result.
	Bytes int64 `json:"bytes"`
	// Rank is 0 for the most urgent.
	Rank int `json:"rank"`
	// Domain is the failure domain where the results are wanted.
	Domain string `json:"domain,omitempty"`
	// Moves is how many bytes of inputs cross to the worker where it is in another failure domain.
	Moves int64 `json:"moves,omitempty"`
	// Keep asks the host to batch the work itself, whoever it takes for the owner.
	Keep bool `json:"keep,omitempty"`
	// OnTime and Last are how much time the stage has for an answer that is on time, and for one that still counts.
	OnTime time.Duration `json:"on_time"`
	Last   time.Duration `json:"last"`
}

// Outcome is how work ended: Made, Refused, Failed or Moved.
type Outcome interface {
	outcome()
}

// Made holds the handles of the results, one for each piece in their order.
type Made struct {
	Handles []string
	// Domain is the failure domain where most of the results are.
	Domain string
	// Queue is where the results are given up.
	Queue string
}

// Refused says that nothing of the work was or will be done, and when to come back.
type Refused struct {
	After time.Duration
}

// Failed says that the work was given up.
type Failed struct {
	Reason Reason
}

// Moved says that nothing of the work was done, as another host keeps the queue now.
type Moved struct{}

func (Made) outcome()    {}
func (Refused) outcome() {}
func (Failed) outcome()  {}
func (Moved) outcome()   {}

// Reason says why a piece has no result.
type Reason string

// The reasons.
const (
	// Late says that the time for the work had run out.
	Late Reason = "late"
	// Gone says that an input is no longer there.
	Gone Reason = "gone"
	// Full says that the worker has no room for the result.
	Full Reason = "full"
	// Fault is a failure of the worker.
	Fault Reason = "fault"
	// NoWorker says that no worker could be reached.
	NoWorker Reason = "no worker"
)

// Item is one piece as it is put into a call.
type Item struct {
	Request string
	Stage   int
	Piece   int
	Key     string
	Inputs  []string
	Left    time.Duration
}

// Result is what a call made of one item: a handle, or the reason why there is none.
type Result struct {
	Handle string
	Reason Reason
}

// kind names the work that takes about the same time for each piece.
type kind struct {
	stage int
	bytes int64
}

func (w Work) kind() kind {
	return kind{
		stage: w.Stage,
		bytes: w.Bytes,
	}
}
