package follow

import (
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

// startRetention is how long the starts of an upstream are remembered that has no row or another one now. Origins of streams are kept no longer.
const startRetention = 10 * time.Minute

// seenStart is a start of an upstream, with a software version, as a row showed it.
type seenStart struct {
	startedAtMS int64
	version     string
	// at is when this host first saw such a row.
	at time.Time
}

// seenStarts holds the starts of upstreams, in the order in which they were seen, by name.
type seenStarts map[string][]seenStart

// add adds a start, and forgets those that were followed by another one, or whose upstream has no row, long ago.
func (s seenStarts) add(now time.Time, up route.Upstream, hasRow func(name string) bool) {
	s[up.Name] = append(s[up.Name], seenStart{
		startedAtMS: up.StartedAtMS,
		version:     up.Version,
		at:          now,
	})
	for name, list := range s {
		first := 0
		for first < len(list) && now.Sub(list[first].at) > startRetention && (first < len(list)-1 || !hasRow(name)) {
			first++
		}
		if list = slices.Delete(list, 0, first); len(list) == 0 {
			delete(s, name)
			continue
		}
		s[name] = list
	}
}

// mayHaveRun reports whether a process that answered under the name at the given time may have been a later start than the one of a row, with another software version. A start may serve for registrationTime before its row is seen, and does not once that of the next one is.
func (s seenStarts) mayHaveRun(i route.Incarnation, version string, at time.Time) bool {
	list := s[i.Name]
	for n, start := range list {
		if start.version == version || start.startedAtMS < i.StartedAtMS || !at.After(start.at.Add(-registrationTime)) {
			continue
		}
		if n == len(list)-1 || at.Before(list[n+1].at) {
			return true
		}
	}
	return false
}
