package guard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStall is how long a request must have made no progress before it loses its memory to another.
	minStall = 100 * time.Millisecond
	// smallBytes is the size up to which a request counts as small. Large ones that are still arriving leave part of the memory to small ones and to those that have arrived.
	smallBytes = 16 << 10
)

// Holder is what one request or connection holds.
type Holder struct {
	Bytes int64
	// Large means that the request is a large one that is still arriving.
	Large bool
	// Progress is when bytes last came from the caller or were taken by it.
	Progress time.Time
	// Busy means that the caller waits for this host, so that the lack of progress is not the caller's.
	Busy bool
}

// Ask is the wish of a request for more memory.
type Ask struct {
	// Held is what the request holds already, and More what it needs besides, in bytes.
	Held int64
	More int64
	// Arriving means that the request has not arrived whole.
	Arriving bool
}

// isLarge reports whether the request may use only the part of the memory for large requests that are still arriving.
func (a Ask) isLarge() bool {
	return a.Arriving && a.Held+a.More > smallBytes
}

// Room is the memory for callers, in bytes.
type Room struct {
	Total int64
	Held  int64
	// Large bounds the large requests that are still arriving, which hold HeldLarge.
	Large     int64
	HeldLarge int64
}

// missing returns how many bytes have to be freed for the ask, and how many of them by large requests.
func (r Room) missing(a Ask) (all, large int64) {
	all = max(0, r.Held+a.More-r.Total)
	if !a.isLarge() {
		return all, 0
	}
	more := a.More
	if a.Held <= smallBytes {
		// The request becomes a large one with all that it holds.
		more += a.Held
	}
	return all, max(0, r.HeldLarge+more-r.Large)
}

// Action is the decision about an ask: Grant, Evict or Refuse.
type Action interface {
	action()
}

// Grant gives what was asked for.
type Grant struct{}

// Evict gives what was asked for after the requests of these holders have been ended.
type Evict struct {
	// Holders holds indices into the holders that the decision was about.
	Holders []int
}

// Refuse gives nothing.
type Refuse struct{}

func (Grant) action()  {}
func (Evict) action()  {}
func (Refuse) action() {}

// DecideMemory decides whether a request may hold more memory. holders are the other requests. Those that hold much for long without progress go first, as a caller that stops short of its end can wait for ever.
func DecideMemory(now time.Time, r Room, a Ask, holders []Holder) Action {
	all, large := r.missing(a)
	if all == 0 && large == 0 {
		return Grant{}
	}
	var evicted []int
	for _, i := range byStall(now, holders) {
		h := holders[i]
		if all <= 0 && !h.Large {
			continue
		}
		evicted = append(evicted, i)
		all -= h.Bytes
		if h.Large {
			large -= h.Bytes
		}
		if all <= 0 && large <= 0 {
			return Evict{
				Holders: evicted,
			}
		}
	}
	return Refuse{}
}

// DecideConn decides whether a new connection is accepted beside the others. At the limit, the one without progress for the longest time gives way to it, however short that is: a caller that behaves has its request accepted within moments.
func DecideConn(limit int, holders []Holder) Action {
	if len(holders) < limit {
		return Grant{}
	}
	longest := -1
	for i, h := range holders {
		if !h.Busy && (longest < 0 || h.Progress.Before(holders[longest].Progress)) {
			longest = i
		}
	}
	if longest < 0 {
		return Refuse{}
	}
	return Evict{
		Holders: []int{longest},
	}
}

// byStall returns the indices of the holders that may be evicted, by descending product of what they hold and the time without progress.
func byStall(now time.Time, holders []Holder) []int {
	var out []int
	for i, h := range holders {
		if h.Bytes > 0 && isStalled(now, h) {
			out = append(out, i)
		}
	}
	cost := func(i int) float64 {
		return float64(holders[i].Bytes) * now.Sub(holders[i].Progress).Seconds()
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(cost(b), cost(a)) })
	return out
}

func isStalled(now time.Time, h Holder) bool {
	return !h.Busy && now.Sub(h.Progress) >= minStall
}
