package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

const (
	// originCopies is how many of the other hosts, by rank for the stream, keep the origin of a stream. One more does so in the failure domain of the host, in case that domain is cut off.
	originCopies      = 3
	originLocalCopies = 1
	// originAsked and originLocalAsked are how many are asked first. They are more, as the host that began the stream is among those that another one asks. If none of them knows, the next originAskedLater are asked.
	originAsked      = originCopies + 1
	originLocalAsked = originLocalCopies + 1
	originAskedLater = 6
	// originTimeout is the timeout of a question for an origin, and originCopyTimeout that of the message with a copy.
	originTimeout     = 250 * time.Millisecond
	originCopyTimeout = time.Second
)

// Paths of the messages about the origins of streams.
const (
	pathOriginCopy = "/origin/copy"
	pathOrigin     = "/origin"
)

// errInvalidOriginAge is returned for an origin with a negative age, or one that is to be kept for a negative time.
var errInvalidOriginAge = errors.New("age of the origin is not valid")

// originCopy tells a host where a stream began. Times are relative, as the clocks of hosts differ.
type originCopy struct {
	Key    origin.Key    `json:"key"`
	Origin origin.Origin `json:"origin"`
	AgeMS  int64         `json:"age_ms"`
	KeepMS int64         `json:"keep_ms,omitempty"`
}

// UnmarshalJSON decodes a copy and checks its times.
func (c *originCopy) UnmarshalJSON(b []byte) error {
	type plain originCopy
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode origin: %w", err)
	}
	if p.AgeMS < 0 || p.KeepMS < 0 {
		return fmt.Errorf("check origin: %w", errInvalidOriginAge)
	}
	*c = originCopy(p)
	return nil
}

// origin returns the origin with its time by the clock of this host.
func (c originCopy) origin(now time.Time) origin.Origin {
	o := c.Origin
	o.SentAt = now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	return o
}

// originQuestion asks where a stream began, and what is known of the versions in its pool.
type originQuestion struct {
	Key  origin.Key `json:"key"`
	Pool string     `json:"pool"`
}

// originAnswer is the answer to an originQuestion.
type originAnswer struct {
	// Copy is set if the host knows where the stream began.
	Copy *originCopy `json:"copy,omitempty"`
	// Conflicting reports that the host knows the stream, but not for sure where it began.
	Conflicting bool `json:"conflicting,omitempty"`
	// Sole is set if the host knows the upstreams of the pool.
	Sole *origin.Sole `json:"sole,omitempty"`
}

// Origins knows where streams began, over all hosts. Each stream's origin is kept by the host that began it and by a few others, the first in the ranking for the stream.
type Origins struct {
	common.Deps
	peers   *Peers
	ledger  *origin.Ledger
	history *origin.History
}

// NewOrigins returns the origins that this host knows, which are shared with other hosts through peers. It must be called before peers runs.
func NewOrigins(deps common.Deps, peers *Peers, history *origin.History) *Origins {
	o := &Origins{
		Deps:    deps.WithPart("origins"),
		peers:   peers,
		ledger:  origin.NewLedger(),
		history: history,
	}
	peers.services = append(peers.services, o)
	return o
}

// Streams returns how many streams this host knows the origin of.
func (o *Origins) Streams() int {
	return o.ledger.Len()
}

func (o *Origins) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathOriginCopy, o.handleCopy)
	mux.HandleFunc("POST "+pathOrigin, o.handleQuestion)
}

// Record remembers where a stream began, for as long as its caller may resume it, and tells a few other hosts.
func (o *Origins) Record(k origin.Key, begun origin.Origin, keep time.Duration) {
	now := o.Now()
	o.ledger.Add(now, k, begun, keep)
	m := originCopy{
		Key:    k,
		Origin: begun,
		AgeMS:  max(0, now.Sub(begun.SentAt).Milliseconds()),
		KeepMS: max(0, keep.Milliseconds()),
	}
	for _, h := range spread(o.ranked(k), o.Domain, originCopies, originLocalCopies) {
		go func() {
			if err := o.peers.postWithin(originCopyTimeout, h, pathOriginCopy, m, nil); err != nil {
				o.Log.WithError(err).WithField("host", h.Name).Info("Failed to tell a host where a stream began.")
			}
		}()
	}
}

// ranked returns the other hosts that are up, ranked for the stream.
func (o *Origins) ranked(k origin.Key) []Host {
	return o.peers.roster.RankedOthers(fmt.Sprintf("stream/%x", uint64(k)), math.MaxInt)
}

// spread returns the first n of the ranked hosts, and the first local ones of the failure domain.
func spread(ranked []Host, domain string, n, local int) []Host {
	out := slices.Clone(ranked[:min(n, len(ranked))])
	for _, h := range ranked {
		if local == 0 {
			break
		}
		if h.Domain != domain {
			continue
		}
		local--
		if !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// Find returns where the stream began, according to this host or others. If none knows, the stream began at the version that all upstreams of the pool have had for at least the given lifetime of a stream. ok is false if there is no such version.
func (o *Origins) Find(ctx context.Context, k origin.Key, pool string, lifetime time.Duration) (begun origin.Origin, ok bool) {
	if known, found := o.ledger.Find(o.Now(), k); found {
		return known, known.Known()
	}
	var sole []origin.Sole
	if s, known := o.history.Sole(o.Now(), pool); known {
		sole = append(sole, s)
	}
	ranked := o.ranked(k)
	first := spread(ranked, o.Domain, originAsked, originLocalAsked)
	later := slices.DeleteFunc(ranked, func(h Host) bool { return slices.Contains(first, h) })
	later = later[:min(originAskedLater, len(later))]
	for _, round := range [][]Host{first, later} {
		answers := o.ask(ctx, round, originQuestion{
			Key:  k,
			Pool: pool,
		})
		for _, a := range answers {
			if a.Conflicting {
				return origin.Origin{}, false
			}
			if a.Copy != nil {
				return a.Copy.origin(o.Now()), true
			}
			if a.Sole != nil {
				sole = append(sole, *a.Sole)
			}
		}
	}
	version := origin.AgreedVersion(sole, lifetime)
	return origin.Origin{
		Pool:    pool,
		Version: version,
	}, version != ""
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

func (o *Origins) handleCopy(w http.ResponseWriter, r *http.Request) {
	var m originCopy
	if decodeBody(w, r, &m) {
		now := o.Now()
		o.ledger.Add(now, m.Key, m.origin(now), time.Duration(m.KeepMS)*time.Millisecond)
	}
}

func (o *Origins) handleQuestion(w http.ResponseWriter, r *http.Request) {
	var q originQuestion
	if !decodeBody(w, r, &q) {
		return
	}
	now := o.Now()
	var a originAnswer
	known, found := o.ledger.Find(now, q.Key)
	switch {
	case found && known.Known():
		a.Copy = &originCopy{
			Key:    q.Key,
			Origin: known,
			AgeMS:  max(0, now.Sub(known.SentAt).Milliseconds()),
		}
	case found:
		a.Conflicting = true
	}
	if s, ok := o.history.Sole(now, q.Pool); ok {
		a.Sole = &s
	}
	writeJSON(w, a)
}
