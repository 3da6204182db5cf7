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

// ErrFaults reports faults whose values are out of their bounds.
var ErrFaults = errors.New("chaos must be from 0 to 1 and times not negative")

// Faults says how one stand-in misbehaves; the zero value is a healthy one.
type Faults struct {
	// Down closes the listener and every connection.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// LoseAnswers drops the answer of every write after it took effect.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Frozen accepts calls and never answers them.
	Frozen bool `json:"frozen,omitempty"`
	// CrashOn crashes the upstream on an input that holds the text.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving says that the upstream is about to go.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse turns every call away as not run, with the word that the upstream is leaving.
	Refuse bool `json:"refuse,omitempty"`
	// StaleMS is how far the load report lags, in milliseconds.
	StaleMS int `json:"stale_ms,omitempty"`
	// Chaos is the share of results that are doubled, swapped, cut or out of order, from 0 to 1.
	Chaos float64 `json:"chaos,omitempty"`
}

// UnmarshalJSON decodes faults, refuses unknown ones and checks the bounds.
func (f *Faults) UnmarshalJSON(b []byte) error {
	type plain Faults
	var p plain
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return fmt.Errorf("decode faults: %w", err)
	}
	if p.Chaos < 0 || p.Chaos > 1 || p.SlowMS < 0 || p.StaleMS < 0 {
		return fmt.Errorf("check faults: %w", ErrFaults)
	}
	*f = Faults(p)
	return nil
}

// Slow returns the delay of each call.
func (f Faults) Slow() time.Duration {
	return time.Duration(f.SlowMS) * time.Millisecond
}

// Switch holds the faults in force and a seeded source of chance.
type Switch struct {
	mu  sync.Mutex
	now Faults
	rng *rand.Rand
}

// New returns a healthy switch whose chances follow from the seed.
func New(seed uint64) *Switch {
	return &Switch{
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Set puts the faults in force.
func (s *Switch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = f
}

// Get returns the faults in force.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Roll returns a number from 0 up to n if chaos strikes this time.
func (s *Switch) Roll(n int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.Chaos == 0 || s.rng.Float64() >= s.now.Chaos {
		return 0, false
	}
	return s.rng.IntN(n), true
}
