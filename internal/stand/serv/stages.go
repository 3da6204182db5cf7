package serv

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Item is one piece of a stage in the body of a stage-run request.
type Item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

type result struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// runPieces records the pieces of a call as run and responds with a handle to the result of each piece. Only the behaviors Full, DropResponse, EndlessHead and EndlessBody affect it, and none of them runs a piece.
func (s *Server) runPieces(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []Item `json:"items"`
	}
	if !s.checkInstance(w, r) || s.turnsAway(w) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b := s.nextBehavior(); b == Full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if b == DropResponse {
		panic(http.ErrAbortHandler)
	} else if b == EndlessHead || b == EndlessBody {
		s.writeEndlessly(w, b)
		return
	}
	var out []result
	s.mu.Lock()
	for _, item := range call.Items {
		s.items = append(s.items, item)
		s.resultSeq++
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", s.addr, item.ID, item.Stage, item.Piece, s.resultSeq)
		s.results[handle] = true
		out = append(out, result{
			Handle: handle,
		})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}

// freeResults deletes the results with the handles in the request.
func (s *Server) freeResults(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range call.Handles {
		delete(s.results, h)
	}
}
