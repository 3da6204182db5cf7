package fanout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// maxDeleted is how many deleted rows a record remembers. Hosts that have missed older deletions read the whole table.
const maxDeleted = 4096

// Record is what a host knows of a table, in a form in which it can tell others what changed. The zero value knows nothing. It is not safe for concurrent use.
type Record struct {
	rows map[string]recorded
	// position is the point in the history up to which the record is complete. Changes after the version base can be told apart.
	position follow.Position
	base     int64
	deleted  int
	// confirmedAt is when the call began by which the store confirmed the position, since boot.
	confirmedAt time.Duration
	confirmed   bool
}

// recorded is a row, with a version by which the change to it was known.
type recorded struct {
	row     follow.Row
	version int64
}

// Position returns the point in the history up to which the record is complete, or an unknown one.
func (r *Record) Position() follow.Position {
	return r.position
}

// ConfirmedAt returns when the call began by which the store confirmed the record, since boot, or false if it was not confirmed.
func (r *Record) ConfirmedAt() (time.Duration, bool) {
	return r.confirmedAt, r.confirmed
}

// Replace replaces the record with the whole table at the position, confirmed at a time since boot.
func (r *Record) Replace(rows []follow.Row, position follow.Position, confirmedAt time.Duration) {
	r.rows = make(map[string]recorded, len(rows))
	r.deleted = 0
	r.base = position.Version
	if r.position.Era != position.Era {
		r.confirmed = false
	}
	r.position = position
	r.put(rows, position.Version)
	r.confirm(confirmedAt)
}

// Apply adds changed rows, which bring the record to the position, confirmed at a time since boot. What was known up to an earlier position changes nothing: then only the confirmation counts.
func (r *Record) Apply(rows []follow.Row, position follow.Position, confirmedAt time.Duration) {
	if position.Era != r.position.Era {
		return
	}
	if r.position.Version < position.Version {
		r.position.Version = position.Version
	}
	r.put(rows, r.position.Version)
	r.confirm(confirmedAt)
}

// confirm records a confirmation of the record or of an earlier state of it in the same era.
func (r *Record) confirm(at time.Duration) {
	if !r.confirmed || at > r.confirmedAt {
		r.confirmedAt = at
	}
	r.confirmed = true
}

func (r *Record) put(rows []follow.Row, version int64) {
	for _, row := range rows {
		if r.rows[row.Key].row.Deleted {
			r.deleted--
		}
		if row.Deleted {
			r.deleted++
		}
		r.rows[row.Key] = recorded{
			row:     row,
			version: version,
		}
	}
	if r.deleted > maxDeleted {
		r.forgetDeleted()
	}
}

// forgetDeleted forgets the older half of the deleted rows. Changes before that can no longer be told.
func (r *Record) forgetDeleted() {
	var versions []int64
	for _, known := range r.rows {
		if known.row.Deleted {
			versions = append(versions, known.version)
		}
	}
	slices.Sort(versions)
	r.base = max(r.base, versions[len(versions)/2])
	for key, known := range r.rows {
		if known.row.Deleted && known.version <= r.base {
			delete(r.rows, key)
			r.deleted--
		}
	}
}

// All returns the rows of the whole table, sorted by key.
func (r *Record) All() []follow.Row {
	return r.collect(func(known recorded) bool { return !known.row.Deleted })
}

// Since returns the rows that changed after the position, sorted by key, or false if the record cannot tell. A position after that of the record has no changes.
func (r *Record) Since(after follow.Position) ([]follow.Row, bool) {
	if after.Era != r.position.Era || after.Version < r.base {
		return nil, false
	}
	return r.collect(func(known recorded) bool { return known.version > after.Version }), true
}

func (r *Record) collect(selected func(recorded) bool) []follow.Row {
	var out []follow.Row
	for _, known := range r.rows {
		if selected(known) {
			out = append(out, known.row)
		}
	}
	slices.SortFunc(out, func(a, b follow.Row) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
