package hosts

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// errUnknownPath reports a host of an older build, which does not know the path of the call.
var errUnknownPath = errors.New("host does not know the path")

// Do sends the work to one of its pool's queues, and to another queue if the first one refuses it. The function returned with a Completed outcome frees the results; otherwise it is nil.
func (p *Peers) Do(ctx context.Context, w batch.Work) (batch.Outcome, func()) {
	start := p.Now()
	var o batch.Outcome = batch.Refused{
		After: noShardRetryAfter,
	}
	for _, s := range p.candidates(start, w) {
		inQueue := w.WithElapsed(p.Now().Sub(start))
		inQueue.Queue = s.Queue
		inQueue = p.local.WithReports(inQueue, s)
		var free func()
		o, free = p.doInQueue(ctx, s, inQueue)
		switch completed := o.(type) {
		case batch.Completed:
			completed.Queue = s.Queue
			return completed, free
		case batch.Refused:
			p.picker.RecordRefusal(p.Now(), s, w.Rank)
		default:
			return o, nil
		}
	}
	return o, nil
}

// doInQueue sends the work to the owner of the queue, and to the next owner if that host is down or no longer owns the queue. Work that the owner may not receive is run by this host.
func (p *Peers) doInQueue(ctx context.Context, s batch.Shard, w batch.Work) (batch.Outcome, func()) {
	start := p.Now()
	owner, down := p.roster.Owner(w.Queue)
	for i := range p.ownerAttempts(s) {
		owner = p.receiver(owner, w.Regions)
		o, next := p.tryHost(ctx, owner, down, w)
		if next == nil {
			return o, p.freeFunc(owner, w.Queue, o)
		}
		if ctx.Err() != nil {
			return batch.Failed{
				Reason: batch.ReasonDeadline,
			}, nil
		}
		if i >= quickOwnerAttempts {
			common.Sleep(ctx, ownerRetryPause)
		}
		// From the third attempt on, the host that receives the work must run it. Otherwise, hosts that disagree about the owner would send it back and forth.
		w.ForceLocal = w.ForceLocal || i > 0
		owner = *next
		down = p.roster.DownSignal(owner)
		elapsed := p.Now().Sub(start)
		start = start.Add(elapsed)
		w = w.WithElapsed(elapsed)
	}
	if p.inOtherDomain(s) {
		return batch.Refused{
			After: remoteDomainRetryAfter,
		}, nil
	}
	o := p.local.Do(ctx, w)
	if _, ok := o.(batch.OwnerChanged); ok {
		o = batch.Failed{
			Reason: batch.ReasonNoWorker,
		}
	}
	return o, p.freeFunc(p.roster.self, w.Queue, o)
}

// ownerAttempts returns how many hosts are tried for the same work of a queue. The number is lower for a queue in another failure domain, because that domain may be unreachable.
func (p *Peers) ownerAttempts(s batch.Shard) int {
	if p.inOtherDomain(s) {
		return remoteDomainAttempts
	}
	return maxOwnerAttempts
}

// inOtherDomain reports whether the queue's workers are all in another failure domain than this host.
func (p *Peers) inOtherDomain(s batch.Shard) bool {
	return s.Domain != "" && s.Domain != p.roster.self.Domain
}

// tryHost runs the work on one host. next is the host to try instead, or nil if the outcome is final.
func (p *Peers) tryHost(ctx context.Context, owner Host, down <-chan struct{}, w batch.Work) (o batch.Outcome, next *Host) {
	if owner.Name == p.Host {
		o = p.local.Do(ctx, w)
		if _, ok := o.(batch.OwnerChanged); !ok {
			p.recordOwnReport(w.Queue)
			return o, nil
		}
		return nil, p.currentOwner(w.Queue)
	}
	a, err := p.runOnHost(ctx, owner, down, w)
	switch {
	case err == nil && a.Owner == nil:
		if a.Report != nil {
			p.local.RecordReport(*a.Report)
		}
		return a.outcome(len(w.Pieces)), nil
	case errors.Is(err, errUnknownPath) && w.Regions.Bound():
		return nil, &p.roster.self
	case err == nil && !a.Leaving:
		return nil, a.Owner
	case err == nil:
		p.roster.RemoveLeaving(owner)
	case ctx.Err() == nil:
		p.roster.MarkDown(owner, err)
	}
	return nil, p.currentOwner(w.Queue)
}

// recordOwnReport records what this host knows of a queue that it owns.
func (p *Peers) recordOwnReport(queue string) {
	if r, ok := p.local.Report(queue); ok {
		p.local.RecordReport(r)
	}
}

func (p *Peers) currentOwner(queue string) *Host {
	owner, _ := p.roster.Owner(queue)
	return &owner
}

// freeFunc returns the function that frees the results of the work, or nil if there are none.
func (p *Peers) freeFunc(owner Host, queue string, o batch.Outcome) func() {
	completed, ok := o.(batch.Completed)
	if !ok {
		return nil
	}
	if owner.Name == p.Host {
		return func() { p.local.Free(queue, completed.Handles) }
	}
	return func() {
		go func() {
			if p.freeOnHost(owner, queue, completed.Handles) == nil {
				return
			}
			// The new owner of the queue also frees results that it does not track.
			p.Release(queue, completed.Handles)
		}()
	}
}

// Release frees results of a queue through the host that owns the queue.
func (p *Peers) Release(queue string, handles []string) {
	owner, _ := p.roster.Owner(queue)
	if owner.Name == p.Host {
		p.local.Free(queue, handles)
		return
	}
	if err := p.freeOnHost(owner, queue, handles); err != nil {
		p.Log.WithError(err).WithField("host", owner.Name).Info("Failed to free results. The worker drops them when they expire.")
	}
}

func (p *Peers) freeOnHost(owner Host, queue string, handles []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := batch.Released{
		Queue:   queue,
		Handles: handles,
	}
	if err := p.post(ctx, owner, pathFree, body, nil); err != nil {
		return fmt.Errorf("free results: %w", err)
	}
	return nil
}

func (p *Peers) runOnHost(ctx context.Context, owner Host, down <-chan struct{}, w batch.Work) (workResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
	}()
	var a workResponse
	if err := p.post(ctx, owner, workPath(w), w, &a); err != nil {
		return workResponse{}, fmt.Errorf("send work to owner of queue: %w", err)
	}
	return a, nil
}

// postWithin is post with a timeout and no other reason to end.
func (p *Peers) postWithin(timeout time.Duration, h Host, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.post(ctx, h, path, body, into)
}

func (p *Peers) post(ctx context.Context, h Host, path string, body, into any) error {
	_, err := p.call(ctx, h, path, jhttp.Timeouts{}, body, into)
	return err
}

// call is post with limits of its progress. It returns how long the body of the response took to arrive.
func (p *Peers) call(ctx context.Context, h Host, path string, timeouts jhttp.Timeouts, body, into any) (transfer time.Duration, err error) {
	resp, err := jhttp.Do(ctx, p.calls, jhttp.Call{
		Method:     http.MethodPost,
		URL:        "http://" + h.Addr + path,
		Body:       body,
		Limit:      maxResponse,
		Timeouts:   timeouts,
		OnProgress: follow.ProgressOf(ctx),
	})
	if err != nil {
		return 0, fmt.Errorf("call host %s: %w", h.Name, err)
	}
	if resp.Status == http.StatusNotFound {
		return 0, fmt.Errorf("call host %s: %w", h.Name, errUnknownPath)
	}
	if resp.Status != http.StatusOK {
		return 0, errors.Errorf("host %s answered with status %d", h.Name, resp.Status)
	}
	if err := jhttp.Decode(resp.Body, into); err != nil {
		return 0, fmt.Errorf("decode response of host %s: %w", h.Name, err)
	}
	return resp.Transfer, nil
}
