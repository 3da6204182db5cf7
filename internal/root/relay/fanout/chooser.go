package fanout

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// silentPause, notFollowingPause and otherBuildPause are how long a host is not asked again after it did not answer, reads the table from another host itself, or does not know the question. passedOverPause is how long it is not if it did not answer several times in a row.
	silentPause       = time.Second
	passedOverPause   = 5 * time.Second
	notFollowingPause = 200 * time.Millisecond
	otherBuildPause   = 30 * time.Second
	// readingPause is how long a host is asked only after others that begins to read many rows from the store.
	readingPause = time.Second
	// minStalePause is the shortest time in which a host is not asked again after it could not tell news, and staleRate the rate at which all hosts together ask it while that lasts, in questions per second.
	minStalePause = time.Second
	staleRate     = 100
	// maxSilences is how many questions in a row a host may leave unanswered before the next one in rank takes its place.
	maxSilences = 2
	// maxFailures is how many hosts may fail in a row before the store is read.
	maxFailures = 2
	// maxHeard is how many random hosts are asked what they have heard, between two pauses, and maxDraws how often one is drawn until it is one that has not failed just now.
	maxHeard = 4
	maxDraws = 8
	// fallbackRate is the rate at which all hosts together turn to the store, in calls per second, and maxFallbackPause the longest pause before that, so that a lease does not expire meanwhile.
	fallbackRate     = 250
	maxFallbackPause = 400 * time.Millisecond
	// probeRate is the rate at which all hosts together try the store while those that follow it say that it fails, in calls per second, and minProbePause the shortest pause of a host between two of them.
	probeRate     = 15
	minProbePause = time.Second
	// hedgePause is the mean time between two questions while what this host knows is late.
	hedgePause = 150 * time.Millisecond
	// minTurnPause is the longest pause before the store is asked if what is known is late already, so that hosts do not ask at the same moment.
	minTurnPause = 100 * time.Millisecond
	// newsGrace is how long after rows from another host the store is not asked for their age.
	newsGrace = 500 * time.Millisecond
	// fallbackTerm is how long a host reads the store at the least after it turned to it. A random part of the same time is added.
	fallbackTerm = 2 * time.Second
)

// Action is what a host does to read a table: AskHost, AskStore or GiveUp.
type Action interface {
	action()
}

// AskHost reads the table from another host: from what the store told that host or, if Heard is set, from whatever it knows. If Brief is set it waits for changes for a short time only, as another host may know them sooner.
type AskHost struct {
	Name  string
	Heard bool
	Brief bool
}

// AskStore reads the table from the store after a pause. A probe does not wait for changes.
type AskStore struct {
	After time.Duration
	Probe bool
	// Due is set if the store is asked because what is known is about to become too old.
	Due bool
}

// GiveUp does not read the table for now: the hosts that follow it say that the store fails, and this host has tried it itself not long ago.
type GiveUp struct {
	// Until is when this host may try the store again, since boot.
	Until time.Duration
	// Unasked is the number of candidates that have not failed just now.
	Unasked int
}

func (AskHost) action()  {}
func (AskStore) action() {}
func (GiveUp) action()   {}

// Failure is why a host could not tell news.
type Failure int

// The failures of a host that was asked.
const (
	// Silent hosts did not answer, or not in time.
	Silent Failure = iota
	// NotFollowing hosts read the table from another host themselves.
	NotFollowing
	// Stale hosts answer, but the store has not confirmed what they know for too long, or fails for them.
	Stale
	// OtherBuild hosts do not know the question.
	OtherBuild
	// Reading hosts do not fail: they are reading many rows from the store.
	Reading
)

// String returns the name of the failure.
func (f Failure) String() string {
	switch f {
	case Silent:
		return "silent"
	case Stale:
		return "stale"
	case OtherBuild:
		return "other_build"
	case Reading:
		return "reading"
	default:
		return "not_following"
	}
}

// View is what a host knows of the others.
type View struct {
	// Follower reports that this host is one of those that read the table from the store.
	Follower bool
	// Candidates are the names of the other hosts that do so, in the order in which this host asks them, and Others those of all other hosts that are up.
	Candidates, Others []string
	// Hosts is the number of all hosts.
	Hosts int
	// ConfirmedAt is when the store confirmed what this host knows, since boot, if Confirmed is set.
	ConfirmedAt time.Duration
	Confirmed   bool
	// Calling reports that a call to the store is on its way, and Arriving that an answer of another host has begun to arrive.
	Calling, Arriving bool
}

// HasHearers reports whether some host reads the table from others.
func (v View) HasHearers() bool {
	return len(v.Others) > len(v.Candidates)
}

// failed is the last failure of a host.
type failed struct {
	failure Failure
	// at is when it failed, or 0 if some host has answered since, and until is how long it is not asked.
	at, until time.Duration
	// silences counts the questions in a row that it left unanswered.
	silences int
}

// Chooser decides from where a host reads a table. All times are since boot. It is not safe for concurrent use.
type Chooser struct {
	random *rand.Rand
	limits Limits
	// failed holds the hosts that are not asked for now, by name.
	failed map[string]failed
	// failures counts the hosts that failed since the last success or turn to the store, and silences those of them that did not answer.
	failures, silences int
	// heard counts the hosts that were asked what they have heard since this host last gave up or turned to the store.
	heard int
	// hosts is the number of all hosts when this host last chose.
	hosts int
	// storeUntil is when this host stops reading the store that it has turned to, and nextProbe when it may turn to it again while those that follow it say that it fails.
	storeUntil, nextProbe time.Duration
	// turning reports that this host turns to the store by its current call, and storeFailed that its last one failed and no follower has answered since.
	turning, storeFailed bool
	// fallbacks counts how often this host has turned to the store.
	fallbacks int
	// pending holds the hosts whose answer is still awaited, by name.
	pending map[string]bool
	// triedAt is when this host last turned to the store, or 0.
	triedAt time.Duration
	// slowUntil is until when the store is not asked for the age of what is known, as it took long to answer.
	slowUntil time.Duration
	// newsAt is when another host last told rows.
	newsAt time.Duration
	// earlier is by how much this host asks the store before the time by which it must, if what it knows was confirmed at earlierFor.
	earlier, earlierFor time.Duration
}

// NewChooser returns a chooser that draws its pauses from random and keeps to the limits.
func NewChooser(random *rand.Rand, limits Limits) *Chooser {
	return &Chooser{
		random:  random,
		limits:  limits,
		failed:  map[string]failed{},
		pending: map[string]bool{},
	}
}

// Next returns how to read the table now.
func (c *Chooser) Next(now time.Duration, v View) Action {
	c.hosts = v.Hosts
	if v.Follower || len(v.Candidates) == 0 || now < c.storeUntil {
		c.startRound()
		return AskStore{}
	}
	if c.isDue(now, v) {
		return c.turn(now)
	}
	if !c.triedEnough(now, v) {
		reading, reads := c.reading(now, v)
		name, ok := c.candidate(now, v)
		if !ok {
			name = reading
		}
		if ok || reads {
			return AskHost{
				Name:  name,
				Brief: reads,
			}
		}
	}
	return c.fallBack(now, v)
}

// startRound forgets what was asked, as some source has answered, or a pause follows.
func (c *Chooser) startRound() {
	c.failures = 0
	c.silences = 0
	c.heard = 0
}

// triedEnough reports whether so many hosts have failed in a row that this host turns to the store. If the store fails for one of them all others are asked first, as it may fail for all, but not if that takes long.
func (c *Chooser) triedEnough(now time.Duration, v View) bool {
	switch {
	case !c.storeFails(v):
		return c.failures >= maxFailures
	case now < c.nextProbe:
		return c.silences >= maxFailures
	default:
		return c.silences > 0
	}
}

// candidate returns the candidate to ask: the first one that has not failed since the last success, else the one that failed longest ago, so that none is asked again before all others have been.
func (c *Chooser) candidate(now time.Duration, v View) (string, bool) {
	best, oldest := "", now
	for _, name := range v.Candidates {
		if at := c.failed[name].at; !c.avoids(now, name) && at < oldest {
			best, oldest = name, at
		}
	}
	return best, best != ""
}

// reading returns the candidate that has been reading many rows from the store for the longest time, or false if none does.
func (c *Chooser) reading(now time.Duration, v View) (string, bool) {
	best, oldest := "", now+readingPause
	for _, name := range v.Candidates {
		if f := c.failed[name]; f.failure == Reading && now < f.until && f.until < oldest+1 {
			best, oldest = name, f.until
		}
	}
	return best, best != ""
}

func (c *Chooser) avoids(now time.Duration, name string) bool {
	f, ok := c.failed[name]
	return c.pending[name] || (ok && now < f.until)
}

// fallBack returns how to read the table if no candidate tells of it. Once this host has failed to read the store as well, any other host is asked first, since one for which the store is back may have told it.
func (c *Chooser) fallBack(now time.Duration, v View) Action {
	probe := c.storeFails(v)
	if probe && c.storeFailed && c.heard < maxHeard {
		if name, ok := c.other(now, v); ok {
			c.heard++
			return AskHost{
				Name:  name,
				Heard: true,
			}
		}
	}
	c.startRound()
	if v.Calling || (probe && now < c.nextProbe) {
		return GiveUp{
			Until:   c.nextProbe,
			Unasked: c.unasked(now, v),
		}
	}
	c.noteTurn(now)
	pause := c.within(min(maxFallbackPause, perHost(v.Hosts, fallbackRate)))
	if v.Confirmed {
		pause = min(pause, max(minTurnPause, c.turnAt(v)-now))
	}
	c.triedAt = now + pause
	return AskStore{
		After: pause,
		Probe: probe,
	}
}

// other returns a random host that has not failed just now.
func (c *Chooser) other(now time.Duration, v View) (string, bool) {
	if len(v.Others) == 0 {
		return "", false
	}
	for range maxDraws {
		name := v.Others[c.random.IntN(len(v.Others))]
		if !c.avoids(now, name) {
			return name, true
		}
	}
	return "", false
}

// storeFails reports whether some candidate has said that the store fails for it, and no source has told anything since.
func (c *Chooser) storeFails(v View) bool {
	return slices.ContainsFunc(v.Candidates, func(name string) bool {
		f := c.failed[name]
		return f.failure == Stale && f.at > 0
	})
}

// failedNow reports whether this host's last call to the store failed, and that was not long ago or a candidate has said since that the store fails.
func (c *Chooser) failedNow(now time.Duration, v View) bool {
	since := now - c.limits.memory()
	if !c.storeFailed || c.triedAt > since {
		return c.storeFailed
	}
	return slices.ContainsFunc(v.Candidates, func(name string) bool {
		f := c.failed[name]
		return f.failure == Stale && f.at > max(0, since)
	})
}

// unasked returns the number of candidates that have not failed just now.
func (c *Chooser) unasked(now time.Duration, v View) int {
	n := 0
	for _, name := range v.Candidates {
		if !c.avoids(now, name) {
			n++
		}
	}
	return n
}

// probePause returns the longest pause between two attempts to read a store that fails according to the candidates.
func (c *Chooser) probePause() time.Duration {
	return max(minProbePause, perHost(c.hosts, probeRate))
}

// pause returns how long a host is not asked after the failure.
func (c *Chooser) pause(f Failure) time.Duration {
	switch f {
	case Silent:
		return silentPause
	case Stale:
		return min(max(minStalePause, perHost(c.hosts, staleRate)), c.limits.retryWithin())
	case OtherBuild:
		return otherBuildPause
	default:
		return notFollowingPause
	}
}

// perHost returns the time between two calls of a host if all hosts together make so many per second.
func perHost(hosts int, rate time.Duration) time.Duration {
	return time.Duration(hosts) * time.Second / rate
}

// within returns a random time up to d.
func (c *Chooser) within(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

// Asked records that the answer of a host is awaited.
func (c *Chooser) Asked(name string) {
	c.pending[name] = true
}

// Passed records that the answer of a host is no longer needed, and why it could not tell news, or nil if it did or is no longer asked.
func (c *Chooser) Passed(now time.Duration, name string, f *Failure) {
	delete(c.pending, name)
	if f != nil {
		c.remember(now, name, *f)
	}
}

// Answered records that a host told what it has read from the store.
func (c *Chooser) Answered(name string) {
	delete(c.failed, name)
	delete(c.pending, name)
	c.succeed()
}

// News records that another host told rows. If they took long to arrive it has to confirm them first.
func (c *Chooser) News(now time.Duration) {
	c.newsAt = now
}

// Heard records that a host told what it has heard. The store may still fail for all candidates.
func (c *Chooser) Heard(name string) {
	delete(c.failed, name)
	delete(c.pending, name)
	c.startRound()
}

// succeed forgets in which order hosts have failed, as the store or one that reads it has answered.
func (c *Chooser) succeed() {
	for name, f := range c.failed {
		f.at = 0
		c.failed[name] = f
	}
	c.storeFailed = false
	c.startRound()
}

// Reads records that a host answered, but is reading many rows from the store that it cannot tell yet. Others may have read them sooner, and are asked first.
func (c *Chooser) Reads(now time.Duration, name string) {
	delete(c.pending, name)
	c.succeed()
	c.failed[name] = failed{
		failure: Reading,
		until:   now + readingPause,
	}
}

// Failed records that a host could not tell news.
func (c *Chooser) Failed(now time.Duration, name string, f Failure) {
	delete(c.pending, name)
	c.remember(now, name, f)
	if f == Silent {
		c.silences++
	}
	c.failures++
}

// remember records why a host is not asked for a while.
func (c *Chooser) remember(now time.Duration, name string, f Failure) {
	next := failed{
		failure: f,
		at:      now,
		until:   now + c.pause(f),
	}
	if f == Silent {
		next.silences = c.failed[name].silences + 1
	}
	if next.silences >= maxSilences {
		next.until = now + passedOverPause
	}
	c.failed[name] = next
}

// StoreAnswered records that the store answered, so that it may be tried again at any time. A host that turned to it although it is no follower goes on reading it for a while, unless the call took long: then others have its answers as soon.
func (c *Chooser) StoreAnswered(now time.Duration) {
	c.nextProbe = 0
	c.succeed()
	switch {
	case c.turning && now-c.triedAt > c.limits.slowCall():
		c.slowUntil = now + minProbePause + c.within(c.probePause())
	case c.turning:
		c.storeUntil = now + fallbackTerm + c.within(fallbackTerm)
	}
	c.turning = false
}

// StoreFailed records that the store did not answer.
func (c *Chooser) StoreFailed() {
	c.storeUntil = 0
	c.turning = false
	c.storeFailed = true
}

// StoreLeft records that a call to the store was ended before it was answered, as another host has told the rows.
func (c *Chooser) StoreLeft() {
	c.turning = false
	c.nextProbe = min(c.nextProbe, c.triedAt+c.limits.memory())
}

// PassesOver reports whether the host is not to be counted among the followers, since it did not answer or does not know the question. The next one in rank takes its place. A host for which the store fails keeps its place, as the store may fail for all.
func (c *Chooser) PassesOver(now time.Duration, name string) bool {
	f := c.failed[name]
	return now < f.until && (f.silences >= maxSilences || f.failure == OtherBuild)
}

// Fallbacks returns how often this host has turned to the store because no other host told news.
func (c *Chooser) Fallbacks() int {
	return c.fallbacks
}
