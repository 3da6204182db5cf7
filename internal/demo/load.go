package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/pkg/client"
)

const (
	callTimeout = 8 * time.Second
	// giveUpAfter is when a caller counts a request without any outcome as lost.
	giveUpAfter = 12 * time.Second
	idleConns   = 256
)

// Load sends a bounded workload at a steady pace.
type Load struct {
	Hosts    func() []string
	Rate     int
	For      time.Duration
	Seed     uint64
	Recorder *Recorder
}

// Run sends the workload and returns once every request has an outcome.
func (l Load) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed))
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConns,
	}
	defer transport.CloseIdleConnections()
	hc := &http.Client{
		Transport: transport,
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.Rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	end := time.Now().Add(l.For)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		o := NewOrder(rng, n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(ctx, hc, o)
		}()
		<-ticker.C
	}
	wg.Wait()
}

func (l Load) send(ctx context.Context, hc *http.Client, o Order) {
	ctx, cancel := context.WithTimeout(ctx, giveUpAfter)
	defer cancel()
	c := client.New(shuffled(l.Hosts()), TokenOf(o.Account), client.WithHTTP(hc))
	call := o.Call
	call.Timeout = callTimeout
	var got streamed
	if call.OnToken != nil {
		call.OnToken = got.token
	}
	began := time.Now()
	a, err := c.Do(ctx, call)
	text := a.Output
	if call.OnToken != nil {
		text = got.text.String()
	}
	l.Recorder.Add(o, a, text, got.gaps, time.Since(began), err)
}

func shuffled(hosts []string) []string {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}
