package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/pkg/client"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// ErrDirectCall is returned if the upstream answers a direct call with a status other than 200.
var ErrDirectCall = errors.New("direct call to the upstream failed")

// Target holds the addresses and tokens of the upstream and of the daemon under test.
type Target struct {
	// Direct is the host and port of the upstream that is called directly.
	Direct string
	// Callers and Operators are the base URLs of the daemon.
	Callers   string
	Operators string
	// Account is the token of a client account, and Operator the token of an operator.
	Account  string
	Operator string
	// Pipeline is a pipeline with one stage, which runs on the upstream at Direct.
	Pipeline string
	// Streams is a pipeline with one stage, which runs on an engine.
	Streams string
}

// PathCost compares requests through the daemon with direct calls of the upstream. Latencies are in milliseconds.
type PathCost struct {
	Requests    int     `json:"requests"`
	DirectP50MS float64 `json:"direct_p50_ms"`
	ViaP50MS    float64 `json:"via_p50_ms"`
	AddedP50MS  float64 `json:"added_p50_ms"`
	DirectP99MS float64 `json:"direct_p99_ms"`
	ViaP99MS    float64 `json:"via_p99_ms"`
	Ratio       float64 `json:"ratio"`
	// CorePerThousand is the CPU usage of the daemon at 1,000 requests per second, in cores.
	CorePerThousand float64 `json:"core_per_thousand"`
	AllocsPerReq    float64 `json:"allocs_per_request"`
}

// StreamCost is the CPU time that the daemon needs for concurrent streams.
type StreamCost struct {
	Open         int     `json:"open"`
	Completed    int     `json:"whole"`
	Tokens       int     `json:"tokens"`
	TokensPerSec float64 `json:"tokens_per_second"`
	Cores        float64 `json:"cores"`
	MicrosPerTok float64 `json:"cpu_us_per_token"`
}

// RunPath sends n pairs of sequential calls, one directly to the upstream and one through the daemon, after n/10 pairs of warm-up. It fails on the first call that fails.
func RunPath(ctx context.Context, t Target, n int) (PathCost, error) {
	hc := &http.Client{}
	c := client.New([]string{t.Callers}, t.Account, client.WithHTTP(hc))
	direct := make([]time.Duration, 0, n)
	via := make([]time.Duration, 0, n)
	// Warm-up calls have negative numbers, so that their keys differ from the keys of the measured calls.
	for i := range n / 10 {
		if _, _, err := callPair(ctx, hc, c, t, -i-1); err != nil {
			return PathCost{}, fmt.Errorf("warm up: %w", err)
		}
	}
	before, err := readVars(ctx, t)
	if err != nil {
		return PathCost{}, fmt.Errorf("read metrics: %w", err)
	}
	for i := range n {
		d, v, err := callPair(ctx, hc, c, t, i)
		if err != nil {
			return PathCost{}, fmt.Errorf("measure: %w", err)
		}
		direct = append(direct, d)
		via = append(via, v)
	}
	after, err := readVars(ctx, t)
	if err != nil {
		return PathCost{}, fmt.Errorf("read metrics: %w", err)
	}
	return pathCost(direct, via, before, after), nil
}

func pathCost(direct, via []time.Duration, before, after daemonVars) PathCost {
	slices.Sort(direct)
	slices.Sort(via)
	n := len(via)
	p := PathCost{
		Requests:    n,
		DirectP50MS: common.Millis(direct[n/2]),
		ViaP50MS:    common.Millis(via[n/2]),
		DirectP99MS: common.Millis(direct[n*99/100]),
		ViaP99MS:    common.Millis(via[n*99/100]),
	}
	p.AddedP50MS = p.ViaP50MS - p.DirectP50MS
	p.Ratio = p.ViaP50MS / p.DirectP50MS
	p.CorePerThousand = (after.cpu - before.cpu) / float64(n) * 1000
	p.AllocsPerReq = float64(after.mallocs-before.mallocs) / float64(n)
	return p
}

func callPair(ctx context.Context, hc *http.Client, c *client.Client, t Target, i int) (direct, via time.Duration, err error) {
	began := time.Now()
	if err := callDirect(ctx, hc, t.Direct, i); err != nil {
		return 0, 0, fmt.Errorf("call directly: %w", err)
	}
	direct = time.Since(began)
	began = time.Now()
	_, err = c.Send(ctx, client.Call{
		Pipeline: t.Pipeline,
		Request: wire.Request{
			Input: fmt.Sprintf("bench-%d", i),
		},
		Key: fmt.Sprintf("bench-%d", i),
	}, 0)
	if err != nil {
		return 0, 0, fmt.Errorf("call through the daemon: %w", err)
	}
	return direct, time.Since(began), nil
}

func callDirect(ctx context.Context, hc *http.Client, addr string, i int) error {
	body, err := json.Marshal(stage.Call{
		AttemptID: fmt.Sprintf("direct-%d", i),
		Stage:     "echo",
		Input:     fmt.Sprintf("bench-%d", i),
	})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+stage.PathRun, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, ErrDirectCall)
	}
	return nil
}

// RunStreams opens the given number of streams at the same time and waits until all have ended. Streams that fail are not counted in Completed.
func RunStreams(ctx context.Context, t Target, open int) (StreamCost, error) {
	hc := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: open,
		},
	}
	defer hc.CloseIdleConnections()
	c := client.New([]string{t.Callers}, t.Account, client.WithHTTP(hc))
	before, err := readVars(ctx, t)
	if err != nil {
		return StreamCost{}, fmt.Errorf("read metrics: %w", err)
	}
	began := time.Now()
	completed, tokens := runStreams(ctx, c, t, open)
	elapsed := time.Since(began).Seconds()
	after, err := readVars(ctx, t)
	if err != nil {
		return StreamCost{}, fmt.Errorf("read metrics: %w", err)
	}
	s := StreamCost{
		Open:         open,
		Completed:    completed,
		Tokens:       tokens,
		TokensPerSec: float64(tokens) / elapsed,
		Cores:        (after.cpu - before.cpu) / elapsed,
	}
	if tokens > 0 {
		s.MicrosPerTok = (after.cpu - before.cpu) * 1e6 / float64(tokens)
	}
	return s, nil
}

func runStreams(ctx context.Context, c *client.Client, t Target, open int) (completed, tokens int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range open {
		wg.Go(func() {
			got := 0
			_, err := c.Send(ctx, client.Call{
				Pipeline: t.Streams,
				Request: wire.Request{
					Input: fmt.Sprintf("stream-%d", i),
				},
				Key:     fmt.Sprintf("stream-%d", i),
				OnToken: func(wire.Token) { got++ },
			}, 0)
			mu.Lock()
			defer mu.Unlock()
			tokens += got
			if err == nil {
				completed++
			}
		})
	}
	wg.Wait()
	return completed, tokens
}
