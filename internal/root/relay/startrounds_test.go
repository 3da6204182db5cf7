package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// Guards against a stream that goes on by a row although another process answers at the address of its upstream, and against questions that grow with hosts (issue 57, rule ORDER).
func TestRoundsMarkUpstreamsAtWhichOtherProcessesAnswer(t *testing.T) {
	const (
		upstreams = 20
		answer    = 10 * time.Millisecond
		herd      = time.Second
	)
	for _, hosts := range []int{1, 9, 195} {
		synctest.Test(t, func(t *testing.T) {
			var asked atomic.Int64
			decode := func(key string, _ []byte) (route.Upstream, error) {
				u := route.Upstream{Name: key, Addr: key, Pool: "p", Version: "v1", StartedAtMS: 7}
				switch key {
				case "elsewhere":
					u.Pool = "q"
				case "no start":
					u.StartedAtMS = 0
				}
				return u, nil
			}
			view := follow.NewUpstreams(common.NewQuietDeps("host-1", "d"), decode, time.Second, func() {})
			rows := []follow.Row{{Key: "elsewhere"}, {Key: "no start"}, {Key: "replaced"}, {Key: "silent"}}
			for i := range upstreams {
				rows = append(rows, follow.Row{Key: fmt.Sprint(i)})
			}
			view.Reset(rows)
			rounds := &startRounds{
				Deps: common.NewQuietDeps("host-1", "d"),
				view: view,
				check: func(_ context.Context, i route.Incarnation) starts.Finding {
					asked.Add(1)
					time.Sleep(answer)
					switch i.Name {
					case "replaced":
						return starts.Other{StartedAtMS: 8}
					case "silent":
						return starts.Unreachable{Err: errors.New("refused")}
					case "elsewhere", "no start":
						t.Errorf("%s was asked", i.Name)
					}
					return starts.Same{}
				},
				hostCount: func() int { return hosts },
				rounds:    map[string]startRound{},
			}
			began := time.Now()
			for time.Since(began) < herd {
				rounds.ask(t.Context(), []string{"p", "gone"})
				time.Sleep(time.Millisecond)
			}
			for _, u := range view.List() {
				if want := u.Name == "replaced"; (u.Version == "") != want {
					t.Errorf("%d hosts: %s has version %q", hosts, u.Name, u.Version)
				}
			}
			const round = upstreams + 2
			if atMost := startRate*int(herd/time.Second) + round*hosts; int(asked.Load())*hosts > atMost {
				t.Errorf("%d hosts ask %d times in a second, at most %d expected", hosts, int(asked.Load())*hosts, atMost)
			}
			ctx, cancel := context.WithTimeout(t.Context(), answer/2)
			defer cancel()
			time.Sleep(time.Minute)
			began = time.Now()
			rounds.ask(ctx, []string{"p"})
			if took := time.Since(began); took > answer {
				t.Errorf("asked for %s", took)
			}
			time.Sleep(time.Second)
		})
	}
}
