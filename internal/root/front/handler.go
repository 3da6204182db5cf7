package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

// writeTimeout bounds how long a caller may take to accept one piece of an answer.
const writeTimeout = 10 * time.Second

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", s.post)
	mux.HandleFunc("GET /v1/outcomes/{key}", s.outcome)
	mux.HandleFunc("GET /healthz", s.healthy)
	mux.HandleFunc("GET /readyz", s.ready)
	return mux
}

func (s *Server) post(w http.ResponseWriter, r *http.Request) {
	a, p := s.intake.read(w, r)
	if p != nil {
		writeProblem(w, p.WithRequestID(a.ID))
		return
	}
	if !a.Body.Stream {
		writeReply(w, s.service.Serve(r.Context(), a))
		return
	}
	st := &stream{
		w:  w,
		rc: http.NewResponseController(w),
	}
	a.OnToken = st.token
	st.end(s.service.Serve(r.Context(), a))
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	account, _, p := s.intake.account(r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	writeReply(w, s.service.Lookup(r.Context(), account.Name, r.PathValue("key")))
}

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeReply(w http.ResponseWriter, r Reply) {
	if r.Replayed {
		w.Header().Set(wire.HeaderReplayed, "true")
	}
	if r.Problem != nil {
		writeProblem(w, *r.Problem)
		return
	}
	writeBody(w, http.StatusOK, wire.TypeJSON, r.Answer)
}

func writeProblem(w http.ResponseWriter, p wire.Problem) {
	if p.RetryAfterMS > 0 {
		w.Header().Set(wire.HeaderRetryAfter, wire.RetryAfter(time.Duration(p.RetryAfterMS)*time.Millisecond))
	}
	writeBody(w, p.Status, wire.TypeProblem, p)
}

func writeBody(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A caller that has gone away can ask for the outcome.
	_ = json.NewEncoder(w).Encode(body)
}

// stream sends an answer as server-sent events; until the first one a refusal is still a plain response.
type stream struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	begun bool
}

func (st *stream) token(t wire.Token) error {
	return st.send(wire.EventToken, t)
}

func (st *stream) end(r Reply) {
	if r.Problem != nil && !st.begun {
		writeReply(st.w, r)
		return
	}
	// A caller that has gone away can ask for the outcome.
	if r.Problem != nil {
		_ = st.send(wire.EventProblem, r.Problem)
		return
	}
	if r.Replayed {
		st.w.Header().Set(wire.HeaderReplayed, "true")
	}
	_ = st.send(wire.EventDone, r.Answer)
}

func (st *stream) send(event string, body any) error {
	if !st.begun {
		st.w.Header().Set("Content-Type", wire.TypeStream)
		st.w.Header().Set("Cache-Control", "no-store")
		st.begun = true
	}
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	msg := sse.Message{
		Type: sse.Type(event),
	}
	msg.AppendData(string(data))
	// A connection that cannot take a deadline is bounded by the request's own.
	_ = st.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := msg.WriteTo(st.w); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := st.rc.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}
