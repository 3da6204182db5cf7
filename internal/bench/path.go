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

// ErrDirect says that the upstream did not answer a direct call.
var ErrDirect = errors.New("upstream did not answer")

// Target names the two ends that are compared.
type Target struct {
	// Direct is the address of an upstream, Callers and Operators are base URLs of a daemon.
	Direct    string
	Callers   string
	Operators string
	// Account and Operator are the tokens.
	Account  string
	Operator string
	// Pipeline has one stage, on the upstream that Direct names.
	Pipeline string
	// Streams is a pipeline with one stage on an engine.
	Streams string
}

// Path is the cost of the path for one request.
type Path struct {
	Requests    int     `json:"requests"`
	DirectP50MS float64 `json:"direct_p50_ms"`
	ViaP50MS    float64 `json:"via_p50_ms"`
	AddedP50MS  float64 `json:"added_p50_ms"`
	DirectP99MS float64 `json:"direct_p99_ms"`
	ViaP99MS    float64 `json:"via_p99_ms"`
	Ratio       float64 `json:"ratio"`
	// CorePerThousand is the daemon's processor time at 1,000 requests a second, in cores.
	CorePerThousand float64 `json:"core_per_thousand"`
	AllocsPerReq    float64 `json:"allocs_per_request"`
}

// Streams is the cost of open streams.
type Streams struct {
	Open         int     `json:"open"`
	Whole        int     `json:"whole"`
	Tokens       int     `json:"tokens"`
	TokensPerSec float64 `json:"tokens_per_second"`
	Cores        float64 `json:"cores"`
	MicrosPerTok float64 `json:"cpu_us_per_token"`
}

// RunPath sends pairs of calls in turn, one to the upstream directly and one through the daemon.
func RunPath(ctx context.Context, t Target, n int) (Path, error) {
	hc := &http.Client{}
	c := client.New([]string{t.Callers}, t.Account, client.WithHTTP(hc))
	direct := make([]time.Duration, 0, n)
	via := make([]time.Duration, 0, n)
	for i := range n / 10 {
		if _, _, err := pair(ctx, hc, c, t, -i-1); err != nil {
			return Path{}, fmt.Errorf("warm up: %w", err)
		}
	}
	before, err := readVars(ctx, t)
	if err != nil {
		return Path{}, fmt.Errorf("read metrics: %w", err)
	}
	for i := range n {
		d, v, err := pair(ctx, hc, c, t, i)
		if err != nil {
			return Path{}, fmt.Errorf("measure: %w", err)
		}
		direct = append(direct, d)
		via = append(via, v)
	}
	after, err := readVars(ctx, t)
	if err != nil {
		return Path{}, fmt.Errorf("read metrics: %w", err)
	}
	return pathOf(direct, via, before, after), nil
}

func pathOf(direct, via []time.Duration, before, after vars) Path {
	slices.Sort(direct)
	slices.Sort(via)
	n := len(via)
	p := Path{
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

func pair(ctx context.Context, hc *http.Client, c *client.Client, t Target, i int) (direct, via time.Duration, err error) {
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
		return fmt.Errorf("encode call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+stage.PathRun, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	resp, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("send call: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read result: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, ErrDirect)
	}
	return nil
}

// RunStreams holds a number of streams open at the same time until each has ended.
func RunStreams(ctx context.Context, t Target, open int) (Streams, error) {
	hc := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: open,
		},
	}
	defer hc.CloseIdleConnections()
	c := client.New([]string{t.Callers}, t.Account, client.WithHTTP(hc))
	before, err := readVars(ctx, t)
	if err != nil {
		return Streams{}, fmt.Errorf("read metrics: %w", err)
	}
	began := time.Now()
	whole, tokens := stream(ctx, c, t, open)
	took := time.Since(began).Seconds()
	after, err := readVars(ctx, t)
	if err != nil {
		return Streams{}, fmt.Errorf("read metrics: %w", err)
	}
	s := Streams{
		Open:         open,
		Whole:        whole,
		Tokens:       tokens,
		TokensPerSec: float64(tokens) / took,
		Cores:        (after.cpu - before.cpu) / took,
	}
	if tokens > 0 {
		s.MicrosPerTok = (after.cpu - before.cpu) * 1e6 / float64(tokens)
	}
	return s, nil
}

func stream(ctx context.Context, c *client.Client, t Target, open int) (whole, tokens int) {
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
				whole++
			}
		})
	}
	wg.Wait()
	return whole, tokens
}
