package batch

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// idleCaller makes nothing and tells what is freed.
type idleCaller struct {
	freed chan string
}

func (idleCaller) Run(ctx context.Context, _ route.Upstream, _ []Item) ([]Result, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (c idleCaller) Free(_ context.Context, addr string, handles []string) error {
	c.freed <- addr + " " + strings.Join(handles, ",")
	return nil
}

func (idleCaller) Holder(handle string) string {
	addr, _, _ := strings.Cut(handle, "/")
	return addr
}

func keeperOf(c Caller) *Keeper {
	k := NewKeeper(common.Quiet("h", "d"), c)
	spec := specOf(4)
	k.Sync(plan.New(1, nil, []plan.Pool{{Name: "p", Worker: &spec}}, nil, plan.Limits{}), workersOf("x", "x"))
	return k
}

func TestResultsOfAnEarlierOwnerAreFreed(t *testing.T) {
	Convey("A host that has taken a queue over frees what the host before it made, at workers of the pool alone", t, func() {
		c := idleCaller{freed: make(chan string, 4)}
		k := keeperOf(c)
		k.Free("p", []string{"10.0.0.2:80/a", "10.9.9.9:80/b", "none", "10.0.0.2:80/c"})
		So(<-c.freed, ShouldEqual, "10.0.0.2:80 10.0.0.2:80/a,10.0.0.2:80/c")
		k.Free("unknown", []string{"10.0.0.2:80/d"})
		select {
		case x := <-c.freed:
			So(x, ShouldEqual, "nothing")
		case <-time.After(50 * time.Millisecond):
		}
	})
}

func TestWorkThatHasNotBegunIsHandedOver(t *testing.T) {
	Convey("Given two workers at work and more work that waits", t, func() {
		k := keeperOf(idleCaller{freed: make(chan string, 4)})
		done := make(chan Outcome, 3)
		for _, id := range []string{"a", "b", "c"} {
			go func() { done <- k.Do(t.Context(), workOf(id, 4).in("p")) }()
			time.Sleep(20 * time.Millisecond)
		}
		Convey("what waits is handed over where the host doesn't own the pool any more", func() {
			k.HandOver(func(string) bool { return true })
			select {
			case o := <-done:
				So(o, ShouldBeNil)
			case <-time.After(50 * time.Millisecond):
			}
			k.HandOver(func(string) bool { return false })
			So(<-done, ShouldResemble, Moved{})
			So(len(done), ShouldEqual, 0)
		})
	})
}

func (w Work) in(queue string) Work {
	w.Queue = queue
	return w
}
