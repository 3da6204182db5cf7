package model

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
)

// worker is a model of a worker: it runs one call at a time, and has room for a number of bytes of results.
type worker struct {
	pool      *Pool
	held      map[string]int64
	heldBytes int64
	// slowness is how many times longer than usual calls take.
	slowness float64
}

func newWorker(p *Pool) *worker {
	return &worker{
		pool:     p,
		held:     map[string]int64{},
		slowness: 1,
	}
}

// begin takes the room for a result. It returns false if there is none.
func (w *worker) begin(handle string, bytes int64) bool {
	if w.heldBytes+bytes > w.pool.Room {
		return false
	}
	w.held[handle] = bytes
	w.heldBytes += bytes
	return true
}

// free gives the room of a result up.
func (w *worker) free(handle string) {
	w.heldBytes -= w.held[handle]
	delete(w.held, handle)
}

// startCall runs a call of the queue at its worker. When it ends, the queue gets the results.
func (s *simulation) startCall(q *queue, c *batch.Call) {
	w := s.workers[c.Upstream.Name]
	took := w.pool.Call.D()
	results := make([]batch.Result, len(c.Items))
	for i, it := range c.Items {
		r := s.requests[it.Request]
		st := r.kind.Stages[it.Stage]
		for _, h := range it.Inputs {
			if !s.holds(h) {
				results[i].Reason = batch.ReasonInputLost
			}
		}
		if results[i].Reason != "" {
			continue
		}
		s.handles++
		handle := handleOf(c.Upstream.Name, s.handles)
		if !w.begin(handle, st.Bytes) {
			results[i].Reason = batch.ReasonNoRoom
			continue
		}
		pieceTime := time.Duration(st.Work * float64(w.pool.Piece))
		took += pieceTime
		r.workTime += pieceTime + w.pool.Call.D()/time.Duration(len(c.Items))
		results[i].Handle = handle
	}
	took = time.Duration(w.slowness * float64(took))
	q.counts.add(c, took)
	s.after(took+2*s.settings.Hop.D(), func() { s.endCall(q, c, results) })
}

func (s *simulation) endCall(q *queue, c *batch.Call, results []batch.Result) {
	w := s.workers[c.Upstream.Name]
	for _, r := range results {
		if r.Handle != "" {
			s.after(w.pool.Retention.D(), func() { w.free(r.Handle) })
		}
	}
	ended, unused := q.q.CompleteCall(s.now, c, results)
	s.freeResults(q, unused)
	s.notify(q, ended)
	s.startCalls(q)
}

// freeResults gives the room of results of a queue up, first in the queue's view and then at the workers.
func (s *simulation) freeResults(q *queue, handles []string) {
	q.q.Free(handles)
	s.after(s.settings.Hop.D(), func() {
		for _, h := range handles {
			s.workers[workerOf(h)].free(h)
		}
	})
}
