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
)

// Do sends the work to one of its pool's queues, and to another one where that refuses it.
func (p *Peers) Do(ctx context.Context, w batch.Work) (batch.Outcome, func()) {
	began := p.Now()
	onTime, last := w.OnTime, w.Last
	var o batch.Outcome
	for _, s := range p.picks.order(began, w, p.local.Shards(w.Pool), p.roster.self.Domain) {
		now := p.Now()
		w.Queue = s.Queue
		w.OnTime = onTime - now.Sub(began)
		w.Last = last - now.Sub(began)
		var free func()
		o, free = p.doIn(ctx, s, w)
		switch made := o.(type) {
		case batch.Made:
			made.Queue = s.Queue
			return made, free
		case batch.Refused:
			p.picks.refused(p.Now(), s, w.Rank)
		default:
			return o, nil
		}
	}
	return o, nil
}

// doIn sends the work to the host that keeps the queue, and to another one where that is down or hands it over.
func (p *Peers) doIn(ctx context.Context, s batch.Shard, w batch.Work) (batch.Outcome, func()) {
	began := p.Now()
	owner, down := p.roster.Owner(w.Queue)
	for i := range p.owners(s) {
		o, next := p.give(ctx, owner, down, w)
		if next == nil {
			return o, p.freer(owner, w.Queue, o)
		}
		if ctx.Err() != nil {
			return batch.Failed{
				Reason: batch.Late,
			}, nil
		}
		if i >= quickOwner {
			common.Sleep(ctx, ownerPause)
		}
		// Hosts that differ in who the owner is must not send the work back and forth.
		w.ForceLocal = w.ForceLocal || i > 0
		owner = *next
		down = p.roster.Watch(owner)
		spent := p.Now().Sub(began)
		began = began.Add(spent)
		w.OnTime -= spent
		w.Last -= spent
	}
	if p.foreign(s) {
		return batch.Refused{
			After: foreignAfter,
		}, nil
	}
	o := p.local.Do(ctx, w)
	if _, ok := o.(batch.OwnerChanged); ok {
		o = batch.Failed{
			Reason: batch.NoWorker,
		}
	}
	return o, p.freer(p.roster.self, w.Queue, o)
}

// owners is how many hosts are asked for the same work of a queue; in a domain that may be cut off no more than two.
func (p *Peers) owners(s batch.Shard) int {
	if p.foreign(s) {
		return foreignOwners
	}
	return maxOwners
}

// foreign reports whether the queue's workers are all in another failure domain.
func (p *Peers) foreign(s batch.Shard) bool {
	return s.Domain != "" && s.Domain != p.roster.self.Domain
}

// give asks one host; next is the host to ask instead, or nil where the outcome counts.
func (p *Peers) give(ctx context.Context, owner Host, down <-chan struct{}, w batch.Work) (o batch.Outcome, next *Host) {
	if owner.Name == p.Host {
		o = p.local.Do(ctx, w)
		if _, ok := o.(batch.OwnerChanged); !ok {
			return o, nil
		}
		return nil, p.ownerOf(w.Queue)
	}
	a, err := p.remote(ctx, owner, down, w)
	switch {
	case err == nil && a.Owner == nil:
		return a.outcome(), nil
	case err == nil && !a.Leaving:
		return nil, a.Owner
	case err == nil:
		p.roster.Left(owner)
	case ctx.Err() == nil:
		p.roster.Down(owner, err)
	}
	return nil, p.ownerOf(w.Queue)
}

func (p *Peers) ownerOf(queue string) *Host {
	owner, _ := p.roster.Owner(queue)
	return &owner
}

// freer returns the function that gives up what the work made, or nil.
func (p *Peers) freer(owner Host, queue string, o batch.Outcome) func() {
	made, ok := o.(batch.Made)
	if !ok {
		return nil
	}
	if owner.Name == p.Host {
		return func() { p.local.Free(queue, made.Handles) }
	}
	return func() {
		go func() {
			if p.freeAt(owner, queue, made.Handles) == nil {
				return
			}
			// The host that has its place frees what it does not know as well.
			p.Release(queue, made.Handles)
		}()
	}
}

// Release gives up results of a queue at the host that keeps it.
func (p *Peers) Release(queue string, handles []string) {
	owner, _ := p.roster.Owner(queue)
	if owner.Name == p.Host {
		p.local.Free(queue, handles)
		return
	}
	if err := p.freeAt(owner, queue, handles); err != nil {
		p.Log.WithError(err).WithField("host", owner.Name).Info("Results were not freed. They expire by themselves.")
	}
}

func (p *Peers) freeAt(owner Host, queue string, handles []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := batch.Spent{
		Queue:   queue,
		Handles: handles,
	}
	if err := p.post(ctx, owner, pathFree, body, nil); err != nil {
		return fmt.Errorf("free results: %w", err)
	}
	return nil
}

func (p *Peers) remote(ctx context.Context, owner Host, down <-chan struct{}, w batch.Work) (answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
	}()
	var a answer
	if err := p.post(ctx, owner, pathWork, w, &a); err != nil {
		return answer{}, fmt.Errorf("give work to its owner: %w", err)
	}
	return a, nil
}

func (p *Peers) post(ctx context.Context, h Host, path string, body, into any) error {
	status, answer, err := jhttp.Do(ctx, p.http, jhttp.Call{
		Method: http.MethodPost,
		URL:    "http://" + h.Addr + path,
		Body:   body,
		Limit:  maxBody,
	})
	if err != nil {
		return fmt.Errorf("call host %s: %w", h.Name, err)
	}
	if status != http.StatusOK {
		return errors.Errorf("host %s answered %d", h.Name, status)
	}
	if err := jhttp.Decode(answer, into); err != nil {
		return fmt.Errorf("read answer of host %s: %w", h.Name, err)
	}
	return nil
}
