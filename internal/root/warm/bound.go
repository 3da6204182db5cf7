package warm

import (
	"math"
	"time"
)

const (
	// Granters is the number of hosts that give tokens for one upstream.
	Granters = 3
	// maxGranters is the number of hosts that may give tokens for one upstream within tokenWindow, as hosts may disagree about them: twice as many, in case that two groups have no host in common.
	maxGranters = 2 * Granters
	// permitQuorum is how many of maxGranters give a token for one request.
	permitQuorum = 2
	// PermitLife is how long after it was asked for a permit may be used.
	PermitLife = 200 * time.Millisecond
	// clockMargin is how much of tokenWindow the clock of a granting host may be ahead after it.
	clockMargin = 50 * time.Millisecond
	// tokenWindow is the time in which a granting host gives at most Bound.Tokens tokens. Requests that are sent within one second have tokens that were given within that second and PermitLife before it.
	tokenWindow = time.Second + PermitLife + clockMargin
)

// Bound says how many requests a cold upstream may get from all hosts together.
type Bound struct {
	// PerSecond is the number of requests per second that a cold upstream takes.
	PerSecond float64
	// Overage is the multiple of PerSecond that it may get in any one second, and Slack the number of requests that it may get besides.
	Overage float64
	Slack   float64
}

// Max returns the number of requests that a cold upstream may get in any one second.
func (b Bound) Max() int {
	return int(math.Floor(b.PerSecond*b.Overage + b.Slack))
}

// Tokens returns how many tokens a granting host may give within tokenWindow, so that maxGranters of them give no more than are needed for Max requests. It is 0 if Max is too small to be shared.
func (b Bound) Tokens() int {
	return max(0, b.Max()*permitQuorum/maxGranters)
}

// Rate returns the number of requests per second for which all hosts together get permits.
func (b Bound) Rate() float64 {
	return float64(b.Tokens()) / tokenWindow.Seconds()
}

// Quorum returns how many of the hosts that give tokens for an upstream must give one for a request: more than half of them.
func Quorum(granters int) int {
	return granters/2 + 1
}
