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
	// ErrInvalidDelta reports a delta with a missing field or with a number that is not above its base.
	ErrInvalidDelta = errors.New("delta is not valid")
	// ErrDeltaMismatch reports a delta for another base revision, or one that yields a document with another digest.
	ErrDeltaMismatch = errors.New("delta does not apply to the revision")
)

// Delta holds the pipelines, pools and accounts that differ between two revisions, so that a small change to a large
// document is sent as a small message.
type Delta struct {
	Base     int64     `json:"base"`
	Number   int64     `json:"number"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Digest is the hexadecimal SHA-256 of the JSON encoding of the new document.
	Digest string `json:"digest"`
	// Pipelines, Pools and Accounts are the added or changed entities; Removed names the removed entities.
	Pipelines []Pipeline `json:"pipelines,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"`
	Accounts  []Account  `json:"accounts,omitempty"`
	Removed   Removed    `json:"gone,omitzero"`
	Objective Objective  `json:"objective"`
	Drained   []string   `json:"drained,omitempty"`
}

// Removed names the entities that a delta removes.
type Removed struct {
	Pipelines []string `json:"pipelines,omitempty"`
	Pools     []string `json:"pools,omitempty"`
	Accounts  []string `json:"accounts,omitempty"`
}

// UnmarshalJSON decodes a delta and returns ErrInvalidDelta if a field is missing or the number is not above the base.
func (d *Delta) UnmarshalJSON(b []byte) error {
	type plain Delta
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode delta: %w", err)
	}
	if p.Base <= 0 || p.Number <= p.Base || p.ChangeID == "" || p.Digest == "" {
		return fmt.Errorf("check delta from %d to %d: %w", p.Base, p.Number, ErrInvalidDelta)
	}
	*d = Delta(p)
	return nil
}

// NewDelta returns the delta between two revisions. It returns false if a delta cannot express the change, for instance
// because entities were reordered; then the whole document must be sent.
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
	d.Pipelines, d.Removed.Pipelines = diffByName(a.Pipelines, b.Pipelines, func(p Pipeline) string { return p.Name })
	d.Pools, d.Removed.Pools = diffByName(a.Pools, b.Pools, func(p Pool) string { return p.Name })
	d.Accounts, d.Removed.Accounts = diffByName(a.Accounts, b.Accounts, func(x Account) string { return x.Name })
	_, err = old.WithDelta(d)
	return d, err == nil
}

// WithDelta returns the new revision, or ErrDeltaMismatch if the delta does not apply to r.
func (r Revision) WithDelta(d Delta) (Revision, error) {
	if r.Number != d.Base {
		return Revision{}, fmt.Errorf("apply delta with base %d to revision %d: %w", d.Base, r.Number, ErrDeltaMismatch)
	}
	doc := r.Document
	doc.Pipelines = applyChanges(doc.Pipelines, d.Pipelines, d.Removed.Pipelines, func(p Pipeline) string { return p.Name })
	doc.Pools = applyChanges(doc.Pools, d.Pools, d.Removed.Pools, func(p Pool) string { return p.Name })
	doc.Accounts = applyChanges(doc.Accounts, d.Accounts, d.Removed.Accounts, func(a Account) string { return a.Name })
	doc.Objective = d.Objective
	doc.Drained = d.Drained
	digest, err := doc.digest()
	if err != nil {
		return Revision{}, fmt.Errorf("check delta: %w", err)
	}
	if digest != d.Digest {
		return Revision{}, fmt.Errorf("check digest after applying delta from %d to %d: %w", d.Base, d.Number, ErrDeltaMismatch)
	}
	return Revision{
		Number:   d.Number,
		ChangeID: d.ChangeID,
		Author:   d.Author,
		At:       d.At,
		Document: doc,
	}, nil
}

// digest returns the hexadecimal SHA-256 of the JSON encoding of the document.
func (d Document) digest() (string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return "", fmt.Errorf("encode document: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// diffByName returns the added or changed entities, and the sorted names of the removed entities.
func diffByName[T any](before, after []T, name func(T) string) (changes []T, removed []string) {
	old := make(map[string]T, len(before))
	for _, x := range before {
		old[name(x)] = x
	}
	for _, x := range after {
		previous, ok := old[name(x)]
		if !ok || !reflect.DeepEqual(previous, x) {
			changes = append(changes, x)
		}
		delete(old, name(x))
	}
	for n := range old {
		removed = append(removed, n)
	}
	slices.Sort(removed)
	return changes, removed
}

// applyChanges returns the entities with changed ones replaced in place, new ones appended and removed ones left out.
func applyChanges[T any](before, changes []T, removed []string, name func(T) string) []T {
	if len(changes) == 0 && len(removed) == 0 {
		return before
	}
	next := make(map[string]T, len(changes))
	for _, x := range changes {
		next[name(x)] = x
	}
	out := make([]T, 0, len(before)+len(changes))
	for _, x := range before {
		if slices.Contains(removed, name(x)) {
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
