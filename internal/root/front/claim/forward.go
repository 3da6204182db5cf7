package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/store"
)

// Write is one conditional write that a host hands to the claim writer of its failure domain.
type Write struct {
	Cond plat.Cond `json:"cond" cbor:"1,keyasint"`
	Put  plat.Put  `json:"put" cbor:"2,keyasint"`
	// Also is written along with Put, without a condition of its own.
	Also []plat.Put `json:"also,omitempty" cbor:"3,keyasint,omitempty"`
}

// Result is what became of a write.
type Result string

// The results: written, the row was at another version, nothing took effect, or nobody knows.
const (
	Written Result = "written"
	Taken   Result = "taken"
	Out     Result = "out"
	Lost    Result = "lost"
)

// ErrResult reports a result outside of the closed set.
var ErrResult = errors.New("unknown result")

// UnmarshalJSON decodes a result and refuses one outside of the set.
func (r *Result) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	switch v := Result(s); v {
	case Written, Taken, Out, Lost:
		*r = v
		return nil
	default:
		return fmt.Errorf("decode result %q: %w", s, ErrResult)
	}
}

// err returns the result as the batcher's error; one that cannot be read counts as lost.
func (r Result) err() error {
	switch r {
	case Written:
		return nil
	case Taken:
		return errTaken
	case Out:
		return store.ErrOut
	default:
		return store.ErrLost
	}
}

func resultOf(err error) Result {
	switch {
	case err == nil:
		return Written
	case errors.Is(err, errTaken):
		return Taken
	case errors.Is(err, store.ErrOut), errors.Is(err, store.ErrBusy):
		return Out
	default:
		return Lost
	}
}

// Forwarder hands writes to another host that commits them together with others'.
type Forwarder interface {
	// Forward returns a result for each write; false says that nothing was handed over and the writes are to be committed here.
	Forward(ctx context.Context, writes []Write) ([]Result, bool)
	// Writers is how many hosts commit claims, by which they share the write budget.
	Writers() int
}

// alone commits everything on the host itself.
type alone struct {
	hosts func() int
}

func (alone) Forward(context.Context, []Write) ([]Result, bool) { return nil, false }
func (a alone) Writers() int                                    { return a.hosts() }

// Serve commits the writes that another host handed over, together with this host's own.
func (k *Keeper) Serve(ctx context.Context, writes []Write) []Result {
	results := make([]Result, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() {
			results[i] = resultOf(k.batch.put(ctx, w, here))
		})
	}
	wg.Wait()
	return results
}
