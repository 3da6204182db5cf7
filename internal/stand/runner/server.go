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
	maxCallBytes = 16 << 20
	// crashRestart is how long a crashed upstream is away.
	crashRestart = 500 * time.Millisecond
	prefixBytes  = 32
	cachedPrefix = 256
)

// Spec says how an upstream behaves when healthy.
type Spec struct {
	Name string
	// Service is the time that a unary call, or an engine's prefill, holds a slot.
	Service time.Duration
	// Token is the time between two tokens of an engine with an empty batch.
	Token time.Duration
	// Tokens is the length of an engine's answer where the call names none.
	Tokens int
	Slots  int
}

// Server speaks an upstream's interface over HTTP.
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
	reports   []report
	engine    Engine
}

type report struct {
	at   time.Time
	load stage.Load
}

// New returns a healthy upstream.
func New(spec Spec, faults *fault.Switch, log *RunLog) *Server {
	return &Server{
		Spec:    spec,
		Faults:  faults,
		RunLog:  log,
		queue:   queue.New(spec.Slots),
		cache:   newPrefixCache(cachedPrefix),
		cancels: map[string]context.CancelFunc{},
	}
}

// Crashes returns how often the upstream crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Served returns how many calls the upstream has taken.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// Handler returns the upstream's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stage.PathRun, s.run)
	mux.HandleFunc("POST "+stage.PathGenerate, s.generate)
	mux.HandleFunc("POST "+stage.PathCancel, s.cancel)
	mux.HandleFunc("GET "+stage.PathLoad, s.load)
	mux.HandleFunc("GET "+stage.PathState, s.getState)
	mux.HandleFunc("POST "+stage.PathOrders, s.postOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.misbehave(r.Context())
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) misbehave(ctx context.Context) {
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
		common.Sleep(ctx, f.Slow())
	}
}

// begin decodes a call, waits for a slot and records the run; done gives the slot back.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (call stage.Call, ctx context.Context, done func(), ok bool) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, nil, nil, false
	}
	if s.State().Loading {
		refuse(w, call, "loading", false)
		return call, nil, nil, false
	}
	if s.Faults.Get().Refuse {
		refuse(w, call, "leaving", true)
		return call, nil, nil, false
	}
	ctx, cancel := context.WithCancel(r.Context())
	s.mu.Lock()
	s.cancels[call.AttemptID] = cancel
	s.served++
	s.mu.Unlock()
	forget := func() {
		s.mu.Lock()
		delete(s.cancels, call.AttemptID)
		s.mu.Unlock()
		cancel()
	}
	if !s.queue.Acquire(ctx, call.Urgency) {
		forget()
		panic(http.ErrAbortHandler)
	}
	s.RunLog.Add(call.Stage, call.Input)
	if f := s.Faults.Get(); f.CrashOn != "" && strings.Contains(call.Input, f.CrashOn) {
		s.queue.Release()
		forget()
		s.crash()
		panic(http.ErrAbortHandler)
	}
	return call, ctx, func() {
		s.queue.Release()
		forget()
	}, true
}

// crash ends every call in flight and stays away for a while.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.downUntil = time.Now().Add(crashRestart)
	for _, cancel := range s.cancels {
		cancel()
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	call, ctx, done, ok := s.begin(w, r)
	if !ok {
		return
	}
	defer done()
	began := time.Now()
	if !common.Sleep(ctx, s.Service) {
		panic(http.ErrAbortHandler)
	}
	result := stage.Result{
		AttemptID: call.AttemptID,
		Output:    Output(call.Stage, call.Input),
		BusyMS:    common.Millis(time.Since(began)),
	}
	s.replyUnary(w, result)
}

// replyUnary answers a call, or in chaos answers with another attempt's identity, half a result or none.
func (s *Server) replyUnary(w http.ResponseWriter, result stage.Result) {
	roll, hit := s.Faults.Roll(3)
	if hit && roll == 0 {
		result.AttemptID = "other-" + result.AttemptID
		result.Output = "other-" + result.Output
	}
	if hit && roll == 1 {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if hit && roll == 2 {
		body = body[:len(body)/2]
	}
	// A caller that has gone away needs no answer.
	_, _ = w.Write(body)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var call stage.Call
	if err := json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cancel, ok := s.cancels[call.AttemptID]
	s.mu.Unlock()
	if ok {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults.Get()
	busy, queued := s.queue.Load()
	now := time.Now()
	fresh := stage.Load{
		Busy:    busy,
		Queued:  queued,
		Slots:   s.Slots,
		Leaving: f.Leaving,
	}
	old := s.lagged(now, fresh, time.Duration(f.StaleMS)*time.Millisecond)
	old.Leaving = f.Leaving
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(old)
}

// lagged records the fresh report and returns the one that is lag old.
func (s *Server) lagged(now time.Time, fresh stage.Load, lag time.Duration) stage.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report{
		at:   now,
		load: fresh,
	})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= lag {
		s.reports = s.reports[1:]
	}
	old := s.reports[0]
	old.load.AgeMS = now.Sub(old.at).Milliseconds()
	return old.load
}
