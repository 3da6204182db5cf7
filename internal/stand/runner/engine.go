package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/stage"
)

// cachedPrefillSpeedup is the factor by which the prefill is faster if the prompt's prefix is cached.
const cachedPrefillSpeedup = 4

// The Chaos fault alters one token of a stream in one of these ways. A random number of chaosKindCount or more leaves the token unchanged.
const (
	chaosDuplicate = iota
	chaosSkip
	chaosWrongAttempt
	chaosAbort
	chaosKindCount
)

func (s *Server) streamTokens(w http.ResponseWriter, r *http.Request) {
	call, ctx, release, ok := s.startCall(w, r)
	if !ok {
		return
	}
	defer release()
	if version := s.State().Version; call.Version != "" && call.Version != version {
		writeVersionRefusal(w, call, version)
		return
	}
	start := time.Now()
	prefill := s.Service
	if s.cache.touch(call.Input[:min(prefixBytes, len(call.Input))]) {
		prefill /= cachedPrefillSpeedup
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
		if !common.Sleep(ctx, s.tokenInterval()) {
			panic(http.ErrAbortHandler)
		}
		s.writeToken(w, call, i)
	}
	writeEvent(w, stage.EventDone, stage.Result{
		AttemptID: call.AttemptID,
		Tokens:    total,
		BusyMS:    common.Millis(time.Since(start)),
	})
}

// tokenInterval returns the time between two tokens. It grows with the number of busy slots, to 1.5 times Token when all are busy.
func (s *Server) tokenInterval() time.Duration {
	busy, _ := s.queue.Load()
	return s.Token + s.Token*time.Duration(busy)/time.Duration(2*s.Slots)
}

// writeToken sends token i of the stream. The Chaos fault can duplicate, skip or relabel the token, or close the connection instead.
func (s *Server) writeToken(w http.ResponseWriter, call stage.Call, i int) {
	token := stage.Token{
		AttemptID: call.AttemptID,
		Index:     i,
		Text:      TokenText(call.Input, i),
		Version:   s.State().Version,
	}
	roll, chaos := s.Faults.RollChaos(chaosKindCount * 8)
	if !chaos {
		writeEvent(w, stage.EventToken, token)
		return
	}
	switch roll {
	case chaosDuplicate:
		writeEvent(w, stage.EventToken, token)
	case chaosSkip:
		return
	case chaosWrongAttempt:
		token.AttemptID = "other-" + token.AttemptID
	case chaosAbort:
		panic(http.ErrAbortHandler)
	}
	writeEvent(w, stage.EventToken, token)
}

func writeEvent(w http.ResponseWriter, event string, body any) {
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
