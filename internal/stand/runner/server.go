package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stage"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
	"github.com/cornelwing/cornelwing/internal/stand/queue"
)

const (
	maxBodyBytes = 16 << 20
	// restartDelay is how long an upstream is unavailable after a crash.
	restartDelay      = 500 * time.Millisecond
	prefixBytes       = 32
	maxCachedPrefixes = 256
)

// Spec describes an upstream's behavior without faults.
type Spec struct {
	Name string
	// Service is how long a unary call, or an engine's prefill, occupies a slot.
	Service time.Duration
	// Token is the time between two tokens of an engine with an empty batch; tokenInterval adds to it for busy slots.
	Token time.Duration
	// Tokens is the number of tokens that an engine generates if the call sets no max_tokens.
	Tokens int
	Slots  int
}

// Server is an upstream with its HTTP API.
type Server struct {
	Spec
	Faults *fault.Switch
	RunLog *RunLog

	queue *queue.Queue
	cache *prefixCache

	mu        sync.Mutex
	served    int
	crashes   int
	downUntil time.Time
	cancels   map[string]context.CancelFunc
	reports   []loadReport
	engine    Engine
}

type loadReport struct {
	at   time.Time
	load stage.Load
}

// New returns an upstream that injects the faults of the switch and records its runs in log.
func New(spec Spec, faults *fault.Switch, log *RunLog) *Server {
	return &Server{
		Spec:    spec,
		Faults:  faults,
		RunLog:  log,
		queue:   queue.New(spec.Slots),
		cache:   newPrefixCache(maxCachedPrefixes),
		cancels: map[string]context.CancelFunc{},
	}
}

// Crashes returns how many times the upstream has crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Served returns how many calls the upstream has accepted, including those that ended while they waited for a slot.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// Handler returns the HTTP handler of the upstream's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stage.PathRun, s.runAttempt)
	mux.HandleFunc("POST "+stage.PathGenerate, s.streamTokens)
	mux.HandleFunc("POST "+stage.PathCancel, s.cancelAttempt)
	mux.HandleFunc("GET "+stage.PathLoad, s.sendLoad)
	mux.HandleFunc("GET "+stage.PathState, s.sendState)
	mux.HandleFunc("POST "+stage.PathOrders, s.receiveOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.applyFaults(r.Context())
		mux.ServeHTTP(w, r)
	})
}

// applyFaults aborts the connection while the upstream is restarting after a crash, blocks until ctx ends if it is frozen, and delays slow calls.
func (s *Server) applyFaults(ctx context.Context) {
	f := s.Faults.Get()
	s.mu.Lock()
	crashed := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if f.Frozen {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if f.SlowMS > 0 {
		common.Sleep(ctx, f.Delay())
	}
}

// startCall decodes a call, waits for a slot and records the run. If ok is true, the caller must call release to free the slot; if not, the response has been sent.
func (s *Server) startCall(w http.ResponseWriter, r *http.Request) (call stage.Call, ctx context.Context, release func(), ok bool) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, nil, nil, false
	}
	if s.State().Loading {
		writeRefusal(w, call, "loading", false)
		return call, nil, nil, false
	}
	if s.Faults.Get().Refuse {
		writeRefusal(w, call, "leaving", true)
		return call, nil, nil, false
	}
	ctx, cancel := context.WithCancel(r.Context())
	s.mu.Lock()
	s.cancels[call.AttemptID] = cancel
	s.served++
	s.mu.Unlock()
	cleanUp := func() {
		s.mu.Lock()
		delete(s.cancels, call.AttemptID)
		s.mu.Unlock()
		cancel()
	}
	if !s.queue.Acquire(ctx, call.Urgency) {
		cleanUp()
		panic(http.ErrAbortHandler)
	}
	s.RunLog.Add(call.Stage, call.Input)
	if f := s.Faults.Get(); f.CrashOn != "" && strings.Contains(call.Input, f.CrashOn) {
		s.queue.Release()
		cleanUp()
		s.crash()
		panic(http.ErrAbortHandler)
	}
	return call, ctx, func() {
		s.queue.Release()
		cleanUp()
	}, true
}

// crash cancels every call in flight and makes the upstream unavailable for restartDelay.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.downUntil = time.Now().Add(restartDelay)
	for _, cancel := range s.cancels {
		cancel()
	}
}

func (s *Server) runAttempt(w http.ResponseWriter, r *http.Request) {
	call, ctx, release, ok := s.startCall(w, r)
	if !ok {
		return
	}
	defer release()
	start := time.Now()
	if !common.Sleep(ctx, s.Service) {
		panic(http.ErrAbortHandler)
	}
	result := stage.Result{
		AttemptID: call.AttemptID,
		Output:    Output(call.Stage, call.Input),
		BusyMS:    common.Millis(time.Since(start)),
	}
	s.writeResult(w, result)
}

// writeResult sends the result of a call. The Chaos fault makes it send a result of another attempt or half of the result, or close the connection without a response.
func (s *Server) writeResult(w http.ResponseWriter, result stage.Result) {
	roll, chaos := s.Faults.RollChaos(3)
	if chaos && roll == 0 {
		result.AttemptID = "other-" + result.AttemptID
		result.Output = "other-" + result.Output
	}
	if chaos && roll == 1 {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if chaos && roll == 2 {
		body = body[:len(body)/2]
	}
	// A write error means that the client has disconnected and needs no response.
	_, _ = w.Write(body)
}

func (s *Server) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	var call stage.Call
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cancelAttempt, ok := s.cancels[call.AttemptID]
	s.mu.Unlock()
	if ok {
		cancelAttempt()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) sendLoad(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults.Get()
	busy, queued := s.queue.Load()
	now := time.Now()
	current := stage.Load{
		Busy:    busy,
		Queued:  queued,
		Slots:   s.Slots,
		Leaving: f.Leaving,
	}
	delayed := s.delayedReport(now, current, time.Duration(f.StaleMS)*time.Millisecond)
	delayed.Leaving = f.Leaving
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(delayed)
}

// delayedReport records the current report and returns the newest report that is at least lag old. If no report is that old, it returns the oldest report.
func (s *Server) delayedReport(now time.Time, current stage.Load, lag time.Duration) stage.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, loadReport{
		at:   now,
		load: current,
	})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= lag {
		s.reports = s.reports[1:]
	}
	delayed := s.reports[0]
	delayed.load.AgeMS = now.Sub(delayed.at).Milliseconds()
	return delayed.load
}
