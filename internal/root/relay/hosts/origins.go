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
	// originAsked and originLocalAsked are how many hosts are asked first: one more than hold copies, because the host that began the stream holds none of them but may rank first. If none of them knows, the next originAskedLater are asked.
	originAsked      = originCopies + 1
	originLocalAsked = originLocalCopies + 1
	originAskedLater = 6
	// backupWriterRank is the key by which the hosts of a failure domain are ranked for writing to the store.
	backupWriterRank = "backup/streams"
	// maxOriginCopies is how many origins one message holds.
	maxOriginCopies = 500
	// originTimeout is the timeout of a question for an origin, and originCopyTimeout that of the message with a copy.
	originTimeout     = 250 * time.Millisecond
	originCopyTimeout = time.Second
	// originStoreTimeout is the timeout for reading an origin from the store.
	originStoreTimeout = 300 * time.Millisecond
)

// Paths of the messages about the origins of streams.
const (
	pathOriginCopy   = "/origin/copy"
	pathOriginBackup = "/origin/backup"
	pathOrigin       = "/origin"
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

// OriginBackup keeps origins in the platform's store.
type OriginBackup interface {
	// Save writes soon where a stream began, which its caller may resume for the given time.
	Save(k origin.Key, o origin.Origin, keep time.Duration)
	// Find returns where a stream began, or false if the store does not hold it.
	Find(ctx context.Context, k origin.Key) (origin.Origin, bool)
}

// Origins knows where streams began, over all hosts. Each stream's origin is kept by the host that began it and by a few others, the first in the ranking for the stream. While a pool has several versions, or had them as long ago as a stream lasts, one host of each failure domain also writes them to the store, in case all hosts are lost.
type Origins struct {
	common.Deps
	peers   *Peers
	ledger  *origin.Ledger
	history *origin.History
	backup  OriginBackup
}

// NewOrigins returns the origins that this host knows, which are shared with other hosts through peers. It must be called before peers runs.
func NewOrigins(deps common.Deps, peers *Peers, history *origin.History, backup OriginBackup) *Origins {
	o := &Origins{
		Deps:    deps.WithPart("origins"),
		peers:   peers,
		ledger:  origin.NewLedger(),
		history: history,
		backup:  backup,
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
	mux.HandleFunc("POST "+pathOriginBackup, o.handleBackup)
	mux.HandleFunc("POST "+pathOrigin, o.handleQuestion)
}

// Record remembers where a stream began, for as long as its caller may resume it, and tells a few other hosts. lifetime is the longest time of a stream of its route.
func (o *Origins) Record(k origin.Key, begun origin.Origin, keep, lifetime time.Duration) {
	now := o.Now()
	o.ledger.AddOwn(now, k, begun, keep)
	m := o.copyOf(now, origin.Entry{
		Key:    k,
		Origin: begun,
		Keep:   keep,
	})
	for _, h := range spread(o.ranked(k), o.Domain, originCopies, originLocalCopies) {
		go func() {
			if err := o.peers.postWithin(originCopyTimeout, h, pathOriginCopy, m, nil); err != nil {
				o.Log.WithError(err).WithField("host", h.Name).Info("Failed to tell a host where a stream began.")
			}
		}()
	}
	if !o.history.Settled(now, begun.Pool, lifetime) {
		o.save([]originCopy{m})
	}
}

// SaveOwn has the origins of all streams in the pool that this host began written to the store.
func (o *Origins) SaveOwn(pool string) {
	now := o.Now()
	for entries := range slices.Chunk(o.ledger.Own(now, pool), maxOriginCopies) {
		copies := make([]originCopy, 0, len(entries))
		for _, e := range entries {
			copies = append(copies, o.copyOf(now, e))
		}
		o.save(copies)
	}
}

// save has origins written to the store by the one host that does so for this failure domain, so that the calls to the store do not grow with the hosts.
func (o *Origins) save(copies []originCopy) {
	writer := o.peers.roster.firstInDomain(backupWriterRank, o.Domain)
	if writer.Name == o.Host {
		o.writeToStore(copies)
		return
	}
	go func() {
		if err := o.peers.postWithin(originCopyTimeout, writer, pathOriginBackup, copies, nil); err != nil {
			o.Log.WithError(err).WithField("host", writer.Name).Info("Failed to have origins of streams written to the store.")
		}
	}()
}

func (o *Origins) writeToStore(copies []originCopy) {
	now := o.Now()
	for _, m := range copies {
		o.backup.Save(m.Key, m.origin(now), time.Duration(m.KeepMS)*time.Millisecond)
	}
}

func (o *Origins) copyOf(now time.Time, e origin.Entry) originCopy {
	return originCopy{
		Key:    e.Key,
		Origin: e.Origin,
		AgeMS:  max(0, now.Sub(e.Origin.SentAt).Milliseconds()),
		KeepMS: max(0, e.Keep.Milliseconds()),
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

func (o *Origins) handleCopy(w http.ResponseWriter, r *http.Request) {
	var m originCopy
	if decodeBody(w, r, &m) {
		now := o.Now()
		o.ledger.Add(now, m.Key, m.origin(now), time.Duration(m.KeepMS)*time.Millisecond)
	}
}

func (o *Origins) handleBackup(w http.ResponseWriter, r *http.Request) {
	var copies []originCopy
	if decodeBody(w, r, &copies) {
		o.writeToStore(copies)
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
