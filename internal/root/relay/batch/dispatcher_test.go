package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// blockingClient blocks in Run until the call is cancelled, and reports what is freed.
type blockingClient struct {
	freed chan string
}

func (blockingClient) Run(ctx context.Context, _ route.Upstream, _ []Item) (Response, error) {
	<-ctx.Done()
	return Response{}, ctx.Err()
}

func (c blockingClient) Free(_ context.Context, addr string, handles []string) error {
	c.freed <- addr + " " + strings.Join(handles, ",")
	return nil
}

func (blockingClient) WorkerAddr(handle string) string {
	addr, _, _ := strings.Cut(handle, "/")
	return addr
}

func newTestDispatcher(c WorkerClient) *Dispatcher {
	d := NewDispatcher(common.NewQuietDeps("h", "d"), c)
	spec := specOf(4)
	d.Sync(plan.New(1, nil, []plan.Pool{{Name: "p", Worker: &spec}}, nil, plan.Limits{}), workersIn("x", "x"))
	return d
}

func TestResultsOfPreviousOwnerAreFreed(t *testing.T) {
	Convey("The new owner of a queue frees results of the previous owner, but only at workers of the pool", t, func() {
		c := blockingClient{freed: make(chan string, 4)}
		d := newTestDispatcher(c)
		d.Free("p", []string{"10.0.0.2:80/a", "10.9.9.9:80/b", "none", "10.0.0.2:80/c"})
		So(<-c.freed, ShouldEqual, "10.0.0.2:80 10.0.0.2:80/a,10.0.0.2:80/c")
		d.Free("unknown", []string{"10.0.0.2:80/d"})
		select {
		case x := <-c.freed:
			So(x, ShouldEqual, "nothing")
		case <-time.After(50 * time.Millisecond):
		}
	})
}

func TestUnstartedWorkIsReassignedWhenOwnershipIsLost(t *testing.T) {
	Convey("Given two busy workers and a waiting job", t, func() {
		d := newTestDispatcher(blockingClient{freed: make(chan string, 4)})
		done := make(chan Outcome, 3)
		for _, id := range []string{"a", "b", "c"} {
			go func() { done <- d.Do(t.Context(), workOf(id, 4).inQueue("p")) }()
			time.Sleep(20 * time.Millisecond)
		}
		Convey("the waiting job ends with OwnerChanged once the host no longer owns the queue", func() {
			d.ReassignUnstarted(func(string) bool { return true })
			select {
			case o := <-done:
				So(o, ShouldBeNil)
			case <-time.After(50 * time.Millisecond):
			}
			d.ReassignUnstarted(func(string) bool { return false })
			So(<-done, ShouldResemble, OwnerChanged{})
			So(len(done), ShouldEqual, 0)
		})
	})
}

func (w Work) inQueue(queue string) Work {
	w.Queue = queue
	return w
}

// sizedClient returns so many results from each call, whatever was asked.
type sizedClient struct {
	blockingClient
	results int
}

func (c sizedClient) Run(context.Context, route.Upstream, []Item) (Response, error) {
	var out Response
	for range c.results {
		out.Results = append(out.Results, Result{
			Handle: "10.0.0.2:80/a",
		})
	}
	return out, nil
}

// Guards against work that counts as completed by a response with fewer results than pieces.
func TestWorkIsCompletedOnlyByAResultForEachPiece(t *testing.T) {
	for results := range 7 {
		Convey(fmt.Sprintf("Work of 4 pieces, whose worker sends %d results", results), t, func() {
			d := newTestDispatcher(sizedClient{
				blockingClient: blockingClient{freed: make(chan string, 100)},
				results:        results,
			})
			o := d.Do(t.Context(), workOf("a", 4).inQueue("p"))
			completed, ok := o.(Completed)
			So(ok, ShouldEqual, results == 4)
			So(len(completed.Handles), ShouldBeIn, 0, 4)
		})
	}
}
