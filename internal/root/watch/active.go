package watch

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cornelwing/cornelwing/pkg/config"
)

// Active stores the configuration revision in force on this host. It is safe for concurrent use.
type Active struct {
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
	indexed := &indexedRevision{
		Revision: r,
		accounts: make(map[string]config.Account, len(r.Document.Accounts)),
	}
	for _, account := range r.Document.Accounts {
		indexed.accounts[account.KeySHA256] = account
	}
	return indexed
}

// NewActive returns an Active without a revision.
func NewActive() *Active {
	return &Active{
		changed: make(chan struct{}),
	}
}

// Current returns the revision in force, or false if there is none yet.
func (a *Active) Current() (config.Revision, bool) {
	r := a.current.Load()
	if r == nil {
		return config.Revision{}, false
	}
	return r.Revision, true
}

// Account returns the account whose token has the given hexadecimal SHA-256, and the document that defines it, or false if there is none.
func (a *Active) Account(sha string) (config.Account, config.Document, bool) {
	r := a.current.Load()
	if r == nil {
		return config.Account{}, config.Document{}, false
	}
	account, ok := r.accounts[sha]
	return account, r.Document, ok
}

// Number returns the number of the revision in force, or 0 if there is none yet.
func (a *Active) Number() int64 {
	r, _ := a.Current()
	return r.Number
}

// PutIfNewer puts a revision in force if it is strictly newer than the current one, and reports whether it did.
func (a *Active) PutIfNewer(r config.Revision) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.current.Load()
	if old != nil && !r.Newer(old.Revision) {
		return false
	}
	a.current.Store(newIndexedRevision(r))
	if now := a.current.Load(); old != nil && now.Number <= old.Number {
		panic(fmt.Sprintf("invariant broken: revision %d replaced %d", now.Number, old.Number))
	}
	a.recordDelta(old, r)
	close(a.changed)
	a.changed = make(chan struct{})
	return true
}

// recordDelta retains the delta from old to r. If it cannot be expressed as a delta, all retained deltas are discarded.
// The caller holds mu.
func (a *Active) recordDelta(old *indexedRevision, r config.Revision) {
	if old == nil {
		return
	}
	d, ok := config.NewDelta(old.Revision, r)
	if !ok {
		a.deltas = nil
		return
	}
	a.deltas = append(a.deltas, d)
	if len(a.deltas) > maxDeltas {
		a.deltas = a.deltas[1:]
	}
}

// PutDeltasIfNewer applies consecutive deltas to the revision in force and puts the result in force if it is newer. It reports whether it did.
// Deltas up to the current revision are skipped. If a delta does not apply, the revision in force is unchanged.
func (a *Active) PutDeltasIfNewer(deltas []config.Delta) bool {
	r, ok := a.Current()
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
	return a.PutIfNewer(r)
}

// Deltas returns the deltas from a revision to the one in force, or false if not all of them are retained.
func (a *Active) Deltas(from int64) ([]config.Delta, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.deltas, func(d config.Delta) bool { return d.Base == from })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(a.deltas[i:]), true
}

// Changed returns a channel that is closed when the next revision comes into force.
func (a *Active) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}
