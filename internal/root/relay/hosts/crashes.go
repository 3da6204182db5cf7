package hosts

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// crashLimit is the number of upstreams that a request may crash, over all hosts.
	crashLimit = 3
	// crashKeepers is how many hosts count the crashes of one request, so that the count outlives some of them.
	crashKeepers = 3
	// maxMarks bounds the marks of one message.
	maxMarks = 512
	// tellTimeout bounds how long a host may take to be told of crashes, and tellWait how long a request waits for that.
	tellTimeout = time.Second
	tellWait    = 200 * time.Millisecond
	// welcomeTries is how often a host that has just started is tried, as it may not listen yet, and welcomePause the time between.
	welcomeTries = 5
	welcomePause = 500 * time.Millisecond
	pathCrashes  = "/crashes"
)

// crashNews is what one host tells another of crashes.
type crashNews struct {
	Marks []crash.Mark `json:"marks,omitempty"`
	// Cleared are requests that have run to their end.
	Cleared []crash.Fingerprint `json:"cleared,omitempty"`
	// Stopped says that the marks are those of requests that were found to be at the limit, which all hosts are told.
	Stopped bool `json:"stopped,omitempty"`
}

// Crashes finds the requests that crash upstreams, over all hosts. A crash is told to the hosts that count for its request; the one that finds the limit reached tells all.
type Crashes struct {
	common.Deps
	tracker *crash.Tracker
	guard   *crash.Guard
	peers   *Peers
}

// NewCrashes returns the crashes that this host knows of, which it shares through the peers.
func NewCrashes(deps common.Deps, peers *Peers) *Crashes {
	c := &Crashes{
		Deps:    deps.WithPart("crash"),
		tracker: crash.NewTracker(crash.WithLimit(crashLimit)),
		peers:   peers,
	}
	anyUpstream := func(string) bool { return true }
	c.guard = crash.NewGuard(deps, c.tracker, connects, anyUpstream, c.spread)
	peers.crashes = c
	peers.roster.OnJoin(c.welcome)
	return c
}

// connects reports whether a connection to the address can be opened.
func connects(ctx context.Context, addr string) bool {
	conn, err := send.Dialer(0).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	// Nothing was sent over it.
	_ = conn.Close()
	return true
}

// Stopped reports whether the request crashed so many upstreams that it is sent to no more.
func (c *Crashes) Stopped(p crash.Fingerprint) bool {
	return c.tracker.Blocked(p, c.Now())
}

// Broke tells that the connection to an upstream was lost while it ran the request.
func (c *Crashes) Broke(ctx context.Context, p crash.Fingerprint, up route.Upstream) {
	c.guard.Broke(ctx, p, up)
}

// Served tells that the request ran to its end, so that the crashes were not its doing.
func (c *Crashes) Served(p crash.Fingerprint) {
	if !c.tracker.Clear(p) {
		return
	}
	go c.tell(c.keepers(p), crashNews{
		Cleared: []crash.Fingerprint{p},
	})
}

// spread tells of a new crash: the hosts that count for the request, or all of them once it is at the limit.
func (c *Crashes) spread(_ context.Context, m crash.Mark) {
	if c.tellStopped(m.Fingerprint) {
		return
	}
	c.tell(c.keepers(m.Fingerprint), crashNews{
		Marks: []crash.Mark{m},
	})
}

// tellStopped tells all hosts of a request that is at the limit, and reports whether it is.
func (c *Crashes) tellStopped(p crash.Fingerprint) bool {
	if !c.Stopped(p) {
		return false
	}
	c.Log.WithField("fingerprint", fmt.Sprintf("%x", uint64(p))).Warn("Request has crashed too many upstreams. It is sent to no more.")
	c.tell(c.peers.roster.Others(), crashNews{
		Marks:   c.tracker.Of(p),
		Stopped: true,
	})
	return true
}

// keepers returns the other hosts that count the crashes of a request.
func (c *Crashes) keepers(p crash.Fingerprint) []Host {
	return c.peers.roster.Ranked(fmt.Sprintf("%x", uint64(p)), crashKeepers)
}

// welcome tells a host that has just started which requests are stopped, where this host ranks among the first for it.
func (c *Crashes) welcome(h Host) {
	marks := c.tracker.Stopped(c.Now(), maxMarks)
	if len(marks) == 0 || !c.peers.roster.first(h.Name, crashKeepers) {
		return
	}
	news := crashNews{
		Marks:   marks,
		Stopped: true,
	}
	for range welcomeTries {
		if c.tellOne(h, news) == nil {
			return
		}
		time.Sleep(welcomePause)
	}
}

// tell sends the news to the hosts, and returns once they know, or after a while.
func (c *Crashes) tell(to []Host, news crashNews) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.tellAll(to, news)
	}()
	timer := time.NewTimer(tellWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (c *Crashes) tellAll(to []Host, news crashNews) {
	var (
		told   sync.WaitGroup
		mu     sync.Mutex
		missed []string
		last   error
	)
	for _, h := range to {
		told.Go(func() {
			err := c.tellOne(h, news)
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missed = append(missed, h.Name)
			last = err
		})
	}
	told.Wait()
	if len(missed) > 0 {
		c.Log.WithError(last).WithField("hosts", missed).Info("Hosts were not told of crashes.")
	}
}

func (c *Crashes) tellOne(h Host, news crashNews) error {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if err := c.peers.post(ctx, h, pathCrashes, news, nil); err != nil {
		return fmt.Errorf("tell of crashes: %w", err)
	}
	return nil
}

// serve takes the news of another host.
func (c *Crashes) serve(w http.ResponseWriter, r *http.Request) {
	var news crashNews
	if !read(w, r, &news) {
		return
	}
	for _, p := range news.Cleared {
		c.tracker.Clear(p)
	}
	for _, m := range news.Marks {
		if c.tracker.Add(m, c.Now()) && !news.Stopped {
			c.tellStopped(m.Fingerprint)
		}
	}
}
