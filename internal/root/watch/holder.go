package watch

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cornelwing/cornelwing/pkg/config"
)

// Holder stores the configuration revision in force on this host. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[indexedRevision]
	changed chan struct{}
	// deltas are the consecutive deltas that end at the current revision, oldest first.
	deltas []config.Delta
}

// maxDeltas is the number of deltas that are retained for peers with an older revision.
const maxDeltas = 16

// indexedRevision is a revision with its accounts indexed by the hashes of their tokens.
type indexedRevision struct {
	config.Revision
	accounts map[string]config.Account
}

func newIndexedRevision(r config.Revision) *indexedRevision {
	h := &indexedRevision{
		Revision: r,
		accounts: make(map[string]config.Account, len(r.Document.Accounts)),
	}
	for _, a := range r.Document.Accounts {
		h.accounts[a.KeySHA256] = a
	}
	return h
}

// NewHolder returns a Holder without a revision.
func NewHolder() *Holder {
	return &Holder{
		changed: make(chan struct{}),
	}
}

// Current returns the revision in force, or false if there is none yet.
func (h *Holder) Current() (config.Revision, bool) {
	r := h.current.Load()
	if r == nil {
		return config.Revision{}, false
	}
	return r.Revision, true
}

// Account returns the account whose token has the given hexadecimal SHA-256, and the document that defines it, or false if there is none.
func (h *Holder) Account(sha string) (config.Account, config.Document, bool) {
	r := h.current.Load()
	if r == nil {
		return config.Account{}, config.Document{}, false
	}
	a, ok := r.accounts[sha]
	return a, r.Document, ok
}

// Number returns the number of the revision in force, or 0 if there is none yet.
func (h *Holder) Number() int64 {
	r, _ := h.Current()
	return r.Number
}

// Offer puts a revision in force if it is strictly newer than the current one, and reports whether it did.
func (h *Holder) Offer(r config.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && !r.Newer(old.Revision) {
		return false
	}
	h.current.Store(newIndexedRevision(r))
	if now := h.current.Load(); old != nil && now.Number <= old.Number {
		panic(fmt.Sprintf("invariant broken: revision %d replaced %d", now.Number, old.Number))
	}
	h.recordDelta(old, r)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// recordDelta retains the delta from old to r. If it cannot be expressed as a delta, all retained deltas are discarded.
// The caller holds mu.
func (h *Holder) recordDelta(old *indexedRevision, r config.Revision) {
	if old == nil {
		return
	}
	d, ok := config.NewDelta(old.Revision, r)
	if !ok {
		h.deltas = nil
		return
	}
	h.deltas = append(h.deltas, d)
	if len(h.deltas) > maxDeltas {
		h.deltas = h.deltas[1:]
	}
}

// OfferDeltas applies consecutive deltas to the revision in force and puts the result in force if it is newer. It reports whether it did.
// Deltas up to the current revision are skipped. If a delta does not apply, the revision in force is unchanged.
func (h *Holder) OfferDeltas(deltas []config.Delta) bool {
	r, ok := h.Current()
	if !ok || len(deltas) == 0 {
		return false
	}
	for _, d := range deltas {
		if d.Number <= r.Number {
			continue
		}
		next, err := r.WithDelta(d)
		if err != nil {
			return false
		}
		r = next
	}
	return h.Offer(r)
}

// Deltas returns the deltas from a revision to the one in force, or false if not all of them are retained.
func (h *Holder) Deltas(from int64) ([]config.Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.deltas, func(d config.Delta) bool { return d.Base == from })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(h.deltas[i:]), true
}

// Changed returns a channel that is closed when the next revision comes into force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
