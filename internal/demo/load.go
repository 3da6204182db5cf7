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
	// lostAfter is the time after which a request without an outcome counts as lost.
	lostAfter    = 12 * time.Second
	maxIdleConns = 256
)

// Load sends random requests at a constant rate for a limited time.
type Load struct {
	// BaseURLs returns the base URLs of the daemons that accept requests. It is called for each request.
	BaseURLs func() []string
	// Rate is the number of requests per second.
	Rate int
	// Length is the time for which requests are sent.
	Length time.Duration
	// Seed determines the requests, but not the order in which a client tries the daemons.
	Seed     uint64
	Recorder *Recorder
}

// Run sends the requests and returns once each has an outcome or counts as lost. If ctx ends, requests in flight are canceled.
func (l Load) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed))
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
	}
	defer transport.CloseIdleConnections()
	hc := &http.Client{
		Transport: transport,
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.Rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	end := time.Now().Add(l.Length)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		req := NewWorkloadRequest(rng, n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(ctx, hc, req)
		}()
		<-ticker.C
	}
	wg.Wait()
}

func (l Load) send(ctx context.Context, hc *http.Client, req WorkloadRequest) {
	ctx, cancel := context.WithTimeout(ctx, lostAfter)
	defer cancel()
	c := client.New(shuffle(l.BaseURLs()), TokenOf(req.Account), client.WithHTTP(hc))
	call := req.Call
	call.Timeout = callTimeout
	var stream tokenCollector
	if call.OnToken != nil {
		call.OnToken = stream.add
	}
	began := time.Now()
	a, err := c.Do(ctx, call)
	text := a.Output
	if call.OnToken != nil {
		text = stream.text.String()
	}
	l.Recorder.Add(req, a, text, stream.gaps, time.Since(began), err)
}

func shuffle(urls []string) []string {
	rand.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	return urls
}
