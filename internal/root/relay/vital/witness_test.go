package vital

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
)

var errRefused = errors.New("connection refused")

// fakeProcess answers connections. It dies at a time after its start, and then refuses them; closesAt is when it closes those that are open.
type fakeProcess struct {
	start    time.Time
	closesAt time.Duration
	dies     time.Duration
	full     bool
	dials    atomic.Int64
}

func (p *fakeProcess) dial(context.Context, string, string) (net.Conn, error) {
	p.dials.Add(1)
	age := time.Since(p.start)
	if p.dies > 0 && age >= p.dies {
		return nil, errRefused
	}
	ours, theirs := net.Pipe()
	switch {
	case p.full:
		_ = theirs.Close()
	case p.closesAt > 0:
		time.AfterFunc(p.closesAt-age, func() { _ = theirs.Close() })
	}
	return ours, nil
}

func newWitness(p *fakeProcess) *Witness {
	return New(common.NewDeps("h", "d", io.Discard, logrus.ErrorLevel), p.dial)
}

// Guards against the end of a process that is taken for an end that the process meant (rule ORDER).
func TestWitnessTellsWhetherProcessOutlivedConnection(t *testing.T) {
	cases := []struct {
		name    string
		process *fakeProcess
		lives   bool
	}{
		{name: "a process that lives on", process: &fakeProcess{}, lives: true},
		{name: "a process that is gone", process: &fakeProcess{dies: time.Nanosecond}},
		{name: "a process whose listener outlives its connections for a moment", process: &fakeProcess{closesAt: 10 * time.Millisecond, dies: 10 * time.Millisecond}},
		{name: "a process at its limit of connections", process: &fakeProcess{full: true}, lives: true},
		{name: "a process that dies later", process: &fakeProcess{closesAt: time.Second, dies: time.Second}, lives: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("The witness is right", t, func() {
					p := tc.process
					p.start = time.Now().Add(-time.Nanosecond)
					err := newWitness(p).Outlived(t.Context(), "a")
					So(err == nil, ShouldEqual, tc.lives)
					time.Sleep(2 * time.Second)
				})
			})
		})
	}
}

// Guards against a connection for each of many streams that end at once.
func TestManyEndsShareOneCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A hundred ends during a check take one more", t, func() {
			p := &fakeProcess{}
			w := newWitness(p)
			errs := make(chan error)
			for range 100 {
				go func() { errs <- w.Outlived(t.Context(), "a") }()
			}
			for range 100 {
				So(<-errs, ShouldBeNil)
			}
			So(p.dials.Load(), ShouldBeLessThanOrEqualTo, 2)
			So(w.Stats(), ShouldResemble, Stats{
				Outlived: 100,
			})
		})
	})
}

// Guards against a check from before a process died that confirms an end after it.
func TestCheckInProgressConfirmsNoLaterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a process that dies while it is looked at", t, func() {
			p := &fakeProcess{
				start: time.Now(),
				dies:  settleTime / 2,
			}
			w := newWitness(p)
			go func() { _ = w.Outlived(t.Context(), "a") }()
			time.Sleep(settleTime * 3 / 4)
			Convey("an end after that is not confirmed", func() {
				So(w.Outlived(t.Context(), "a"), ShouldNotBeNil)
			})
		})
	})
}
