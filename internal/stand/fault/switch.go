package fault

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidFaults is returned for faults with a value out of range.
var ErrInvalidFaults = errors.New("chaos must be from 0 to 1 and times not negative")

// Faults describes how one stand-in misbehaves. The zero value injects no faults.
type Faults struct {
	// Down closes the listener and every open connection.
	Down bool `json:"down,omitempty"`
	// SlowMS is the delay added to every call, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// LoseAnswers closes the connection of every write without a response, after the write took effect.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Frozen accepts calls and never responds to them.
	Frozen bool `json:"frozen,omitempty"`
	// CrashOn crashes the upstream on every input that contains this text.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving makes the upstream report that it is about to leave. It still runs calls.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse rejects every call as not run, with the reason that the upstream is leaving.
	Refuse bool `json:"refuse,omitempty"`
	// StaleMS is how far the load report lags behind the current load, in milliseconds.
	StaleMS int `json:"stale_ms,omitempty"`
	// Chaos is the probability, from 0 to 1, that a result is dropped, truncated or replaced by that of another attempt, or that the response to a platform write or an engine's order is dropped.
	// For each token of a stream, one eighth of Chaos is the total probability that the token is duplicated, skipped or labeled with another attempt's ID, or that the connection is closed instead.
	Chaos float64 `json:"chaos,omitempty"`
}

// UnmarshalJSON decodes faults, rejects unknown fields and checks that all values are in range.
func (f *Faults) UnmarshalJSON(b []byte) error {
	type plain Faults
	var p plain
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return fmt.Errorf("decode faults: %w", err)
	}
	if p.Chaos < 0 || p.Chaos > 1 || p.SlowMS < 0 || p.StaleMS < 0 {
		return fmt.Errorf("check faults: %w", ErrInvalidFaults)
	}
	*f = Faults(p)
	return nil
}

// Delay returns the delay added to every call.
func (f Faults) Delay() time.Duration {
	return time.Duration(f.SlowMS) * time.Millisecond
}

// Switch holds the active faults of one stand-in and a seeded random number generator. It is safe for concurrent use.
type Switch struct {
	mu      sync.Mutex
	current Faults
	rng     *rand.Rand
}

// New returns a switch without active faults whose random numbers are determined by the seed.
func New(seed uint64) *Switch {
	return &Switch{
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Set replaces the active faults.
func (s *Switch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
}

// Get returns the active faults.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// RollChaos returns true with the probability of the Chaos fault, together with a random number from 0 to n-1.
func (s *Switch) RollChaos(n int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Chaos == 0 || s.rng.Float64() >= s.current.Chaos {
		return 0, false
	}
	return s.rng.IntN(n), true
}
