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

// Write is a conditional write that a host forwards to the claim writer of its failure domain.
type Write struct {
	Cond plat.Cond `json:"cond" cbor:"1,keyasint"`
	Put  plat.Put  `json:"put" cbor:"2,keyasint"`
	// Also holds further rows that are written in the same transaction, without a condition of their own.
	Also []plat.Put `json:"also,omitempty" cbor:"3,keyasint,omitempty"`
}

// Result is the outcome of a write.
type Result string

// The results of a write. Conflict means that the row had another version than the condition requires,
// NotWritten that nothing took effect, and Unknown that the write may or may not have taken effect.
const (
	Written    Result = "written"
	Conflict   Result = "taken"
	NotWritten Result = "out"
	Unknown    Result = "lost"
)

// ErrUnknownResult is returned for a result that is none of the constants above.
var ErrUnknownResult = errors.New("unknown result")

// UnmarshalJSON decodes a result. It returns ErrUnknownResult for a value that is none of the constants.
func (r *Result) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	switch v := Result(s); v {
	case Written, Conflict, NotWritten, Unknown:
		*r = v
		return nil
	default:
		return fmt.Errorf("decode result %q: %w", s, ErrUnknownResult)
	}
}

// err converts the result to the error that batcher.put returns. A value that is none of the constants counts as Unknown.
func (r Result) err() error {
	switch r {
	case Written:
		return nil
	case Conflict:
		return errConflict
	case NotWritten:
		return store.ErrUnavailable
	default:
		return store.ErrUnknownOutcome
	}
}

// resultOf converts an error of batcher.put to a result.
func resultOf(err error) Result {
	switch {
	case err == nil:
		return Written
	case errors.Is(err, errConflict):
		return Conflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled):
		return NotWritten
	default:
		return Unknown
	}
}

// Forwarder forwards writes to another host, which commits them in a batch with writes of other hosts.
type Forwarder interface {
	// Forward returns a result for each write. It returns false if nothing was forwarded, in which case the caller commits the writes itself.
	Forward(ctx context.Context, writes []Write) ([]Result, bool)
	// Writers returns the number of hosts that commit claims. They divide the write budget evenly.
	Writers() int
}

// noForwarding is a Forwarder for hosts that commit their own writes.
type noForwarding struct {
	hosts func() int
}

func (noForwarding) Forward(context.Context, []Write) ([]Result, bool) { return nil, false }
func (n noForwarding) Writers() int                                    { return n.hosts() }

// CommitForwarded commits writes that another host forwarded, batched with this host's own, and returns a result for each.
func (m *Manager) CommitForwarded(ctx context.Context, writes []Write) []Result {
	results := make([]Result, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() {
			results[i] = resultOf(m.batch.put(ctx, w, localOnly))
		})
	}
	wg.Wait()
	return results
}
