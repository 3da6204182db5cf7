package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

// writeTimeout limits how long the write of one event of a streamed answer may block.
const writeTimeout = 10 * time.Second

// Handler returns the HTTP handler for the callers' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", s.handleRequest)
	mux.HandleFunc("GET /v1/outcomes/{key}", s.handleOutcome)
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /readyz", s.handleReady)
	return mux
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	req, p := s.reader.read(w, r)
	if p != nil {
		writeProblem(w, p.WithRequestID(req.ID))
		return
	}
	if !req.Body.Stream {
		writeReply(w, s.service.Serve(r.Context(), req))
		return
	}
	st := &eventStream{
		w:  w,
		rc: http.NewResponseController(w),
	}
	req.OnToken = st.sendToken
	st.finish(s.service.Serve(r.Context(), req))
}

func (s *Server) handleOutcome(w http.ResponseWriter, r *http.Request) {
	account, _, p := s.reader.account(r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	writeReply(w, s.service.Lookup(r.Context(), account.Name, r.PathValue("key")))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.unreadyReason(); reason != "" {
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
	// The error is ignored: a caller that has disconnected can look up the outcome by its key.
	_ = json.NewEncoder(w).Encode(body)
}

// eventStream sends an answer as server-sent events. A problem that occurs before the first event is sent as a plain response.
type eventStream struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	started bool
}

func (st *eventStream) sendToken(t wire.Token) error {
	return st.send(wire.EventToken, t)
}

// finish sends the last event, or a plain response for a problem if no event was sent.
func (st *eventStream) finish(r Reply) {
	if r.Problem != nil && !st.started {
		writeReply(st.w, r)
		return
	}
	// Errors of the last event are ignored: a caller that has disconnected can look up the outcome by its key.
	if r.Problem != nil {
		_ = st.send(wire.EventProblem, r.Problem)
		return
	}
	if r.Replayed {
		st.w.Header().Set(wire.HeaderReplayed, "true")
	}
	_ = st.send(wire.EventDone, r.Answer)
}

// send writes and flushes one event, preceded by the response headers if it is the first.
func (st *eventStream) send(event string, body any) error {
	if !st.started {
		st.w.Header().Set("Content-Type", wire.TypeStream)
		st.w.Header().Set("Cache-Control", "no-store")
		st.started = true
	}
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	msg := sse.Message{
		Type: sse.Type(event),
	}
	msg.AppendData(string(data))
	// If the connection does not support deadlines, the deadline of the request applies.
	_ = st.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := msg.WriteTo(st.w); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := st.rc.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}
