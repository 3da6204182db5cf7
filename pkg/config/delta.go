package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Errors of deltas.
var (
	// ErrDelta reports a delta that cannot be read.
	ErrDelta = errors.New("delta is not valid")
	// ErrBase says that a delta does not lead from the revision at hand to the one that it names.
	ErrBase = errors.New("delta does not fit the revision")
)

// Delta is what changed from one revision to a later one, entity by entity, so that a change to a large document is small.
type Delta struct {
	Base     int64     `json:"base"`
	Number   int64     `json:"number"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Digest is the hexadecimal SHA-256 of the later document.
	Digest string `json:"digest"`
	// Pipelines, Pools and Accounts are new or changed, Gone those that were removed.
	Pipelines []Pipeline `json:"pipelines,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"`
	Accounts  []Account  `json:"accounts,omitempty"`
	Gone      Gone       `json:"gone,omitzero"`
	Objective Objective  `json:"objective"`
	Drained   []string   `json:"drained,omitempty"`
}

// Gone names the entities that a delta removes.
type Gone struct {
	Pipelines []string `json:"pipelines,omitempty"`
	Pools     []string `json:"pools,omitempty"`
	Accounts  []string `json:"accounts,omitempty"`
}

// UnmarshalJSON decodes a delta and checks that it leads forward.
func (d *Delta) UnmarshalJSON(b []byte) error {
	type plain Delta
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode delta: %w", err)
	}
	if p.Base <= 0 || p.Number <= p.Base || p.ChangeID == "" || p.Digest == "" {
		return fmt.Errorf("check delta from %d to %d: %w", p.Base, p.Number, ErrDelta)
	}
	*d = Delta(p)
	return nil
}

// NewDelta returns the delta between two revisions; false says that only the whole document tells the change,
// as where entities were reordered.
func NewDelta(old, next Revision) (Delta, bool) {
	digest, err := next.Document.digest()
	if err != nil || old.Number <= 0 {
		return Delta{}, false
	}
	d := Delta{
		Base:      old.Number,
		Number:    next.Number,
		ChangeID:  next.ChangeID,
		Author:    next.Author,
		At:        next.At,
		Digest:    digest,
		Objective: next.Document.Objective,
		Drained:   next.Document.Drained,
	}
	a, b := old.Document, next.Document
	d.Pipelines, d.Gone.Pipelines = changed(a.Pipelines, b.Pipelines, func(p Pipeline) string { return p.Name })
	d.Pools, d.Gone.Pools = changed(a.Pools, b.Pools, func(p Pool) string { return p.Name })
	d.Accounts, d.Gone.Accounts = changed(a.Accounts, b.Accounts, func(x Account) string { return x.Name })
	_, err = old.WithDelta(d)
	return d, err == nil
}

// WithDelta returns the later revision, or ErrBase where the delta does not fit.
func (r Revision) WithDelta(d Delta) (Revision, error) {
	if r.Number != d.Base {
		return Revision{}, fmt.Errorf("delta from %d on revision %d: %w", d.Base, r.Number, ErrBase)
	}
	doc := r.Document
	doc.Pipelines = merged(doc.Pipelines, d.Pipelines, d.Gone.Pipelines, func(p Pipeline) string { return p.Name })
	doc.Pools = merged(doc.Pools, d.Pools, d.Gone.Pools, func(p Pool) string { return p.Name })
	doc.Accounts = merged(doc.Accounts, d.Accounts, d.Gone.Accounts, func(a Account) string { return a.Name })
	doc.Objective = d.Objective
	doc.Drained = d.Drained
	digest, err := doc.digest()
	if err != nil {
		return Revision{}, fmt.Errorf("check delta: %w", err)
	}
	if digest != d.Digest {
		return Revision{}, fmt.Errorf("delta from %d to %d gives another document: %w", d.Base, d.Number, ErrBase)
	}
	return Revision{
		Number:   d.Number,
		ChangeID: d.ChangeID,
		Author:   d.Author,
		At:       d.At,
		Document: doc,
	}, nil
}

func (d Document) digest() (string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return "", fmt.Errorf("encode document: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// changed returns the entities that are new or other than before, and the names of those that are gone.
func changed[T any](before, after []T, name func(T) string) (changes []T, gone []string) {
	old := make(map[string]T, len(before))
	for _, x := range before {
		old[name(x)] = x
	}
	for _, x := range after {
		was, ok := old[name(x)]
		if !ok || !reflect.DeepEqual(was, x) {
			changes = append(changes, x)
		}
		delete(old, name(x))
	}
	for n := range old {
		gone = append(gone, n)
	}
	slices.Sort(gone)
	return changes, gone
}

// merged returns the entities with the changes in their places, new ones at the end, and without those that are gone.
func merged[T any](before, changes []T, gone []string, name func(T) string) []T {
	if len(changes) == 0 && len(gone) == 0 {
		return before
	}
	next := make(map[string]T, len(changes))
	for _, x := range changes {
		next[name(x)] = x
	}
	out := make([]T, 0, len(before)+len(changes))
	for _, x := range before {
		if slices.Contains(gone, name(x)) {
			continue
		}
		if y, ok := next[name(x)]; ok {
			x = y
			delete(next, name(x))
		}
		out = append(out, x)
	}
	for _, x := range changes {
		if _, ok := next[name(x)]; ok {
			out = append(out, x)
		}
	}
	return out
}
