package rows

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r Row) is(o Row) bool {
	return r.Table == o.Table && r.Part == o.Part && r.Key == o.Key
}

// Tx is a transaction: all writes take effect if every row has its expected version, and none otherwise.
type Tx struct {
	Expected []Row `json:"expected_rev"`
	Puts     []Row `json:"puts"`
	Remove   []Row `json:"remove"`
}

// Store keeps the rows and the history of their changes.
type Store struct {
	mu      sync.Mutex
	rows    []Row
	log     []Row
	ver     int64
	floor   int64
	changed chan struct{}
	start   time.Time
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		changed: make(chan struct{}),
		start:   time.Now(),
	}
}

// Calls returns how many calls were made over all listeners.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row without a condition.
func (s *Store) Put(table, key string, value []byte) {
	s.Run(Tx{
		Puts: []Row{{
			Table: table,
			Key:   key,
			Value: value,
		}},
	})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.Run(Tx{
		Remove: []Row{{
			Table: table,
			Key:   key,
		}},
	})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.ver
	s.log = nil
	s.wake()
}

// Run runs a transaction, and returns the rows that did not have their expected versions.
func (s *Store) Run(tx Tx) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []Row
	for _, e := range tx.Expected {
		var now Row
		if i := slices.IndexFunc(s.rows, e.is); i >= 0 {
			now = s.rows[i]
		}
		if now.Ver != e.Ver {
			failed = append(failed, now)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.ver++
	for _, r := range tx.Puts {
		r.Ver = s.ver
		s.drop(r)
		s.rows = append(s.rows, r)
		s.log = append(s.log, r)
	}
	for _, r := range tx.Remove {
		s.drop(r)
		r.Ver = s.ver
		r.Value = nil
		r.Deleted = true
		s.log = append(s.log, r)
	}
	s.wake()
	return nil
}

func (s *Store) drop(r Row) {
	s.rows = slices.DeleteFunc(s.rows, r.is)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns at most limit rows of a table and part in order of their keys, and whether there are more.
func (s *Store) read(table, part, from string, limit int) (out []Row, more bool, ver int64) {
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

// since returns the changes of a table after a version, the newest version and a channel that closes with the next change; false says that the history is gone.
func (s *Store) since(table string, after int64) (out []Row, ver int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.floor {
		return nil, s.ver, s.changed, false
	}
	for _, r := range s.log {
		if r.Table == table && r.Ver > after {
			out = append(out, r)
		}
	}
	return out, s.ver, s.changed, true
}
