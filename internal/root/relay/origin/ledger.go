package origin

import (
	"sync"
	"time"
)

const (
	// maxStreams is the maximum number of streams whose origin is remembered. The oldest are forgotten first.
	maxStreams = 16384
	// maxRetention bounds how long an origin is remembered.
	maxRetention = 10 * time.Minute
)

// record is what is remembered of one stream.
type record struct {
	origin  Origin
	expires time.Time
	// conflicting reports that the stream is said to have begun at two versions, so that neither is sure.
	conflicting bool
	// own reports that this host began the stream.
	own bool
}

// Entry is a stream in a ledger.
type Entry struct {
	Key    Key
	Origin Origin
	// Keep is how long its origin is still remembered.
	Keep time.Duration
}

// Ledger remembers where streams began. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	records map[Key]*record
	// order holds the keys in the order in which they were first added.
	order []Key
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		records: map[Key]*record{},
	}
}

// Add remembers where a stream began, for the given time. A second version for the same stream makes its origin unknown.
func (l *Ledger) Add(now time.Time, k Key, o Origin, keep time.Duration) {
	l.add(now, k, o, keep, false)
}

// AddOwn is Add for a stream that this host began.
func (l *Ledger) AddOwn(now time.Time, k Key, o Origin, keep time.Duration) {
	l.add(now, k, o, keep, true)
}

// Own returns the streams in the pool that this host began and whose origin is sure.
func (l *Ledger) Own(now time.Time, pool string) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for k, r := range l.records {
		if !r.own || r.conflicting || r.origin.Pool != pool || !now.Before(r.expires) {
			continue
		}
		out = append(out, Entry{
			Key:    k,
			Origin: r.origin,
			Keep:   r.expires.Sub(now),
		})
	}
	return out
}

func (l *Ledger) add(now time.Time, k Key, o Origin, keep time.Duration, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expires := now.Add(min(keep, maxRetention))
	r, ok := l.records[k]
	if !ok || !now.Before(r.expires) {
		l.insert(now, k, &record{
			origin:  o,
			expires: expires,
			own:     own,
		})
		return
	}
	r.conflicting = r.conflicting || !r.origin.matches(o)
	r.own = r.own || own
	if expires.After(r.expires) {
		r.expires = expires
	}
}

// insert adds a record and makes room for it. The caller holds the lock.
func (l *Ledger) insert(now time.Time, k Key, r *record) {
	if _, replaced := l.records[k]; !replaced {
		l.order = append(l.order, k)
	}
	l.records[k] = r
	for len(l.order) > 0 {
		oldest := l.records[l.order[0]]
		if len(l.order) <= maxStreams && now.Before(oldest.expires) {
			return
		}
		delete(l.records, l.order[0])
		l.order = l.order[1:]
	}
}

// Find returns where the stream began, or a zero origin if that is not known. ok is false if the ledger holds no record of the stream.
func (l *Ledger) Find(now time.Time, k Key) (o Origin, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[k]
	if !ok || !now.Before(r.expires) {
		return Origin{}, false
	}
	if r.conflicting {
		return Origin{}, true
	}
	return r.origin, true
}

// BeganAtOther reports whether a stream is remembered that was sent to the pool between the times at another version than the given one. One whose upstream did not say when it started does not count.
func (l *Ledger) BeganAtOther(pool, version string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		o := r.origin
		if o.Pool == pool && o.Version != version && !o.Unanswered && !o.SentAt.Before(from) && !o.SentAt.After(to) {
			return true
		}
	}
	return false
}

// Len returns how many streams the ledger remembers.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
