package loads

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// keepFor is how long a report is passed on.
const keepFor = 10 * time.Second

// Report is an upstream's load with the time at which it was true.
type Report struct {
	Upstream string `json:"upstream"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	Slots    int    `json:"slots"`
	// At is in milliseconds since 1970.
	At int64 `json:"at"`
}

// Load returns the report as a load.
func (r Report) Load() stage.Load {
	return stage.Load{
		Busy:   r.Busy,
		Queued: r.Queued,
		Slots:  r.Slots,
	}
}

// Brief is a report as messages carry it: the upstream by the hash of its name, and the age in place of the time.
type Brief struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	Busy     int
	Queued   int
	Slots    int
	AgeMS    int64
}

// Time returns when the report was true.
func (r Report) Time() time.Time {
	return time.UnixMilli(r.At)
}

// Cache holds the newest report of each upstream.
type Cache struct {
	mu      sync.Mutex
	reports map[string]Report
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		reports: map[string]Report{},
	}
}

// Put takes a report if it is newer than the one held, and reports whether it was.
func (b *Cache) Put(r Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.reports[r.Upstream]; ok && old.At >= r.At {
		return false
	}
	b.reports[r.Upstream] = r
	return true
}

// Newest returns at most limit reports that still count, the newest first.
func (b *Cache) Newest(now time.Time, limit int) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Report, 0, len(b.reports))
	for name, r := range b.reports {
		if now.Sub(r.Time()) >= keepFor {
			delete(b.reports, name)
			continue
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y Report) int {
		if x.At != y.At {
			return cmp.Compare(y.At, x.At)
		}
		return cmp.Compare(x.Upstream, y.Upstream)
	})
	return out[:min(limit, len(out))]
}
