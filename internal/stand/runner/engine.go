package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stage"
)

// cacheSpeedup is how many times faster the prefill of a cached prefix is.
const cacheSpeedup = 4

// Ways in which chaos spoils one token of a stream.
const (
	chaosDouble = iota
	chaosSkip
	chaosOther
	chaosCut
	chaosKinds
)

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	call, ctx, done, ok := s.begin(w, r)
	if !ok {
		return
	}
	defer done()
	began := time.Now()
	prefill := s.Service
	if s.cache.touch(call.Input[:min(prefixBytes, len(call.Input))]) {
		prefill /= cacheSpeedup
	}
	if !common.Sleep(ctx, prefill) {
		panic(http.ErrAbortHandler)
	}
	total := call.MaxTokens
	if total == 0 {
		total = s.Tokens
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := call.ResumeFrom; i < total; i++ {
		if !common.Sleep(ctx, s.tokenTime()) {
			panic(http.ErrAbortHandler)
		}
		s.sendToken(w, call, i)
	}
	send(w, stage.EventDone, stage.Result{
		AttemptID: call.AttemptID,
		Tokens:    total,
		BusyMS:    common.Millis(time.Since(began)),
	})
}

// tokenTime grows with the batch, up to half as much again.
func (s *Server) tokenTime() time.Duration {
	busy, _ := s.queue.Load()
	return s.Token + s.Token*time.Duration(busy)/time.Duration(2*s.Slots)
}

func (s *Server) sendToken(w http.ResponseWriter, call stage.Call, i int) {
	token := stage.Token{
		AttemptID: call.AttemptID,
		Index:     i,
		Text:      TokenText(call.Input, i),
	}
	roll, hit := s.Faults.Roll(chaosKinds * 8)
	if !hit {
		send(w, stage.EventToken, token)
		return
	}
	switch roll {
	case chaosDouble:
		send(w, stage.EventToken, token)
	case chaosSkip:
		return
	case chaosOther:
		token.AttemptID = "other-" + token.AttemptID
	case chaosCut:
		panic(http.ErrAbortHandler)
	}
	send(w, stage.EventToken, token)
}

func send(w http.ResponseWriter, event string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	msg := sse.Message{
		Type: sse.Type(event),
	}
	msg.AppendData(string(data))
	if _, err := msg.WriteTo(w); err != nil {
		panic(http.ErrAbortHandler)
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
