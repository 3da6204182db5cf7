package loads

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// reportTTL is the age up to which a report is cached and sent to peers.
const reportTTL = 10 * time.Second

// Report is the load of an upstream at a point in time.
type Report struct {
	Upstream string `json:"upstream"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	Slots    int    `json:"slots"`
	// At is when the upstream had this load, in milliseconds since 1970.
	At int64 `json:"at"`
}

// Load returns the load without the upstream and the time.
func (r Report) Load() stage.Load {
	return stage.Load{
		Busy:   r.Busy,
		Queued: r.Queued,
		Slots:  r.Slots,
	}
}

// CompactReport is a report as encoded in messages. It has the hash of the upstream's name, and the age instead of the time.
type CompactReport struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	Busy     int
	Queued   int
	Slots    int
	AgeMS    int64
}

// Time returns At as a time.Time.
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

// Put stores a report if it is newer than the cached one of the same upstream, and reports whether it did.
func (c *Cache) Put(r Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.reports[r.Upstream]; ok && old.At >= r.At {
		return false
	}
	c.reports[r.Upstream] = r
	return true
}

// Newest returns at most limit unexpired reports, newest first, and removes expired ones.
func (c *Cache) Newest(now time.Time, limit int) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Report, 0, len(c.reports))
	for name, r := range c.reports {
		if now.Sub(r.Time()) >= reportTTL {
			delete(c.reports, name)
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
