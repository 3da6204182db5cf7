package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// startRate is the rate at which all hosts together ask the upstreams of a pool for their starts in rounds, in questions per second.
	startRate = 2000
	// minRoundInterval is the shortest time between two rounds of a host.
	minRoundInterval = 50 * time.Millisecond
)

// startRounds asks all upstreams of a pool when they started, as the row of one that started again may not have been written yet. It is safe for concurrent use.
type startRounds struct {
	common.Deps
	view      *follow.Upstreams
	check     func(ctx context.Context, i route.Incarnation) starts.Finding
	hostCount func() int

	mu sync.Mutex
	// rounds holds the last round of each pool.
	rounds map[string]startRound
}

type startRound struct {
	beganAt time.Time
	done    chan struct{}
}

// ask marks the upstreams of the pools as replaced at whose addresses other processes answer. Where the last round of a pool was just before, it waits for that one, so that the questions do not grow with the hosts.
func (s *startRounds) ask(ctx context.Context, pools []string) {
	for _, pool := range pools {
		round, ups, mine := s.join(pool)
		if mine {
			go s.run(context.WithoutCancel(ctx), round, ups)
		}
		defer func() {
			select {
			case <-round.done:
			case <-ctx.Done():
			}
		}()
	}
}

// join returns the round of the pool to wait for, and whether the caller has to run it, with its upstreams.
func (s *startRounds) join(pool string) (round startRound, ups []route.Upstream, mine bool) {
	ups = slices.DeleteFunc(s.view.List(), func(u route.Upstream) bool { return u.Pool != pool || u.StartedAtMS == 0 })
	interval := max(minRoundInterval, time.Duration(s.hostCount()*len(ups))*time.Second/startRate)
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.rounds[pool]; ok && now.Sub(last.beganAt) < interval {
		return last, nil, false
	}
	round = startRound{
		beganAt: now,
		done:    make(chan struct{}),
	}
	s.rounds[pool] = round
	return round, ups, true
}

func (s *startRounds) run(ctx context.Context, round startRound, ups []route.Upstream) {
	defer close(round.done)
	var wg sync.WaitGroup
	for _, u := range ups {
		wg.Go(func() {
			if f, ok := s.check(ctx, u.Incarnation()).(starts.Other); ok {
				s.view.MarkReplaced(u.Incarnation(), f.StartedAtMS)
			}
		})
	}
	wg.Wait()
}
