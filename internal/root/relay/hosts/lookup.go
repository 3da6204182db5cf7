package hosts

import (
	"context"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

const (
	// originAsked and originLocalAsked are how many hosts are asked first: one more than hold copies, because the host that began the stream holds none of them but may rank first. If none of them knows, the next originAskedLater are asked.
	originAsked      = originCopies + 1
	originLocalAsked = originLocalCopies + 1
	originAskedLater = 6
	// originTimeout is the timeout of a question for an origin.
	originTimeout = 250 * time.Millisecond
	// originStoreTimeout is the timeout for reading an origin from the store.
	originStoreTimeout = 300 * time.Millisecond
)

// Find returns where the stream began, according to this host, to others or to the store. If none knows, the stream began at the version that all upstreams of the pool have had for at least the given lifetime of a stream, or had until just now. ok is false if there is no such version.
func (o *Origins) Find(ctx context.Context, k origin.Key, pool string, lifetime time.Duration) (begun origin.Origin, ok bool) {
	if known, found := o.ledger.Find(o.Now(), k); found {
		return known, known.Known()
	}
	asked := o.askOthers(ctx, originQuestion{
		Key:  k,
		Pool: pool,
	})
	if asked.found {
		return asked.origin, asked.origin.Known()
	}
	if version := origin.AgreedVersion(o.withOwn(asked.soles, pool), lifetime); version != "" {
		return atVersion(pool, version), true
	}
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout)
	defer cancel()
	if saved, found := o.backup.Find(ctx, k); found {
		return saved, saved.Known()
	}
	// The store may just have told this host what earlier ones knew of the pool.
	soles := o.withOwn(asked.soles, pool)
	version := origin.AgreedVersion(soles, lifetime)
	if version == "" && asked.complete {
		version = origin.PreviousVersion(soles, lifetime)
	}
	return atVersion(pool, version), version != ""
}

// withOwn returns the statements of other hosts on a pool and that of this host, if it has one.
func (o *Origins) withOwn(soles []origin.Sole, pool string) []origin.Sole {
	s, known := o.history.Sole(o.Now(), pool)
	if !known {
		return soles
	}
	return append(slices.Clone(soles), s)
}

func atVersion(pool, version string) origin.Origin {
	return origin.Origin{
		Pool:    pool,
		Version: version,
	}
}

// answersOfOthers is what other hosts have answered to a question.
type answersOfOthers struct {
	// found reports that a host knows the stream, whose origin is zero if it is not sure.
	found  bool
	origin origin.Origin
	soles  []origin.Sole
	// complete reports that all that were asked have answered and know the upstreams, and that no host is down, which could not be asked.
	complete bool
}

// askOthers asks the hosts that may know a stream, and if none does, some more.
func (o *Origins) askOthers(ctx context.Context, q originQuestion) answersOfOthers {
	ranked := o.ranked(q.Key)
	first := spread(ranked, o.Domain, originAsked, originLocalAsked)
	later := slices.DeleteFunc(ranked, func(h Host) bool { return slices.Contains(first, h) })
	later = later[:min(originAskedLater, len(later))]
	var all answersOfOthers
	for _, round := range [][]Host{first, later} {
		for _, a := range o.ask(ctx, round, q) {
			switch {
			case a.Conflicting:
				all.found = true
				return all
			case a.Copy != nil:
				all.found = true
				all.origin = a.Copy.origin(o.Now())
				return all
			case a.Sole != nil:
				all.soles = append(all.soles, *a.Sole)
			}
		}
	}
	all.complete = len(all.soles) == len(first)+len(later) && !o.peers.roster.anyDown()
	return all
}

// ask asks the hosts at the same time. It returns once one of them knows the stream, or all have answered or failed.
func (o *Origins) ask(ctx context.Context, hosts []Host, q originQuestion) []originAnswer {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	answers := make(chan *originAnswer, len(hosts))
	for _, h := range hosts {
		go func() {
			var a originAnswer
			if err := o.peers.post(ctx, h, pathOrigin, q, &a); err != nil {
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	var out []originAnswer
	for range hosts {
		a := <-answers
		if a == nil {
			continue
		}
		out = append(out, *a)
		if a.Copy != nil || a.Conflicting {
			return out
		}
	}
	return out
}

