package watch

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cornelwing/cornelwing/pkg/config"
)

// Holder holds the revision in force on this host.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[held]
	changed chan struct{}
	// deltas lead from earlier revisions to the current one, the oldest first.
	deltas []config.Delta
}

// maxDeltas is how many deltas are kept for peers that lag.
const maxDeltas = 16

// held is a revision with its accounts by the hashes of their tokens.
type held struct {
	config.Revision
	accounts map[string]config.Account
}

func hold(r config.Revision) *held {
	h := &held{
		Revision: r,
		accounts: make(map[string]config.Account, len(r.Document.Accounts)),
	}
	for _, a := range r.Document.Accounts {
		h.accounts[a.KeySHA256] = a
	}
	return h
}

// NewHolder returns a holder without a revision.
func NewHolder() *Holder {
	return &Holder{
		changed: make(chan struct{}),
	}
}

// Current returns the revision in force; false says that there is none yet.
func (h *Holder) Current() (config.Revision, bool) {
	r := h.current.Load()
	if r == nil {
		return config.Revision{}, false
	}
	return r.Revision, true
}

// Account returns the account whose token has the hexadecimal SHA-256, with the document that names it.
func (h *Holder) Account(sha string) (config.Account, config.Document, bool) {
	r := h.current.Load()
	if r == nil {
		return config.Account{}, config.Document{}, false
	}
	a, ok := r.accounts[sha]
	return a, r.Document, ok
}

// Number returns the number of the revision in force, or 0.
func (h *Holder) Number() int64 {
	r, _ := h.Current()
	return r.Number
}

// Offer puts a revision in force if it is strictly newer, and reports whether it did.
func (h *Holder) Offer(r config.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && !r.Newer(old.Revision) {
		return false
	}
	h.current.Store(hold(r))
	if now := h.current.Load(); old != nil && now.Number <= old.Number {
		panic(fmt.Sprintf("invariant broken: revision %d replaced %d", now.Number, old.Number))
	}
	h.keepDelta(old, r)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

func (h *Holder) keepDelta(old *held, r config.Revision) {
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

// OfferDeltas applies deltas one after another to the revision in force, and reports whether the last one came into force.
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

// Deltas returns what leads from a revision to the one in force; false says that only the whole document does.
func (h *Holder) Deltas(from int64) ([]config.Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.deltas, func(d config.Delta) bool { return d.Base == from })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(h.deltas[i:]), true
}

// Changed returns a channel that closes with the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
