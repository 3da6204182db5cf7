package rows

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store, identified by its table, part and key. In the change feed, Deleted marks a removal.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// sameKey reports whether both rows have the same table, part and key.
func (r Row) sameKey(o Row) bool {
	return r.Table == o.Table && r.Part == o.Part && r.Key == o.Key
}

// Tx is a transaction. Its writes take effect only if the current version of each row in Expected equals the expected version; otherwise no write takes effect.
type Tx struct {
	Expected []Row `json:"expected_rev"`
	Puts     []Row `json:"puts"`
	Remove   []Row `json:"remove"`
}

// Store holds the rows and the history of their changes.
type Store struct {
	mu      sync.Mutex
	rows    []Row
	history []Row
	ver     int64
	// era is the text of the header that states how often the store was restored. Without text there is no header.
	era string
	// compactedVer is the newest version whose changes were dropped from the history.
	compactedVer int64
	// changed is closed and replaced at every change.
	changed chan struct{}
	start   time.Time
	// calls counts the calls by path, and sentBytes the bytes of the bodies of all responses.
	calls     map[string]int
	sentBytes int
	// writes counts the rows that were written or removed, by table.
	writes map[string]int
	// reads counts the pages that were sent, by table.
	reads map[string]int
}

// Copy is a copy of the rows of a store.
type Copy struct {
	rows []Row
	ver  int64
}

// Copy returns a copy from which the store can be restored.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		rows: slices.Clone(s.rows),
		ver:  s.ver,
	}
}

// Restore replaces the rows with those of the copy and loses everything written since. Versions given out since are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreLocked(c)
}

// RestoreInEra is Restore and SetEra at the same moment, so that no call sees one without the other.
func (s *Store) RestoreInEra(c Copy, era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.restoreLocked(c)
}

// restoreLocked is Restore for a caller that holds the lock.
func (s *Store) restoreLocked(c Copy) {
	s.rows = slices.Clone(c.rows)
	s.ver = c.ver
	s.history = slices.DeleteFunc(s.history, func(r Row) bool { return r.Ver > c.ver })
	s.compactedVer = min(s.compactedVer, c.ver)
	s.notifyLocked()
}

// SetEra sets the text of the Store-Era header in all responses. An empty text removes the header.
func (s *Store) SetEra(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = text
}

// Row returns the value of a row of the partition with the empty name, or false if the row does not exist.
func (s *Store) Row(table, key string) ([]byte, bool) {
	return s.RowIn(table, "", key)
}

// RowIn returns the value of a row of a partition, or false if the row does not exist.
func (s *Store) RowIn(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.rows, Row{Table: table, Part: part, Key: key}.sameKey)
	if i < 0 {
		return nil, false
	}
	return s.rows[i].Value, true
}

// New returns an empty store.
func New() *Store {
	return &Store{
		changed: make(chan struct{}),
		start:   time.Now(),
		calls:   map[string]int{},
		writes:  map[string]int{},
		reads:   map[string]int{},
	}
}

// Calls returns the number of calls that all listeners together have received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.calls {
		n += c
	}
	return n
}

// SentBytes returns the number of bytes in the bodies of all responses that all listeners together have sent.
func (s *Store) SentBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentBytes
}

// CallsTo returns the number of calls to a path that all listeners together have received.
func (s *Store) CallsTo(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// WritesTo returns how many rows of a table were written or removed.
func (s *Store) WritesTo(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[table]
}

// ReadsOf returns how many pages of a table were sent to clients that still waited for them.
func (s *Store) ReadsOf(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table]
}

// countRead counts a page of a table that was sent.
func (s *Store) countRead(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[table]++
}

// Put writes a row of the partition with the empty name unconditionally.
func (s *Store) Put(table, key string, value []byte) {
	s.PutIn(table, "", key, value)
}

// PutIn writes a row of a partition unconditionally.
func (s *Store) PutIn(table, part, key string, value []byte) {
	s.Run(Tx{
		Puts: []Row{{
			Table: table,
			Part:  part,
			Key:   key,
			Value: value,
		}},
	})
}

// Remove deletes a row unconditionally.
func (s *Store) Remove(table, key string) {
	s.Run(Tx{
		Remove: []Row{{
			Table: table,
			Key:   key,
		}},
	})
}

// Clear removes all rows of a table.
func (s *Store) Clear(table string) {
	var tx Tx
	s.mu.Lock()
	for _, r := range s.rows {
		if r.Table == table {
			tx.Remove = append(tx.Remove, r)
		}
	}
	s.mu.Unlock()
	s.Run(tx)
}

// Compact drops the history, so that changes since an older version can't be read any more.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVer = s.ver
	s.history = nil
	s.notifyLocked()
}

// Run applies a transaction and returns nil. If rows don't have their expected versions, it applies nothing and returns the current state of these rows. The state of an absent row is the zero Row.
func (s *Store) Run(tx Tx) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []Row
	for _, e := range tx.Expected {
		var current Row
		if i := slices.IndexFunc(s.rows, e.sameKey); i >= 0 {
			current = s.rows[i]
		}
		if current.Ver != e.Ver {
			failed = append(failed, current)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.ver++
	for _, r := range tx.Puts {
		s.writes[r.Table]++
		r.Ver = s.ver
		s.deleteLocked(r)
		s.rows = append(s.rows, r)
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		s.writes[r.Table]++
		s.deleteLocked(r)
		r.Ver = s.ver
		r.Value = nil
		r.Deleted = true
		s.history = append(s.history, r)
	}
	s.notifyLocked()
	return nil
}

// deleteLocked deletes the row with the key of r. The caller holds mu.
func (s *Store) deleteLocked(r Row) {
	s.rows = slices.DeleteFunc(s.rows, r.sameKey)
}

// notifyLocked wakes all goroutines that wait for a change. The caller holds mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// readPage returns at most limit rows of a table and part in key order. The keys are equal to or greater than from. readPage also returns whether more rows follow, and the version of the store.
func (s *Store) readPage(table, part, from string, limit int) (out []Row, more bool, ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if len(out) > limit {
		return out[:limit], true, s.ver
	}
	return out, false, s.ver
}

// changesSince returns the changes of a table after a version, the store's version, and a channel that is closed at the next change. It returns false if the history no longer reaches back to that version.
func (s *Store) changesSince(table string, after int64) (out []Row, ver int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedVer || after > s.ver {
		return nil, s.ver, s.changed, false
	}
	for _, r := range s.history {
		if r.Table == table && r.Ver > after {
			out = append(out, r)
		}
	}
	return out, s.ver, s.changed, true
}
