package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultLimit is the number of crashes after which a request is stopped.
	defaultLimit = 2
	// keepFor is how long a mark counts.
	keepFor = 15 * time.Minute
	// sameCrash is how long the marks of one upstream belong to one crash.
	sameCrash = 5 * time.Second
	// maxMarks bounds the memory that marks take.
	maxMarks = 4096
)

// Fingerprint is the fingerprint of a request: it is the same whenever the request is sent again, over whatever host.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of an input and of what it is sent to, such as a pipeline, or an account and a path.
func FingerprintOf(input []byte, sentTo ...string) Fingerprint {
	d := xxhash.New()
	for _, s := range sentTo {
		// A hash never fails to take bytes.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(input)
	return Fingerprint(d.Sum64())
}

// Mark says that an upstream crashed while it ran the request.
type Mark struct {
	Fingerprint Fingerprint `json:"print" cbor:"1,keyasint"`
	Upstream    string      `json:"upstream" cbor:"2,keyasint"`
	// At is when the crash was seen, in milliseconds since 1970.
	At int64 `json:"at" cbor:"3,keyasint"`
}

func (m Mark) time() time.Time {
	return time.UnixMilli(m.At)
}

// Tracker counts crashes for each request, and keeps suspects apart from each other.
type Tracker struct {
	limit int

	mu    sync.Mutex
	marks map[Fingerprint][]Mark
	// held is the suspect that is on trial on an upstream.
	held map[string]Fingerprint
}

// Option changes a Tracker under construction.
type Option func(*Tracker)

// WithLimit sets the number of crashes after which a request is stopped.
func WithLimit(n int) Option {
	return func(t *Tracker) {
		t.limit = n
	}
}

// NewTracker returns a tracker without marks.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{
		limit: defaultLimit,
		marks: map[Fingerprint][]Mark{},
		held:  map[string]Fingerprint{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Count returns how many crashes the request was in at.
func (t *Tracker) Count(p Fingerprint, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(p, now)
}

func (t *Tracker) count(p Fingerprint, now time.Time) int {
	n := 0
	for _, m := range t.marks[p] {
		if now.Sub(m.time()) < keepFor {
			n++
		}
	}
	return n
}

// Blocked reports whether the request crashed too many upstreams to be run again.
func (t *Tracker) Blocked(p Fingerprint, now time.Time) bool {
	return t.Count(p, now) >= t.limit
}

// Add takes a mark, and reports whether it tells of a crash that was not known.
func (t *Tracker) Add(m Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(m.time()) >= keepFor {
		return false
	}
	for _, o := range t.marks[m.Fingerprint] {
		if o.Upstream == m.Upstream && o.time().Sub(m.time()).Abs() < sameCrash {
			return false
		}
	}
	if len(t.marks) >= maxMarks {
		t.purge(now)
	}
	if len(t.marks) >= maxMarks && len(t.marks[m.Fingerprint]) == 0 {
		return false
	}
	t.marks[m.Fingerprint] = append(t.marks[m.Fingerprint], m)
	return true
}

func (t *Tracker) purge(now time.Time) {
	for p := range t.marks {
		if t.count(p, now) == 0 {
			delete(t.marks, p)
		}
	}
}

// Clear forgets the crashes of a request that ran to its end, and reports whether there were any.
func (t *Tracker) Clear(p Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.marks[p]
	delete(t.marks, p)
	return ok
}

// Of returns the marks of the request.
func (t *Tracker) Of(p Fingerprint) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.marks[p])
}

// Stopped returns the marks of the requests that are stopped, at most limit of them.
func (t *Tracker) Stopped(now time.Time, limit int) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	for p, ms := range t.marks {
		if t.count(p, now) >= t.limit && len(out)+len(ms) <= limit {
			out = append(out, ms...)
		}
	}
	return out
}

// Hold puts a suspect on trial on the upstream, and reports false if another suspect is on trial there.
// Two suspects on one upstream could not be told apart by its crash.
func (t *Tracker) Hold(p Fingerprint, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if other, ok := t.held[upstream]; ok && other != p {
		return false
	}
	t.held[upstream] = p
	return true
}

// Free ends the trial on the upstream.
func (t *Tracker) Free(p Fingerprint, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[upstream] == p {
		delete(t.held, upstream)
	}
}

// Marks returns at most limit marks, the newest first.
func (t *Tracker) Marks(now time.Time, limit int) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	for _, ms := range t.marks {
		for _, m := range ms {
			if now.Sub(m.time()) < keepFor {
				out = append(out, m)
			}
		}
	}
	slices.SortFunc(out, func(a, b Mark) int {
		if a.At != b.At {
			return cmp.Compare(b.At, a.At)
		}
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return out[:min(limit, len(out))]
}
