package batch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// fakePermits gives a number of permits, one for each call.
type fakePermits struct {
	mu          sync.Mutex
	left        int
	unreachable int
	responses   int
}

func (p *fakePermits) Permit(ctx context.Context, _ route.Upstream) (context.Context, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 {
		return ctx, 20 * time.Millisecond
	}
	p.left--
	return ctx, 0
}

func (p *fakePermits) RecordUnreachable(route.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable++
}

func (p *fakePermits) RecordResponse(route.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses++
}

// add adds permits.
func (p *fakePermits) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left += n
}

// countingClient answers all calls, unless err is set, and counts them.
type countingClient struct {
	mu    sync.Mutex
	calls int
	frees int
	err   error
}

func (c *countingClient) Run(_ context.Context, _ route.Upstream, items []Item) (Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.err != nil {
		return Response{}, c.err
	}
	var out Response
	for range items {
		out.Results = append(out.Results, Result{Handle: "10.0.0.2:80/a"})
	}
	return out, nil
}

func (c *countingClient) Free(context.Context, string, []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frees++
	return nil
}

func (*countingClient) WorkerAddr(string) string { return "10.0.0.2:80" }

func (c *countingClient) counts() (calls, frees int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.frees
}

// TestColdWorkersGetCallsWithPermitsOnly guards against calls of stages, and calls that free results, that a cold worker gets besides its rate.
func TestColdWorkersGetCallsWithPermitsOnly(t *testing.T) {
	Convey("Given a queue whose workers are cold", t, func() {
		permits := &fakePermits{}
		client := &countingClient{}
		d := newTestDispatcher(client)
		d.UsePermits(permits)
		Convey("work waits for a permit, without a failed attempt", func() {
			done := make(chan Outcome, 1)
			go func() { done <- d.Do(t.Context(), workOf("a", 4).inQueue("p")) }()
			time.Sleep(100 * time.Millisecond)
			calls, _ := client.counts()
			So(calls, ShouldEqual, 0)
			permits.add(1)
			_, completed := (<-done).(Completed)
			So(completed, ShouldBeTrue)
			calls, _ = client.counts()
			So(calls, ShouldEqual, 1)
			So(permits.responses, ShouldEqual, 1)
		})
		Convey("results are gathered until there is a permit to free them", func() {
			d.Free("p", []string{"10.0.0.2:80/a"})
			d.Free("p", []string{"10.0.0.2:80/b"})
			time.Sleep(60 * time.Millisecond)
			_, frees := client.counts()
			So(frees, ShouldEqual, 0)
			permits.add(1)
			time.Sleep(100 * time.Millisecond)
			_, frees = client.counts()
			So(frees, ShouldEqual, 1)
		})
	})
	Convey("Of failed calls, those that opened no connection put a worker in doubt, and one with a late permit is a pause", t, func() {
		scenarios := []struct {
			name        string
			err         error
			unreachable int
			paused      bool
		}{
			{name: "no connection", err: &net.OpError{Op: "dial", Err: errors.New("refused")}, unreachable: 1},
			{name: "a reset", err: &net.OpError{Op: "read", Err: errors.New("reset")}},
			{name: "a late permit", err: send.ErrPermitExpired, paused: true},
		}
		for _, sc := range scenarios {
			permits := &fakePermits{left: 1}
			d := newTestDispatcher(&countingClient{err: fmt.Errorf("call: %w", sc.err)})
			d.UsePermits(permits)
			resp, err := d.call(t.Context(), &Call{})
			So(err, ShouldNotBeNil)
			So(permits.unreachable, ShouldEqual, sc.unreachable)
			So(resp.PauseFor > 0, ShouldEqual, sc.paused)
		}
	})
}
