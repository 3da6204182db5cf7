package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// leaverRetention is how long it is remembered that an incarnation without a row has left. It is longer than a restored copy of the store can be old.
	leaverRetention = time.Minute
	// maxLeavers bounds the incarnations that are remembered.
	maxLeavers = 4096
)

// leaver is an incarnation of an upstream that is leaving or has left.
type leaver struct {
	at time.Time
	// announced reports that the upstream itself said so in a response, which a row cannot revoke.
	announced bool
}

// leavers remembers which incarnations of upstreams are leaving or have left. It needs no lock of its own.
type leavers map[route.Incarnation]leaver

// add remembers an incarnation and reports whether it was not known as leaving.
func (l leavers) add(now time.Time, i route.Incarnation, announced bool) bool {
	known := l.has(now, i)
	old := l[i]
	l[i] = leaver{
		at:        now,
		announced: announced || old.announced,
	}
	return !known
}

// revoke forgets an incarnation that has written a row in which it is not leaving, unless it announced in a response that it is.
func (l leavers) revoke(i route.Incarnation) {
	if !l[i].announced {
		delete(l, i)
	}
}

// has reports whether the incarnation is leaving or has left.
func (l leavers) has(now time.Time, i route.Incarnation) bool {
	known, ok := l[i]
	return ok && !known.expired(now, i)
}

// expired reports whether an announcement no longer counts. An upstream whose start time is unknown could have started again since.
func (l leaver) expired(now time.Time, i route.Incarnation) bool {
	return i.StartedAtMS == 0 && now.Sub(l.at) > leaverRetention
}

// prune forgets the incarnations that are neither current nor recent, and the oldest ones above maxLeavers.
func (l leavers) prune(now time.Time, current func(route.Incarnation) bool) {
	for i, known := range l {
		if known.expired(now, i) || (!current(i) && now.Sub(known.at) > leaverRetention) {
			delete(l, i)
		}
	}
	if len(l) <= maxLeavers {
		return
	}
	for _, i := range l.list()[:len(l)-maxLeavers] {
		delete(l, i)
	}
}

// list returns the incarnations, oldest first.
func (l leavers) list() []route.Incarnation {
	out := make([]route.Incarnation, 0, len(l))
	for i := range l {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b route.Incarnation) int {
		return cmp.Or(l[a].at.Compare(l[b].at), cmp.Compare(a.Name, b.Name), cmp.Compare(a.StartedAtMS, b.StartedAtMS), cmp.Compare(a.Addr, b.Addr))
	})
	return out
}
