package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Engine is what an engine has loaded, and what it was ordered to.
type Engine struct {
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long a load takes.
	LoadTime time.Duration

	state  stage.EngineState
	orders []stage.Order
	until  time.Time
}

// Orders returns the orders that took effect, in their order.
func (s *Server) Orders() []stage.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]stage.Order(nil), s.engine.orders...)
}

// SetEngine sets how the engine treats orders.
func (s *Server) SetEngine(e Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = e
}

// State returns what the engine has loaded.
func (s *Server) State() stage.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.engine.state
	st.Loading = time.Now().Before(s.engine.until)
	return st
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(s.State())
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o stage.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.obey(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if _, hit := s.Faults.Roll(1); hit {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

// obey carries out the order, unless its fencing number is old and the engine checks that.
func (s *Server) obey(o stage.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.engine
	if e.ChecksFencing && o.Fence < e.state.Fence {
		return false
	}
	e.orders = append(e.orders, o)
	e.until = time.Now().Add(e.LoadTime)
	e.state = stage.EngineState{
		Model:    o.Model,
		Version:  o.Version,
		Adapters: o.Adapters,
		Role:     o.Role,
		Fence:    max(o.Fence, e.state.Fence),
	}
	return true
}

// refuse answers a call that the server does not run.
func refuse(w http.ResponseWriter, call stage.Call, reason string, leaving bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(stage.Refusal{
		AttemptID: call.AttemptID,
		Leaving:   leaving,
		Reason:    reason,
	})
}
