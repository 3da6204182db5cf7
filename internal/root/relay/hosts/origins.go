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
	// streamWriterRank is the key by which the hosts of a failure domain are ranked for writing streams to the store.
	streamWriterRank = "backup/streams"
	// maxOriginCopies is how many origins one message holds.
	maxOriginCopies = 500
	// originCopyTimeout is the timeout of the message with a copy.
	originCopyTimeout = time.Second
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
	Key origin.Key `json:"key"`
	// Unnamed asks for the versions alone.
	Unnamed bool   `json:"unnamed,omitempty"`
	Pool    string `json:"pool"`
}

// originAnswer is the answer to an originQuestion.
type originAnswer struct {
	// Copy is set if the host knows where the stream began.
	Copy *originCopy `json:"copy,omitempty"`
	// Conflicting reports that the host knows the stream, but not for sure where it began.
	Conflicting bool `json:"conflicting,omitempty"`
	// Sole is set if the host knows the upstreams of the pool.
	Sole *origin.Sole `json:"sole,omitempty"`
	// ChangedMS is how long ago the host saw the pool change to another version or to several, in milliseconds, if it did. A host of an older build does not say.
	ChangedMS *int64 `json:"changed_ms,omitempty"`
}

// changedWithin reports whether the host has seen the pool change within the given time.
func (a originAnswer) changedWithin(d time.Duration) bool {
	return a.ChangedMS != nil && *a.ChangedMS < d.Milliseconds()
}

// OriginBackup keeps origins in the platform's store.
type OriginBackup interface {
	// Save writes soon where a stream began, which its caller may resume for the given time.
	Save(k origin.Key, o origin.Origin, keep time.Duration)
	// CanWrite reports whether what is saved can be written now.
	CanWrite() bool
	// Find returns where a stream began, or false if the store holds no such stream. It returns an error if the store could not be read since the call.
	Find(ctx context.Context, k origin.Key) (origin.Origin, bool, error)
	// BeganAtOther reports whether the store held a stream, when it was last read, that was sent to the pool between the times at another version than the given one.
	BeganAtOther(pool, version string, from, to time.Time) bool
}

// Origins knows where streams began, over all hosts. Each stream's origin is kept by the host that began it and by a few others, the first in the ranking for the stream. While the pools of a route have several versions, or had them as long ago as a stream lasts, one host of each failure domain also writes them to the store, in case all hosts are lost.
type Origins struct {
	common.Deps
	peers   *Peers
	ledger  *origin.Ledger
	history *origin.History
	backup  OriginBackup
	// readNews returns what has changed in the store beyond what this host knows of upstreams and configurations, once this host has asked the upstreams of the pools for their starts, and newHosts whether something has of hosts. Their reads begin after the call.
	readNews func(ctx context.Context, pools []string) (origin.News, error)
	newHosts func(ctx context.Context) (bool, error)
	// stopGrace is how long a host that has removed itself from the table of hosts may still begin streams.
	stopGrace time.Duration
}

// OriginsOption configures Origins under construction.
type OriginsOption func(*Origins)

// WithStopGrace sets how long a host that is told to stop may go on serving.
func WithStopGrace(grace time.Duration) OriginsOption {
	return func(o *Origins) {
		o.stopGrace = grace
	}
}

// WithNews sets the functions that return what has changed in the store beyond what this host knows of upstreams and configurations, once this host has asked the upstreams of the pools for their starts, and whether something has of hosts, by reads that begin after the call. Without them what the host knows is taken to be up to date.
func WithNews(readNews func(ctx context.Context, pools []string) (origin.News, error), newHosts func(ctx context.Context) (bool, error)) OriginsOption {
	return func(o *Origins) {
		o.readNews = readNews
		o.newHosts = newHosts
	}
}

// NewOrigins returns the origins that this host knows, which are shared with other hosts through peers. It must be called before peers runs.
func NewOrigins(deps common.Deps, peers *Peers, history *origin.History, backup OriginBackup, opts ...OriginsOption) *Origins {
	o := &Origins{
		Deps:    deps.WithPart("origins"),
		peers:   peers,
		ledger:  origin.NewLedger(),
		history: history,
		backup:  backup,
		readNews: func(context.Context, []string) (origin.News, error) {
			return origin.News{}, nil
		},
		newHosts: func(context.Context) (bool, error) {
			return false, nil
		},
	}
	for _, opt := range opts {
		opt(o)
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

// Record remembers where a stream of the scope began, for as long as its caller may resume it, and tells a few other hosts.
func (o *Origins) Record(k origin.Key, begun origin.Origin, keep time.Duration, scope origin.Scope) {
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
	// What the rows say of versions does not tell where a stream of an unknown version goes on.
	if !begun.Known() || !o.history.Settled(now, scope) {
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

// save has origins written to the store by the one host that does so for this failure domain, so that the calls to the store do not grow with the hosts. If that host does not take them, this host writes them itself, as it does where no other host of the domain writes.
func (o *Origins) save(copies []originCopy) {
	writer := o.peers.roster.writer(streamWriterRank, o.Domain)
	if writer.Name == o.Host || writer.Domain != o.Domain {
		o.writeToStore(copies)
		return
	}
	go func() {
		err := o.peers.postWithin(originCopyTimeout, writer, pathOriginBackup, copies, nil)
		if err == nil {
			return
		}
		o.Log.WithError(err).WithField("host", writer.Name).Info("Another host does not write origins of streams to the store. This host does.")
		if o.backup.CanWrite() {
			o.peers.roster.setWriting(writer, false)
		}
		o.writeToStore(copies)
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

func (o *Origins) handleCopy(w http.ResponseWriter, r *http.Request) {
	var m originCopy
	if decodeBody(w, r, &m) {
		now := o.Now()
		o.ledger.Add(now, m.Key, m.origin(now), time.Duration(m.KeepMS)*time.Millisecond)
	}
}

func (o *Origins) handleBackup(w http.ResponseWriter, r *http.Request) {
	var copies []originCopy
	if !decodeBody(w, r, &copies) {
		return
	}
	if !o.backup.CanWrite() {
		http.Error(w, "the store takes no writes", http.StatusServiceUnavailable)
		return
	}
	o.writeToStore(copies)
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
	case q.Unnamed:
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
	if d, ok := o.history.SinceChange(now, q.Pool); ok {
		ms := d.Milliseconds()
		a.ChangedMS = &ms
	}
	writeJSON(w, a)
}
