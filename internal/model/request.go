package model

import (
	"math"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/graph"
)

// localityBytes is the size from which results draw the work that needs them to their failure domain.
const localityBytes = 256 << 10

// request is one attempt of a caller.
type request struct {
	id    string
	kind  *Kind
	host  *host
	graph graph.Request
	// firstArrived is when the caller's first attempt arrived.
	firstArrived time.Time
	retries      int
	// domain is the failure domain in which the results are wanted.
	domain  string
	results []batch.Completed
	done    []bool
	// freed reports which results need not be freed by the request any more.
	freed    []bool
	workTime time.Duration
	cancel   canceler
	ended    bool
}

// draw returns a number of pieces.
func (s *simulation) draw(st Stage) int {
	if s.arrivals.Float64() >= st.Share {
		return 0
	}
	n := int(math.Round(st.Pieces * math.Exp(s.arrivals.NormFloat64()*st.Spread-st.Spread*st.Spread/2)))
	n = max(1, n)
	if st.Max > 0 {
		n = min(n, st.Max)
	}
	return n
}

// arrive lets a caller's request arrive at a host. pieces and firstArrived are those of its first attempt.
func (s *simulation) arrive(k *Kind, pieces []int, firstArrived time.Time, retries int) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	s.attempts++
	r := &request{
		id:   requestID(s.attempts),
		kind: k,
		host: h,
		graph: graph.Request{
			Plan:     s.plan,
			Route:    s.routes[k.Name],
			Pieces:   pieces,
			Arrived:  s.now,
			Deadline: s.now.Add(k.Deadline.D()),
		},
		firstArrived: firstArrived,
		retries:      retries,
		domain:       s.settings.Domains[s.rng.IntN(len(s.settings.Domains))],
		results:      make([]batch.Completed, len(k.Stages)),
		done:         make([]bool, len(k.Stages)),
		freed:        make([]bool, len(k.Stages)),
	}
	s.requests[r.id] = r
	if s.options.LeaveShare > 0 && s.rng.Float64() < s.options.LeaveShare {
		s.after(s.options.LeaveAfter, func() { s.leave(r) })
	}
	if !r.graph.NeedsStages() {
		s.runEngine(r)
		return
	}
	for i, st := range k.Stages {
		r.done[i] = r.graph.PieceCount(i) == 0
		if !r.done[i] && len(st.After) == 0 {
			s.after(r.graph.StartDelay(s.now, &h.times, i), func() { s.runStage(r, i) })
		}
	}
}

// runStage sends the work of a stage.
func (s *simulation) runStage(r *request, i int) {
	if r.ended {
		return
	}
	startedAt := s.now
	w := s.workOf(r, i)
	candidates := r.host.picker.Candidates(s.now, w, s.shards[w.Pool], r.host.domain)
	s.submit(r.host, w, candidates, &r.cancel, func(o batch.Outcome, queue string) {
		switch o := o.(type) {
		case batch.Completed:
			o.Queue = queue
			s.stageDone(r, i, startedAt, o)
		case batch.Refused:
			s.fail(r, o.After)
		default:
			s.fail(r, s.settings.Hop.D())
		}
	})
}

func (s *simulation) workOf(r *request, i int) batch.Work {
	st := r.kind.Stages[i]
	soft, hard := r.graph.TimeLeft(s.now, &r.host.times, i)
	w := batch.Work{
		Pool:        st.Pool,
		Request:     r.id,
		Stage:       i,
		ResultBytes: st.Bytes,
		Rank:        r.kind.Rank,
		Domain:      r.domain,
		SoftTimeout: soft,
		HardTimeout: hard,
	}
	if r.graph.CanWait() {
		s.askForRoom(r, &w)
	}
	var inputs []string
	for _, a := range st.After {
		inputs = append(inputs, r.results[a].Handles...)
		if bytes := r.kind.Stages[a].Bytes * int64(len(r.results[a].Handles)); bytes >= localityBytes {
			w.Domain = r.results[a].Domain
			w.TransferBytes = bytes
		}
		if len(r.results[a].Handles) > 0 && r.graph.IsSoleConsumer(i, a) {
			w.Released = append(w.Released, batch.Released{
				Queue:   r.results[a].Queue,
				Handles: r.results[a].Handles,
			})
		}
	}
	for p := range r.graph.PieceCount(i) {
		w.Pieces = append(w.Pieces, batch.Piece{
			Index:  p,
			Inputs: inputs,
		})
	}
	return w
}

// askForRoom adds to the first work of a request what all of its stages need, and to other work that this was reserved.
func (s *simulation) askForRoom(r *request, w *batch.Work) {
	lead := r.graph.LeadStage()
	if w.Stage == lead {
		w.AdmitWithin = r.graph.AdmitWithin(s.now, &r.host.times, w.Stage)
		w.Chain = r.graph.Needs(s.now, &r.host.times)
		return
	}
	w.Reserved = true
	st := r.kind.Stages[w.Stage]
	if len(st.After) > 0 && r.done[lead] && st.Bytes*int64(r.graph.PieceCount(w.Stage)) < localityBytes {
		w.Domain = r.results[lead].Domain
	}
}

func (s *simulation) stageDone(r *request, i int, startedAt time.Time, o batch.Completed) {
	if r.ended {
		s.freeResults(s.queues[o.Queue], o.Handles)
		return
	}
	r.results[i] = o
	r.done[i] = true
	r.host.times.Observe(s.now, r.kind.Stages[i].Pool, i, s.now.Sub(startedAt))
	for _, a := range r.kind.Stages[i].After {
		r.freed[a] = r.freed[a] || r.graph.IsSoleConsumer(i, a)
	}
	all := true
	for j, st := range r.kind.Stages {
		all = all && r.done[j]
		if !r.done[j] && len(st.After) > 0 && r.dependsOnlyOnDone(j) && r.graph.DependsOn(j, i) {
			s.runStage(r, j)
		}
	}
	if all {
		s.runEngine(r)
	}
}

func (r *request) dependsOnlyOnDone(stage int) bool {
	for _, a := range r.kind.Stages[stage].After {
		if !r.done[a] {
			return false
		}
	}
	return true
}

// runEngine runs the request itself after its stages.
func (s *simulation) runEngine(r *request) {
	e := r.kind.Engine
	first := time.Duration(float64(e.First) * math.Exp(s.rng.NormFloat64()*e.Spread-e.Spread*e.Spread/2))
	first = max(first, e.Fetch.D())
	hold := first
	if s.options.ReleaseAfter > 0 {
		hold = min(first, max(s.options.ReleaseAfter, e.Fetch.D()))
	}
	s.after(hold+s.settings.Hop.D(), func() { s.freeAll(r) })
	s.after(first, func() {
		r.host.times.ObserveEngine(s.now, r.kind.Name, first)
		s.answer(r)
	})
}

// freeAll frees the results that the request still has.
func (s *simulation) freeAll(r *request) {
	for i := range r.results {
		if len(r.results[i].Handles) == 0 || r.freed[i] {
			continue
		}
		r.freed[i] = true
		s.freeResults(s.queues[r.results[i].Queue], r.results[i].Handles)
	}
}

func (s *simulation) answer(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	took := s.now.Sub(r.firstArrived)
	n := s.result.kind(r.kind.Name)
	delete(s.requests, r.id)
	if took <= r.kind.Objective.D() {
		n.OnTime++
		s.result.onTimeAt(r.firstArrived.Sub(epoch))
		return
	}
	n.Late++
}

// leave ends a request whose caller leaves.
func (s *simulation) leave(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	r.cancel.cancel()
	s.freeAll(r)
	s.result.WastedSeconds += r.workTime.Seconds()
	s.result.kind(r.kind.Name).Left++
}

// fail ends a request that was refused. Its caller may come back.
func (s *simulation) fail(r *request, after time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	r.cancel.cancel()
	s.freeAll(r)
	s.result.WastedSeconds += r.workTime.Seconds()
	if r.retries > 0 {
		if s.options.RepeatAtOnce {
			after = 0
		}
		s.after(after, func() { s.arrive(r.kind, r.graph.Pieces, r.firstArrived, r.retries-1) })
		return
	}
	s.result.kind(r.kind.Name).Refused++
}
