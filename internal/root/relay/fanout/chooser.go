package fanout

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// silentPause, staleAnswerPause, notFollowingPause and otherBuildPause are how long a host is not asked again after it did not answer, could not tell news, reads the table from another host itself, or does not know the question. passedOverPause is how long it is not if it did not answer several times in a row.
	silentPause       = time.Second
	passedOverPause   = 5 * time.Second
	staleAnswerPause  = 250 * time.Millisecond
	notFollowingPause = 200 * time.Millisecond
	otherBuildPause   = 30 * time.Second
	// maxSilences is how many questions in a row a host may leave unanswered before the next one in rank takes its place.
	maxSilences = 2
	// maxFailures is how many hosts may fail in a row before the store is read.
	maxFailures = 2
	// fallbackRate is the rate at which all hosts together turn to the store, in calls per second, and maxFallbackPause the longest pause before that, so that a lease does not expire meanwhile.
	fallbackRate     = 250
	maxFallbackPause = 400 * time.Millisecond
	// probeRate is the rate at which all hosts together try the store while those that follow it say that it fails, in calls per second, and minProbePause the shortest pause of a host between two of them.
	probeRate     = 10
	minProbePause = time.Second
	// fallbackTerm is how long a host reads the store at the least after it turned to it. A random part of the same time is added.
	fallbackTerm = 2 * time.Second
)

// Action is what a host does to read a table: AskHost, AskStore or GiveUp.
type Action interface {
	action()
}

// AskHost reads the table from another host.
type AskHost struct {
	Name string
}

// AskStore reads the table from the store after a pause. A probe does not wait for changes.
type AskStore struct {
	After time.Duration
	Probe bool
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
)

// pause returns how long a host is not asked after the failure.
func (f Failure) pause() time.Duration {
	switch f {
	case Silent:
		return silentPause
	case Stale:
		return staleAnswerPause
	case OtherBuild:
		return otherBuildPause
	default:
		return notFollowingPause
	}
}

// String returns the name of the failure.
func (f Failure) String() string {
	switch f {
	case Silent:
		return "silent"
	case Stale:
		return "stale"
	case OtherBuild:
		return "other_build"
	default:
		return "not_following"
	}
}

// View is what a host knows of the others.
type View struct {
	// Follower reports that this host is one of those that read the table from the store.
	Follower bool
	// Candidates are the names of the other hosts that do so, in the order in which this host asks them.
	Candidates []string
	// Hosts is the number of all hosts.
	Hosts int
}

// failed is the last failure of a host.
type failed struct {
	failure Failure
	until   time.Duration
	// silences counts the questions in a row that it left unanswered.
	silences int
}

// Chooser decides from where a host reads a table. All times are since boot. It is not safe for concurrent use.
type Chooser struct {
	random *rand.Rand
	// failed holds the hosts that are not asked for now, by name.
	failed map[string]failed
	// failures counts the hosts that failed since the last success or turn to the store.
	failures int
	// storeUntil is when this host stops reading the store that it has turned to, and nextProbe when it may turn to it again while those that follow it say that it fails.
	storeUntil, nextProbe time.Duration
	// turning reports that this host turns to the store by its current call.
	turning bool
	// fallbacks counts how often this host has turned to the store.
	fallbacks int
}

// NewChooser returns a chooser that draws its pauses from random.
func NewChooser(random *rand.Rand) *Chooser {
	return &Chooser{
		random: random,
		failed: map[string]failed{},
	}
}

// Next returns how to read the table now.
func (c *Chooser) Next(now time.Duration, v View) Action {
	if v.Follower || len(v.Candidates) == 0 || now < c.storeUntil {
		c.failures = 0
		return AskStore{}
	}
	if c.failures < maxFailures {
		if name, ok := c.candidate(now, v); ok {
			return AskHost{
				Name: name,
			}
		}
	}
	c.failures = 0
	return c.fallBack(now, v)
}

// candidate returns the first candidate that has not failed just now.
func (c *Chooser) candidate(now time.Duration, v View) (string, bool) {
	i := slices.IndexFunc(v.Candidates, func(name string) bool { return !c.avoids(now, name) })
	if i < 0 {
		return "", false
	}
	return v.Candidates[i], true
}

func (c *Chooser) avoids(now time.Duration, name string) bool {
	f, ok := c.failed[name]
	return ok && now < f.until
}

// fallBack returns how to read the table if no other host tells of it.
func (c *Chooser) fallBack(now time.Duration, v View) Action {
	probe := c.storeFails(now, v)
	if probe && now < c.nextProbe {
		return GiveUp{
			Until:   c.nextProbe,
			Unasked: c.unasked(now, v),
		}
	}
	c.fallbacks++
	c.turning = true
	c.nextProbe = now + c.within(max(minProbePause, perHost(v.Hosts, probeRate))) + minProbePause/2
	return AskStore{
		After: c.within(min(maxFallbackPause, perHost(v.Hosts, fallbackRate))),
		Probe: probe,
	}
}

// storeFails reports whether some candidate answers, but none has news from the store.
func (c *Chooser) storeFails(now time.Duration, v View) bool {
	return slices.ContainsFunc(v.Candidates, func(name string) bool {
		return c.avoids(now, name) && c.failed[name].failure == Stale
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

// perHost returns the time between two calls of a host if all hosts together make so many per second.
func perHost(hosts int, rate time.Duration) time.Duration {
	return time.Duration(hosts) * time.Second / rate
}

// within returns a random time up to d.
func (c *Chooser) within(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

// Answered records that a host told what it knows.
func (c *Chooser) Answered(name string) {
	delete(c.failed, name)
	c.failures = 0
}

// Failed records that a host could not tell news.
func (c *Chooser) Failed(now time.Duration, name string, f Failure) {
	next := failed{
		failure: f,
		until:   now + f.pause(),
	}
	if f == Silent {
		next.silences = c.failed[name].silences + 1
	}
	if next.silences >= maxSilences {
		next.until = now + passedOverPause
	}
	c.failed[name] = next
	c.failures++
}

// StoreAnswered records that the store answered, so that it may be tried again at any time. A host that turned to it although it is no follower goes on reading it for a while.
func (c *Chooser) StoreAnswered(now time.Duration) {
	c.nextProbe = 0
	if c.turning {
		c.storeUntil = now + fallbackTerm + c.within(fallbackTerm)
	}
	c.turning = false
}

// StoreFailed records that the store did not answer.
func (c *Chooser) StoreFailed() {
	c.storeUntil = 0
	c.turning = false
}

// PassesOver reports whether the host is not to be counted among the followers, since it did not answer or does not know the question. The next one in rank takes its place. A host for which the store fails keeps its place, as the store may fail for all.
func (c *Chooser) PassesOver(now time.Duration, name string) bool {
	f := c.failed[name]
	return c.avoids(now, name) && (f.silences >= maxSilences || f.failure == OtherBuild)
}

// Fallbacks returns how often this host has turned to the store because no other host told news.
func (c *Chooser) Fallbacks() int {
	return c.fallbacks
}
