package hosts

import (
	"context"
	"encoding/json"
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
	// originStoreTimeout is the timeout for reading an origin from the store, and newsTimeout that for reading what has changed there, which many lookups share.
	originStoreTimeout = 300 * time.Millisecond
	newsTimeout        = 500 * time.Millisecond
	// versionLag is how much later than others a host may learn that a pool has a second version.
	versionLag = time.Second
)

// Find returns where the stream began, according to this host, to others or to the store. If none knows, the stream began at the version that all upstreams of its pools have had for at least the lifetime of a stream, or had until just now, if the store has no news that contradict it. ok is false if there is no such version.
func (o *Origins) Find(ctx context.Context, l origin.Lookup) (begun origin.Origin, ok bool) {
	if l.Named {
		if known, found := o.ledger.Find(o.Now(), l.Key); found {
			return known, known.Known()
		}
	}
	s := &search{
		Origins: o,
		Lookup:  l,
		answers: map[string]answersOfOthers{},
	}
	if asked := s.asked(ctx, l.Scope.Pools[0]); asked.found {
		return asked.origin, asked.origin.Known()
	}
	saved, found, err := o.findInStore(ctx, l.Key)
	if found && l.Named {
		return saved, saved.Known()
	}
	if err != nil {
		o.Log.WithError(err).WithField("pool", l.Scope.Pools[0]).Info("Failed to read where a stream began.")
		return origin.Origin{}, false
	}
	if version := s.commonVersion(ctx, s.seenVersion); version != "" {
		return s.conclude(version, "only_version")
	}
	// The store may just have told this host what earlier ones knew of the pools.
	if version := s.commonVersion(ctx, s.earlierVersion); version != "" {
		return s.conclude(version, "earlier_hosts")
	}
	return s.conclude(s.commonVersion(ctx, s.previousVersion), "previous_version")
}

// search is the search for a stream that this host does not know.
type search struct {
	*Origins
	origin.Lookup
	// answers are those of other hosts, by the pool that they were asked for.
	answers map[string]answersOfOthers
	// news is what has changed in the store beyond what this host knows, and newsErr its error. Both are nil until that was read.
	news    *origin.News
	newsErr error
}

// asked returns the answers of other hosts for a pool.
func (s *search) asked(ctx context.Context, pool string) answersOfOthers {
	a, ok := s.answers[pool]
	if !ok {
		a = s.askOthers(ctx, originQuestion{
			Key:     s.Key,
			Unnamed: !s.Named,
			Pool:    pool,
		}, s.Scope.Lifetime)
		s.answers[pool] = a
	}
	return a
}

// commonVersion returns the version at which the stream began if it is the same for each pool in which it can have begun, and "" otherwise.
func (s *search) commonVersion(ctx context.Context, versionOf func(ctx context.Context, pool string) string) string {
	common := ""
	for _, pool := range s.Scope.Pools {
		if s.history.Absent(s.Now(), pool, s.Scope.Lifetime) {
			continue
		}
		version := versionOf(ctx, pool)
		if version == "" || (common != "" && version != common) {
			return ""
		}
		common = version
	}
	return common
}

// seenVersion returns the only version of the pool that a host has seen for a stream's lifetime, or "" if there is none, or if something contradicts it.
func (s *search) seenVersion(ctx context.Context, pool string) string {
	return s.uncontradicted(ctx, pool, origin.SeenVersion)
}

// earlierVersion returns the only version of the pool, according to this host, others and what earlier hosts wrote, or "" if there is none, or if something contradicts it.
func (s *search) earlierVersion(ctx context.Context, pool string) string {
	return s.uncontradicted(ctx, pool, origin.AgreedVersion)
}

// uncontradicted returns the version on which the statements agree, or "" if a stream may have begun in the pool at another one within its lifetime: a host has seen the pool change, the store holds such a stream or has news of other upstreams, or these can't be read.
func (s *search) uncontradicted(ctx context.Context, pool string, agreed func(statements []origin.Sole, atLeast time.Duration) string) string {
	others := s.asked(ctx, pool).soles
	if agreed(s.withOwn(others, pool), s.Scope.Lifetime) == "" || s.changed(ctx, pool) {
		return ""
	}
	news, err := s.newsOfStore(ctx)
	if err != nil {
		return ""
	}
	// What this host knows may have changed since the read began.
	version := agreed(s.withOwn(others, pool), s.Scope.Lifetime)
	now := s.Now()
	if !news.Allows(version, s.Scope.Pools) || s.changed(ctx, pool) || s.backup.BeganAtOther(pool, version, now.Add(-s.Scope.Lifetime), now) {
		return ""
	}
	return version
}

// newsOfStore returns what has changed in the store beyond what this host knows, which it reads once.
func (s *search) newsOfStore(ctx context.Context) (origin.News, error) {
	if s.news == nil && s.newsErr == nil {
		ctx, cancel := context.WithTimeout(ctx, newsTimeout)
		defer cancel()
		news, err := s.readNews(ctx, s.Scope.Pools)
		if err != nil {
			s.Log.WithError(err).WithField("pool", s.Scope.Pools[0]).Info("Failed to read what has changed in the store.")
		}
		s.news, s.newsErr = &news, err
	}
	return *s.news, s.newsErr
}

// changed reports whether a host has seen the pool change within a stream's lifetime, or this one has just found that an upstream has passed unseen, which others may not have read yet.
func (s *search) changed(ctx context.Context, pool string) bool {
	now := s.Now()
	since, changed := s.history.SinceChange(now, pool)
	return s.asked(ctx, pool).changed || (changed && since < s.Scope.Lifetime) || s.history.Interrupted(now)
}

// previousVersion returns the version that the pool had before others came beside it, or "" if a stream that neither the hosts that were asked nor the store know may have begun later. A host may have begun it that could tell nobody and is gone, or was not asked yet. That a stream without a name is not known tells nothing.
func (s *search) previousVersion(ctx context.Context, pool string) string {
	if version := s.earlierVersion(ctx, pool); version != "" {
		return version
	}
	asked := s.asked(ctx, pool)
	version := origin.PreviousVersion(s.withOwn(asked.soles, pool), s.Scope.Lifetime)
	if version == "" || !asked.complete || !s.Named || !s.knowsAllHosts(ctx) {
		return ""
	}
	rest := s.askRest(ctx, asked)
	soles := s.withOwn(rest.soles, pool)
	if rest.found || !rest.complete || origin.PreviousVersion(soles, s.Scope.Lifetime) != version {
		return ""
	}
	mixedSince := s.Now().Add(-origin.LongestMixed(soles))
	if s.peers.roster.goneSince(mixedSince.Add(-s.stopGrace)) {
		return ""
	}
	if s.backup.BeganAtOther(pool, version, s.Now().Add(-s.Scope.Lifetime), mixedSince.Add(-versionLag)) {
		return ""
	}
	return version
}

// knowsAllHosts reports whether the store has no news of hosts, so that all that may have begun the stream can be asked.
func (s *search) knowsAllHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	changed, err := s.newHosts(ctx)
	if err != nil {
		s.Log.WithError(err).Info("Failed to read whether there are further hosts.")
	}
	return err == nil && !changed
}

// findInStore looks for a stream in the store.
func (o *Origins) findInStore(ctx context.Context, k origin.Key) (saved origin.Origin, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout)
	defer cancel()
	return o.backup.Find(ctx, k)
}

// conclude returns the origin of a stream that nobody knows, at a version that was concluded from the versions of its pools, or false if the version is "".
func (s *search) conclude(version, basis string) (begun origin.Origin, ok bool) {
	log := s.Log.WithField("stream", s.Key).WithField("named", s.Named).WithField("pools", s.Scope.Pools).
		WithField("statements", s.statements()).WithField("read_ms_ago", s.history.Age(s.Now()).Milliseconds())
	if version == "" {
		log.Info("Nobody knows where a stream began.")
		return origin.Origin{}, false
	}
	log.WithField("software", version).WithField("basis", basis).Info("Where a stream began was concluded from the versions of its pool.")
	return origin.Origin{
		Pool:    s.Scope.Pools[0],
		Version: version,
	}, true
}

// statements returns what other hosts have stated of the pools, for the log.
func (s *search) statements() string {
	stated := map[string][]origin.Sole{}
	for pool, a := range s.answers {
		stated[pool] = a.soles
	}
	b, err := json.Marshal(stated)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// withOwn returns the statements of other hosts on a pool and that of this host. There are none if this host has not followed the upstreams, as only its own knowledge can be compared with the news.
func (s *search) withOwn(soles []origin.Sole, pool string) []origin.Sole {
	own, known := s.history.LastRead(s.Now(), pool)
	if !known {
		return nil
	}
	return append(slices.Clone(soles), own)
}

// answersOfOthers is what other hosts have answered to a question.
type answersOfOthers struct {
	question originQuestion
	lifetime time.Duration
	asked    []Host
	// found reports that a host knows the stream, whose origin is zero if it is not sure.
	found  bool
	origin origin.Origin
	soles  []origin.Sole
	// changed reports that a host has seen the pool change within a stream's lifetime.
	changed bool
	// complete reports that all that were asked have answered and know the upstreams, and that no host is down, which could not be asked.
	complete bool
}

// askOthers asks the hosts that may know a stream, and if none does, some more.
func (o *Origins) askOthers(ctx context.Context, q originQuestion, lifetime time.Duration) answersOfOthers {
	ranked := o.ranked(q.Key)
	all := o.askMore(ctx, answersOfOthers{
		question: q,
		lifetime: lifetime,
	}, spread(ranked, o.Domain, originAsked, originLocalAsked))
	if all.found {
		return all
	}
	later := all.notAsked(ranked)
	return o.askMore(ctx, all, later[:min(originAskedLater, len(later))])
}

// askRest asks all hosts that were not asked before.
func (o *Origins) askRest(ctx context.Context, before answersOfOthers) answersOfOthers {
	return o.askMore(ctx, before, before.notAsked(o.ranked(before.question.Key)))
}

// notAsked returns those of the hosts that were not asked.
func (a answersOfOthers) notAsked(hosts []Host) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return slices.Contains(a.asked, h) })
}

// askMore asks further hosts, and adds their answers to the earlier ones.
func (o *Origins) askMore(ctx context.Context, before answersOfOthers, hosts []Host) answersOfOthers {
	all := before
	all.asked = slices.Concat(before.asked, hosts)
	all.soles = slices.Clone(before.soles)
	for _, a := range o.ask(ctx, hosts, before.question) {
		all.changed = all.changed || a.changedWithin(before.lifetime)
		switch {
		case before.question.Unnamed && a.Sole != nil:
			// A host of an older build may have recorded a stream without a name under the same key.
			all.soles = append(all.soles, *a.Sole)
		case before.question.Unnamed:
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
	all.complete = len(all.soles) == len(all.asked) && !o.peers.roster.anyDown()
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
