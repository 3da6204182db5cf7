package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/limit"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// permitTimeout is the timeout of the question for a permit. After a failure the upstream gets nothing from this host for permitRetry.
	permitTimeout = 150 * time.Millisecond
	permitRetry   = 200 * time.Millisecond
	// limitTimeout is the timeout of a message about a limit. limitAttempts is how many times it is sent, and limitPause the pause between two attempts.
	limitTimeout  = 500 * time.Millisecond
	limitAttempts = 3
	limitPause    = 200 * time.Millisecond
)

// Paths of the messages about limits.
const (
	pathLimits = "/limits"
	pathPermit = "/permit"
)

// errInvalidLimit is returned for a limit that is negative, has a negative age or names no source.
var errInvalidLimit = errors.New("limit is not valid")

// limitNotice tells what an upstream stated of its limit, and how long ago.
type limitNotice struct {
	Upstream  route.Incarnation `json:"upstream"`
	PerSecond float64           `json:"per_second"`
	AgeMS     int64             `json:"age_ms"`
	// Source is the process that sent the notice, and Seq counts the notices of a source.
	Source string `json:"source"`
	Seq    uint64 `json:"seq"`
	// Final is set by the host that grants requests to the upstream, so that the receiver doesn't tell others.
	Final bool `json:"final,omitempty"`
}

// UnmarshalJSON decodes a notice and checks its limit and its age.
func (n *limitNotice) UnmarshalJSON(b []byte) error {
	type plain limitNotice
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode limit: %w", err)
	}
	if p.PerSecond < 0 || p.AgeMS < 0 || p.Source == "" {
		return fmt.Errorf("check limit: %w", errInvalidLimit)
	}
	*n = limitNotice(p)
	return nil
}

// permitResponse is the answer to a limitNotice that asks for a permit. Notice is what the granting host knows of the limit.
type permitResponse struct {
	Granted bool        `json:"granted"`
	RetryMS int64       `json:"retry_ms,omitempty"`
	Notice  limitNotice `json:"notice"`
}

// Limits keeps to the request rates that upstreams name, over all hosts. For each upstream one host, the first in a ranking that prefers the failure domain of the upstream, grants the requests one by one, and tells all hosts when the limit changes.
type Limits struct {
	common.Deps
	peers  *Peers
	book   *limit.Book
	grants *limit.Grants
	// warmUps keeps to the rates that cold upstreams take.
	warmUps *WarmUps
	// source names this process in its notices.
	source string
	// apply is called with each changed limit.
	apply func(i route.Incarnation, perSecond float64)

	// noticing makes the order of the notices' Seq that of what they say.
	noticing sync.Mutex
	seq      uint64
}

// NewLimits returns the limits that this host knows, which are shared with other hosts through peers. apply is called with each changed limit. NewLimits must be called before peers runs.
func NewLimits(deps common.Deps, peers *Peers, warmUps *WarmUps, apply func(i route.Incarnation, perSecond float64)) *Limits {
	l := &Limits{
		Deps:    deps.WithPart("limits"),
		peers:   peers,
		book:    limit.NewBook(),
		grants:  limit.NewGrants(),
		warmUps: warmUps,
		source:  fmt.Sprintf("%s/%d", deps.Host, deps.Now().UnixNano()),
		apply:   apply,
	}
	peers.services = append(peers.services, l)
	return l
}

// Limited returns how many upstreams have a limit.
func (l *Limits) Limited() int {
	return l.book.Limited()
}

// Note records what an upstream stated of its limit in the response to a request that was sent at the given time, and tells the granting host if that is news.
func (l *Limits) Note(up route.Upstream, perSecond float64, sentAt time.Time) {
	n := limit.Notice{
		PerSecond: perSecond,
		At:        sentAt,
	}
	if perSecond > 0 {
		n.At = l.Now()
	}
	i := up.Incarnation()
	changed := l.add(i, n)
	if perSecond > 0 && !changed {
		// The upstream may have been removed from the routing table and added again.
		l.apply(i, perSecond)
	}
	if !changed {
		return
	}
	owner, _ := l.peers.roster.Owner(grantQueue(up))
	if owner.Name == l.Host {
		go l.tellAll(i)
		return
	}
	go l.tell(owner, l.notice(i))
}

// add records a notice and applies the limit. It reports whether it changed.
func (l *Limits) add(i route.Incarnation, n limit.Notice) bool {
	if !l.book.Add(i, n) {
		return false
	}
	l.Log.WithField("upstream", i.Name).WithField("limit", n.PerSecond).Info("Limit of upstream changed.")
	l.apply(i, n.PerSecond)
	return true
}

// grantQueue returns the key by which the granting host of an upstream is chosen.
func grantQueue(up route.Upstream) string {
	return batch.QueueInDomain("limit/"+up.Name, up.Domain)
}

// Take asks for the permit to send one request to an upstream that is cold or names a limit. If there is none now, it returns how long to wait before another try.
func (l *Limits) Take(ctx context.Context, up route.Upstream) (granted bool, retry time.Duration) {
	if up.Cold {
		if granted, retry = l.warmUps.Take(ctx, up); !granted {
			return false, retry
		}
	}
	return l.takeNamed(ctx, up)
}

// takeNamed asks for the permit that an upstream needs if it names a limit.
func (l *Limits) takeNamed(ctx context.Context, up route.Upstream) (granted bool, retry time.Duration) {
	i := up.Incarnation()
	if n, _ := l.book.Get(i); up.Cold && n.PerSecond == 0 {
		return true, 0
	}
	owner, _ := l.peers.roster.Owner(grantQueue(up))
	if owner.Name == l.Host {
		return l.grant(i)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var answer permitResponse
	if err := l.peers.post(ctx, owner, pathPermit, l.notice(i), &answer); err != nil {
		l.Log.WithError(err).WithField("upstream", up.Name).Info("Failed to ask for a permit.")
		return false, permitRetry
	}
	l.add(i, l.decoded(answer.Notice))
	return answer.Granted, time.Duration(answer.RetryMS) * time.Millisecond
}

// grant decides about one request on the granting host.
func (l *Limits) grant(i route.Incarnation) (granted bool, retry time.Duration) {
	n, _ := l.book.Get(i)
	if n.PerSecond == 0 {
		return true, 0
	}
	return l.grants.Take(l.Now(), i, n.PerSecond)
}

// notice returns the message with what this host knows of the limit.
func (l *Limits) notice(i route.Incarnation) limitNotice {
	l.noticing.Lock()
	defer l.noticing.Unlock()
	l.seq++
	n, _ := l.book.Get(i)
	return limitNotice{
		Upstream:  i,
		PerSecond: n.PerSecond,
		AgeMS:     max(0, l.Now().Sub(n.At).Milliseconds()),
		Source:    l.source,
		Seq:       l.seq,
	}
}

// decoded returns the notice in a message, by the clock of this host.
func (l *Limits) decoded(m limitNotice) limit.Notice {
	return limit.Notice{
		PerSecond: m.PerSecond,
		At:        l.Now().Add(-time.Duration(m.AgeMS) * time.Millisecond),
		Source:    m.Source,
		Seq:       m.Seq,
	}
}

// tellAll tells all other hosts the limit.
func (l *Limits) tellAll(i route.Incarnation) {
	m := l.notice(i)
	m.Final = true
	for _, h := range l.peers.roster.LiveOthers() {
		go l.tell(h, m)
	}
}

func (l *Limits) tell(h Host, m limitNotice) {
	began := l.Now()
	var err error
	for range limitAttempts {
		later := m
		later.AgeMS += l.Now().Sub(began).Milliseconds()
		if err = l.peers.postWithin(limitTimeout, h, pathLimits, later, nil); err == nil {
			return
		}
		time.Sleep(limitPause)
	}
	l.Log.WithError(err).WithField("host", h.Name).WithField("upstream", m.Upstream.Name).Info("Failed to tell a host the limit of an upstream.")
}

func (l *Limits) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathLimits, l.handleNotice)
	mux.HandleFunc("POST "+pathPermit, l.handlePermit)
}

func (l *Limits) handleNotice(w http.ResponseWriter, r *http.Request) {
	var m limitNotice
	if !decodeBody(w, r, &m) {
		return
	}
	if l.add(m.Upstream, l.decoded(m)) && !m.Final {
		go l.tellAll(m.Upstream)
	}
}

func (l *Limits) handlePermit(w http.ResponseWriter, r *http.Request) {
	var m limitNotice
	if !decodeBody(w, r, &m) {
		return
	}
	if l.add(m.Upstream, l.decoded(m)) {
		go l.tellAll(m.Upstream)
	}
	granted, retry := l.grant(m.Upstream)
	writeJSON(w, permitResponse{
		Granted: granted,
		RetryMS: retry.Milliseconds(),
		Notice:  l.notice(m.Upstream),
	})
}
