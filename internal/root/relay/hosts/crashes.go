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
	// crashLimit is the number of crashed upstreams, over all hosts, at which a request is blocked.
	crashLimit = 3
	// crashReplicas is how many hosts count the crashes of one request, so that the count survives the loss of some of them.
	crashReplicas = 3
	// maxMarks is the maximum number of marks in one message.
	maxMarks = 512
	// notifyTimeout is the timeout of a notification to one host, and notifyWait how long a request waits for notifications to arrive.
	notifyTimeout = time.Second
	notifyWait    = 200 * time.Millisecond
	// joinNotifyAttempts is how many times a host that has just started is notified, as it may not listen yet, and joinNotifyPause the pause between two attempts.
	joinNotifyAttempts = 5
	joinNotifyPause    = 500 * time.Millisecond
	pathCrashes        = "/crashes"
)

// crashUpdate is what one host sends to another about crashes.
type crashUpdate struct {
	Marks []crash.Mark `json:"marks,omitempty"`
	// Cleared lists requests that have run to completion, so that their crashes no longer count.
	Cleared []crash.Fingerprint `json:"cleared,omitempty"`
	// Blocked is set if the marks belong to requests that have reached the limit. Such an update goes to all hosts, so the receiver doesn't forward it.
	Blocked bool `json:"stopped,omitempty"`
}

// Crashes finds the requests that crash upstreams, over all hosts. A crash is reported to the hosts that count the crashes of its request. A host that finds that a request has reached crashLimit notifies all others.
type Crashes struct {
	common.Deps
	tracker *crash.Tracker
	guard   *crash.Guard
	peers   *Peers
}

// NewCrashes returns the record of crashes on this host, which is shared with other hosts through peers. It must be called before peers runs.
func NewCrashes(deps common.Deps, peers *Peers) *Crashes {
	c := &Crashes{
		Deps:    deps.WithPart("crash"),
		tracker: crash.NewTracker(crash.WithLimit(crashLimit)),
		peers:   peers,
	}
	anyUpstream := func(string) bool { return true }
	c.guard = crash.NewGuard(deps, c.tracker, connects, anyUpstream, c.shareCrash)
	peers.crashes = c
	peers.roster.OnJoin(c.notifyJoined)
	return c
}

// connects reports whether a connection to the address can be opened.
func connects(ctx context.Context, addr string) bool {
	conn, err := send.Dialer(0).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	// Nothing was sent over the connection, so an error of Close doesn't matter.
	_ = conn.Close()
	return true
}

// Blocked reports whether the request has crashed so many upstreams that it is no longer sent to any.
func (c *Crashes) Blocked(p crash.Fingerprint) bool {
	return c.tracker.IsBlocked(p, c.Now())
}

// RecordConnLoss records that the connection to an upstream was lost while it ran the request.
func (c *Crashes) RecordConnLoss(ctx context.Context, p crash.Fingerprint, up route.Upstream) {
	c.guard.RecordConnLoss(ctx, p, up)
}

// RecordCompleted records that the request ran to completion, which shows that it did not cause the crashes.
func (c *Crashes) RecordCompleted(p crash.Fingerprint) {
	if !c.tracker.Clear(p) {
		return
	}
	go c.notify(c.replicas(p), crashUpdate{
		Cleared: []crash.Fingerprint{p},
	})
}

// shareCrash sends a new crash to the hosts that count the crashes of the request, or to all hosts once the request is blocked.
func (c *Crashes) shareCrash(_ context.Context, m crash.Mark) {
	if c.notifyBlocked(m.Fingerprint) {
		return
	}
	c.notify(c.replicas(m.Fingerprint), crashUpdate{
		Marks: []crash.Mark{m},
	})
}

// notifyBlocked notifies all other hosts if the request is blocked, and reports whether it is.
func (c *Crashes) notifyBlocked(p crash.Fingerprint) bool {
	if !c.Blocked(p) {
		return false
	}
	c.Log.WithField("fingerprint", fmt.Sprintf("%x", uint64(p))).Warn("Request has crashed too many upstreams. It is blocked.")
	c.notify(c.peers.roster.LiveOthers(), crashUpdate{
		Marks:   c.tracker.MarksOf(p),
		Blocked: true,
	})
	return true
}

// replicas returns the other hosts that count the crashes of a request.
func (c *Crashes) replicas(p crash.Fingerprint) []Host {
	return c.peers.roster.RankedOthers(fmt.Sprintf("%x", uint64(p)), crashReplicas)
}

// notifyJoined sends the blocked requests to a host that has just started or is up again, if this host is among the first crashReplicas hosts in the ranking for the name of that host.
func (c *Crashes) notifyJoined(h Host) {
	marks := c.tracker.Blocked(c.Now(), maxMarks)
	if len(marks) == 0 || !c.peers.roster.selfInTop(h.Name, crashReplicas) {
		return
	}
	update := crashUpdate{
		Marks:   marks,
		Blocked: true,
	}
	for range joinNotifyAttempts {
		if c.notifyHost(h, update) == nil {
			return
		}
		time.Sleep(joinNotifyPause)
	}
}

// notify sends the update to the hosts. It returns when all attempts have ended, or after notifyWait.
func (c *Crashes) notify(to []Host, update crashUpdate) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.notifyAll(to, update)
	}()
	timer := time.NewTimer(notifyWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (c *Crashes) notifyAll(to []Host, update crashUpdate) {
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		failed  []string
		lastErr error
	)
	for _, h := range to {
		group.Go(func() {
			err := c.notifyHost(h, update)
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, h.Name)
			lastErr = err
		})
	}
	group.Wait()
	if len(failed) > 0 {
		c.Log.WithError(lastErr).WithField("hosts", failed).Info("Failed to notify hosts of crashes.")
	}
}

func (c *Crashes) notifyHost(h Host, update crashUpdate) error {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := c.peers.post(ctx, h, pathCrashes, update, nil); err != nil {
		return fmt.Errorf("notify host of crashes: %w", err)
	}
	return nil
}

// handleUpdate applies an update from another host.
func (c *Crashes) handleUpdate(w http.ResponseWriter, r *http.Request) {
	var update crashUpdate
	if !decodeBody(w, r, &update) {
		return
	}
	for _, p := range update.Cleared {
		c.tracker.Clear(p)
	}
	for _, m := range update.Marks {
		if c.tracker.Add(m, c.Now()) && !update.Blocked {
			c.notifyBlocked(m.Fingerprint)
		}
	}
}
