package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashLimit is the number of crashes after which a request is blocked.
	crashLimit = 2
	// markRetention is how long a mark counts towards the limit.
	markRetention = 15 * time.Minute
	// sameCrashWindow is the time within which marks of one request on one upstream count as the same crash.
	sameCrashWindow = 5 * time.Second
	// maxMarkedRequests is the maximum number of requests with marks. It bounds the memory that marks use.
	maxMarkedRequests = 4096
)

// Fingerprint identifies a request by its content: a request that is sent again has the same fingerprint on every host.
type Fingerprint uint64

// FingerprintOf hashes the input of a request and its destination, such as a pipeline, or an account and a path.
func FingerprintOf(input []byte, sentTo ...string) Fingerprint {
	d := xxhash.New()
	for _, s := range sentTo {
		// The write methods of xxhash.Digest never return an error.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(input)
	return Fingerprint(d.Sum64())
}

// Mark records that an upstream crashed while it ran a request.
type Mark struct {
	Fingerprint Fingerprint `json:"print" cbor:"1,keyasint"`
	Upstream    string      `json:"upstream" cbor:"2,keyasint"`
	// At is the time at which the crash was detected, in milliseconds since the Unix epoch.
	At int64 `json:"at" cbor:"3,keyasint"`
}

// time returns the time at which the crash was detected.
func (m Mark) time() time.Time {
	return time.UnixMilli(m.At)
}

// Tracker counts the crashes of each request. A request with at least one crash is a suspect. Each run of a suspect on an upstream is a trial, and trials of different requests do not run on an upstream at the same time.
// A Tracker is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	marks map[Fingerprint][]Mark
	// trials maps the name of an upstream to the suspect request whose trial is running there.
	trials map[string]Fingerprint
}

// NewTracker returns a tracker without marks.
func NewTracker() *Tracker {
	return &Tracker{
		marks:  map[Fingerprint][]Mark{},
		trials: map[string]Fingerprint{},
	}
}

// CrashCount returns the number of unexpired crash marks of the request.
func (t *Tracker) CrashCount(fp Fingerprint, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashCount(fp, now)
}

func (t *Tracker) crashCount(fp Fingerprint, now time.Time) int {
	n := 0
	for _, m := range t.marks[fp] {
		if now.Sub(m.time()) < markRetention {
			n++
		}
	}
	return n
}

// Add stores a mark and reports whether it records a new crash.
// It ignores an expired mark and a mark of a crash that is already recorded.
// While maxMarkedRequests requests have unexpired marks, it also ignores marks of any further request.
func (t *Tracker) Add(m Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(m.time()) >= markRetention {
		return false
	}
	for _, o := range t.marks[m.Fingerprint] {
		if o.Upstream == m.Upstream && o.time().Sub(m.time()).Abs() < sameCrashWindow {
			return false
		}
	}
	if len(t.marks) >= maxMarkedRequests {
		t.purgeExpired(now)
	}
	if len(t.marks) >= maxMarkedRequests && len(t.marks[m.Fingerprint]) == 0 {
		return false
	}
	t.marks[m.Fingerprint] = append(t.marks[m.Fingerprint], m)
	return true
}

func (t *Tracker) purgeExpired(now time.Time) {
	for fp := range t.marks {
		if t.crashCount(fp, now) == 0 {
			delete(t.marks, fp)
		}
	}
}

// StartTrial starts a trial of the suspect request on the upstream. It returns false if the trial of another request is running there.
// If two suspects ran on one upstream, its crash would not show which of them caused it.
func (t *Tracker) StartTrial(fp Fingerprint, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if other, ok := t.trials[upstream]; ok && other != fp {
		return false
	}
	t.trials[upstream] = fp
	return true
}

// EndTrial ends the trial of the request on the upstream. It does nothing if the request has no trial there.
func (t *Tracker) EndTrial(fp Fingerprint, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trials[upstream] == fp {
		delete(t.trials, upstream)
	}
}

// Marks returns at most limit unexpired marks, the newest first.
func (t *Tracker) Marks(now time.Time, limit int) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	for _, ms := range t.marks {
		for _, m := range ms {
			if now.Sub(m.time()) < markRetention {
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
