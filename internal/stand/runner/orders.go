package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cornelwing/cornelwing/internal/stage"
)

// Engine holds the state of a model engine and the orders that it has applied.
type Engine struct {
	// ChecksFencing makes the engine reject an order whose fencing number is lower than one that it has received.
	ChecksFencing bool
	// LoadTime is how long the engine takes to load the model and adapters named in an order.
	LoadTime time.Duration

	state        stage.EngineState
	orders       []stage.Order
	loadingUntil time.Time
}

// Orders returns the orders that took effect, oldest first.
func (s *Server) Orders() []stage.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]stage.Order(nil), s.engine.orders...)
}

// SetEngine replaces the engine's configuration and discards its state and orders.
func (s *Server) SetEngine(e Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = e
}

// State returns the model, version, adapters, role and fencing number of the engine, and whether it is still loading.
func (s *Server) State() stage.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.engine.state
	st.Loading = time.Now().Before(s.engine.loadingUntil)
	return st
}

func (s *Server) sendState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(s.State())
}

func (s *Server) receiveOrder(w http.ResponseWriter, r *http.Request) {
	var o stage.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if _, chaos := s.Faults.RollChaos(1); chaos {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder carries out the order and returns true. If the engine checks fencing numbers and the order's number is lower than the highest number received, it returns false without effect.
func (s *Server) applyOrder(o stage.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.engine
	if e.ChecksFencing && o.Fence < e.state.Fence {
		return false
	}
	e.orders = append(e.orders, o)
	e.loadingUntil = time.Now().Add(e.LoadTime)
	e.state = stage.EngineState{
		Model:    o.Model,
		Version:  o.Version,
		Adapters: o.Adapters,
		Role:     o.Role,
		Fence:    max(o.Fence, e.state.Fence),
	}
	return true
}

// writeRefusal responds to a call that the server does not run.
func writeRefusal(w http.ResponseWriter, call stage.Call, reason string, leaving bool) {
	sendRefusal(w, stage.Refusal{
		AttemptID: call.AttemptID,
		Leaving:   leaving,
		Reason:    reason,
	})
}

// writeVersionRefusal responds to a call that the server does not run, as its model has the version and not the one that the call asks for.
func writeVersionRefusal(w http.ResponseWriter, call stage.Call, version string) {
	sendRefusal(w, stage.Refusal{
		AttemptID: call.AttemptID,
		Reason:    "model has version " + version,
		Version:   version,
	})
}

func sendRefusal(w http.ResponseWriter, refusal stage.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(refusal)
}
