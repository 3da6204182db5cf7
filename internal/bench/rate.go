package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/pkg/client"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	// burstInterval is the time between two bursts of the open-loop sender.
	burstInterval = 10 * time.Millisecond
	maxIdleConns  = 64
)

// RateCost is the CPU usage of the daemon under a constant request rate.
type RateCost struct {
	PerSecond    float64 `json:"per_second"`
	Answered     int     `json:"answered"`
	Sent         int     `json:"sent"`
	Cores        float64 `json:"cores"`
	AllocsPerReq float64 `json:"allocs_per_request"`
}

// RunRate sends small requests at a constant rate for the duration. It is an open-loop load: a request is sent even if earlier requests have not ended.
func RunRate(ctx context.Context, t Target, perSecond int, duration time.Duration) (RateCost, error) {
	hc := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
		},
	}
	defer hc.CloseIdleConnections()
	c := client.New([]string{t.Callers}, t.Account, client.WithHTTP(hc))
	before, err := readVars(ctx, t)
	if err != nil {
		return RateCost{}, fmt.Errorf("read metrics: %w", err)
	}
	began := time.Now()
	sent, answered := sendSteadily(ctx, c, t, perSecond, duration)
	elapsed := time.Since(began).Seconds()
	after, err := readVars(ctx, t)
	if err != nil {
		return RateCost{}, fmt.Errorf("read metrics: %w", err)
	}
	return RateCost{
		PerSecond:    float64(sent) / elapsed,
		Answered:     answered,
		Sent:         sent,
		Cores:        (after.cpu - before.cpu) / elapsed,
		AllocsPerReq: float64(after.mallocs-before.mallocs) / float64(max(1, sent)),
	}, nil
}

func sendSteadily(ctx context.Context, c *client.Client, t Target, perSecond int, duration time.Duration) (sent, answered int) {
	ticker := time.NewTicker(burstInterval)
	defer ticker.Stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	burst := int(float64(perSecond) * burstInterval.Seconds())
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		for range burst {
			n := sent
			sent++
			wg.Go(func() {
				_, err := c.Send(ctx, client.Call{
					Pipeline: t.Pipeline,
					Request: wire.Request{
						Input: fmt.Sprintf("rate-%d", n),
					},
					Key: fmt.Sprintf("rate-%d", n),
				}, 0)
				if err == nil {
					mu.Lock()
					defer mu.Unlock()
					answered++
				}
			})
		}
	}
	wg.Wait()
	return sent, answered
}
