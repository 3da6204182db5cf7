package plan

import (
	"hash/fnv"
	"slices"
	"time"
)

// DigestCount is the number of digests of a plan. Each is of the routes of some host names.
const DigestCount = 64

// RouteDigest is a digest of the pools of resumable streams, and since when it is the same.
type RouteDigest struct {
	Digest uint32
	Since  time.Time
}

// digestOf returns the number of the digest that covers the routes of the host name. A path may pass to any other route of the name.
func digestOf(host string) int {
	return int(hashOf(host) % DigestCount)
}

// digests returns the digests of the plan.
func (p *Plan) digests() (out [DigestCount]uint32) {
	for host, list := range p.routes {
		for _, r := range list {
			if r.resumesStreams() {
				out[digestOf(host)] += hashOf(append([]string{r.Host, r.Prefix}, slices.Sorted(slices.Values(r.PoolNames()))...)...)
			}
		}
	}
	return out
}

func hashOf(texts ...string) uint32 {
	h := fnv.New32a()
	for _, t := range texts {
		_, _ = h.Write([]byte(t))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}

// followed is what is known of the pools of routes since before this host knew the configuration.
type followed struct {
	// first are the digests of the first plan, and since is when this host had it, or zero before.
	first [DigestCount]uint32
	since time.Time
	// earlier is what other hosts last wrote, and told reports that they did.
	earlier [DigestCount]RouteDigest
	told    bool
	// knownSince is since when the first digests have been the same, also by what other hosts wrote, or zero.
	knownSince [DigestCount]time.Time
	// now are the digests of the active plan.
	now [DigestCount]RouteDigest
}

// update records the active plan.
func (f *followed) update(now time.Time, p *Plan) {
	digests := p.digests()
	if f.since.IsZero() {
		f.first = digests
		f.since = now
		for i, d := range digests {
			f.knownSince[i] = now
			f.now[i] = RouteDigest{
				Digest: d,
				Since:  now,
			}
		}
		f.join()
		return
	}
	for i, d := range digests {
		if f.now[i].Digest != d {
			f.now[i] = RouteDigest{
				Digest: d,
				Since:  now,
			}
		}
	}
}

// join extends the time of the first digests by what other hosts wrote.
func (f *followed) join() {
	if f.since.IsZero() || !f.told {
		return
	}
	for i, e := range f.earlier {
		// What this host itself has written with a rounded time must not extend it again.
		if e.Digest != f.first[i] || !f.knownSince[i].Equal(f.since) || !e.Since.Before(f.since) {
			continue
		}
		if f.now[i].Since.Equal(f.since) {
			f.now[i].Since = e.Since
		}
		f.knownSince[i] = e.Since
	}
}

// AddEarlier adds what other hosts wrote of the routes.
func (m *Moves) AddEarlier(digests [DigestCount]RouteDigest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.followed.earlier = digests
	m.followed.told = true
	m.followed.join()
}

// Digests returns the digests of the active plan, or false if there is none.
func (m *Moves) Digests() ([DigestCount]RouteDigest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.followed.now, !m.followed.since.IsZero()
}

// KnowsSince reports whether PoolsSince returns all pools of the route since the time: this host has had the configuration since then, or the pools were the same before by what other hosts wrote. If these are of an older build, they wrote nothing, and it does.
func (m *Moves) KnowsSince(r Route, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &m.followed
	return !f.told || !f.knownSince[digestOf(r.Host)].After(since)
}
