package serv

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/serve"
)

// crashDelay is how long a server that crashes after the head of its response still runs.
const crashDelay = 20 * time.Millisecond

// respond handles a request with behavior b. The caller has already recorded the request as run.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, b Behavior) {
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", "stamp."+s.ID)
	time.Sleep(s.WorkTime)
	s.stateLoad(w)
	if s.Unframed {
		// net/http then neither adds a length nor uses chunks.
		h.Set("Transfer-Encoding", "identity")
	}
	switch b {
	case DropResponse:
		panic(http.ErrAbortHandler)
	case Crash:
		s.exit()
	case CrashAfterHead:
		_ = http.NewResponseController(w).Flush()
		time.Sleep(crashDelay)
		s.exit()
	case EndlessHead, EndlessLine, EndlessBody, EndlessEvent:
		s.writeEndlessly(w, b)
		return
	case Hang:
		<-r.Context().Done()
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return
	case RejectAtDeadline:
		s.rejectAtDeadline(w, r)
		return
	case OtherRequestID:
		h.Set("Request-Id", "another")
	case NoStamp:
		h.Del("Server-Stamp")
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case RespondTwice:
		s.writeTwoResponses(w, id)
		return
	case StatusZero, BlankInName:
		s.writeNoResponse(w, b)
		return
	case TruncateHead:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if s.Events > 0 {
		s.writeStream(w, r, b)
		return
	}
	s.writePlain(w, id, b)
}

func (s *Server) rejectAtDeadline(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
	}
	w.Header().Del("Server-Stamp")
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Body returns the plain body of the response to the request with the id.
func (s *Server) Body(id string) string {
	body := "body of " + id
	return body + strings.Repeat(".", max(0, s.BodyBytes-len(body)))
}

// writePlain sends a plain body. With the behaviors Truncate and Reset, it ends the connection before the last byte. Truncate states the length of the whole body first, even if responses are unframed, as nothing else would show that a part is missing.
func (s *Server) writePlain(w http.ResponseWriter, id string, b Behavior) {
	body := s.Body(id)
	if b == Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if b == Truncate || b == Reset || b == Exit {
		body = body[:len(body)-1]
	}
	// A write error means that the client has disconnected and needs no response.
	_, _ = io.WriteString(w, body)
	if b == Truncate || b == Reset || b == Exit || b == ExitAfterResponse {
		// Without a flush, a short body and the head before it would not be sent at all.
		_ = http.NewResponseController(w).Flush()
	}
	switch b {
	case Truncate:
		panic(http.ErrAbortHandler)
	case Reset:
		// If the client has disconnected, there is no connection left to reset.
		_ = serve.ResetConn(w)
	case Exit, ExitAfterResponse:
		s.exit()
	}
}

// exit ends the server with its listener and all connections, including the one of the request, as if its process was killed. It does not return.
func (s *Server) exit() {
	if s.End != nil {
		s.End()
	}
	_ = s.http.Close()
	panic(http.ErrAbortHandler)
}

// rawHead returns the status line and the headers of a successful response, without the empty line that ends them.
func rawHead(h http.Header) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	// A Builder returns no errors.
	_ = h.Write(&b)
	return b.String()
}

// writeTwoResponses writes two complete responses to the connection.
func (s *Server) writeTwoResponses(w http.ResponseWriter, id string) {
	text := "body of " + id
	response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", rawHead(w.Header()), len(text), text)
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	// Write errors are ignored, as the connection is closed right afterwards.
	_, _ = buf.WriteString(response + response)
	_ = buf.Flush()
}

// writeNoResponse writes bytes to the connection that are no response, though a lenient reader takes them for one.
func (s *Server) writeNoResponse(w http.ResponseWriter, b Behavior) {
	text := rawHead(w.Header())
	if b == StatusZero {
		text = strings.Replace(text, " 200 ", " 000 ", 1) + "Content-Length: 1\r\n\r\nx"
	} else {
		text += "Transfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	// Write errors are ignored, as the connection is closed right afterwards.
	_, _ = buf.WriteString(text)
	_ = buf.Flush()
}

// lastEvent returns the number of the event after which a stream begins.
func (s *Server) lastEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil || s.IgnoresLastEvent {
		return 0
	}
	return last
}

// eventText returns the text of the event with the number in a stream.
func (s *Server) eventText(event int) string {
	text := fmt.Sprintf("data: piece %d%s\n\n", event, s.EventSuffix)
	if s.HasID == nil || s.HasID(event) {
		text = fmt.Sprintf("id: %d\n%s", event, text)
	}
	if event == s.RepeatedEvent {
		text += text
	}
	return text
}

// writeStream sends the events after the one named by the Last-Event-Id header. With the behaviors Truncate and Reset, it ends the connection after half of them.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, b Behavior) {
	w.Header().Set("Content-Type", "text/event-stream")
	last := s.lastEvent(r)
	rc := http.NewResponseController(w)
	for i := last + 1; i <= s.Events; i++ {
		middle := i == (last+s.Events+1)/2
		time.Sleep(s.EventDelay)
		switch {
		case b == Truncate && middle:
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", i)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		case b == Reset && middle:
			// If the client has disconnected, there is no connection left to reset.
			_ = serve.ResetConn(w)
			return
		case b == Exit && middle:
			s.exit()
		}
		// A write error means that the client has disconnected and needs no response.
		_, _ = io.WriteString(w, s.eventText(i))
		_ = rc.Flush()
	}
	if b == ExitAfterResponse {
		s.exit()
	}
}

// endlessInterval is the pause between two writes of a response without an end, and endlessBytes the size of each.
const (
	endlessInterval = 5 * time.Millisecond
	endlessBytes    = 64 << 10
)

// writeEndlessly writes a response without an end until the client closes the connection.
func (s *Server) writeEndlessly(w http.ResponseWriter, b Behavior) {
	head := rawHead(w.Header())
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	chunk := fmt.Sprintf("%x\r\n", endlessBytes)
	var part string
	switch b {
	case EndlessHead:
		part = strings.Repeat("X-Filler: "+strings.Repeat("a", 52)+"\r\n", endlessBytes/64)
	case EndlessLine:
		head += "X-Filler: "
		part = strings.Repeat("a", endlessBytes)
	case EndlessBody:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		part = chunk + strings.Repeat("a", endlessBytes) + "\r\n"
	case EndlessEvent:
		head += "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"
		part = chunk + strings.Repeat("data: aaaaaaaaa\n", endlessBytes/16) + "\r\n"
	}
	// The buffer is flushed with each part; an error of the first write shows there.
	_, _ = buf.WriteString(head)
	for {
		n, err := buf.WriteString(part)
		if err == nil {
			err = buf.Flush()
		}
		s.mu.Lock()
		s.endless += n
		s.mu.Unlock()
		if err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}

// EndlessBytes returns how many bytes the server has written in responses without an end.
func (s *Server) EndlessBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endless
}
