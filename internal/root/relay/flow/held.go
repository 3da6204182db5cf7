package flow

import (
	"sync"
	"time"
)

const (
	// fetchTime is how long after a request was written to its engine the results of its stages are freed. An engine fetches them before it reads the prompt, and answers only after that.
	fetchTime = 100 * time.Millisecond
	// fetchSuspension is how long results of a pool's requests are held until the first event after an engine has not found one that was freed.
	fetchSuspension = 10 * time.Second
)

// heldResults are the results of a request's stages that workers hold for it. The zero value holds none. It is safe for concurrent use.
type heldResults struct {
	mu    sync.Mutex
	frees map[int]func()
}

// add holds the results of a stage, which free frees.
func (h *heldResults) add(stage int, free func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frees == nil {
		h.frees = map[int]func(){}
	}
	h.frees[stage] = free
}

// remove leaves the freeing of the results of a stage to others, and returns the function that frees them, or nil.
func (h *heldResults) remove(stage int) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	free := h.frees[stage]
	delete(h.frees, stage)
	return free
}

// free frees the results of one stage, so that its worker has room for others.
func (h *heldResults) free(stage int) {
	if free := h.remove(stage); free != nil {
		free()
	}
}

// freeAll frees the results of all stages.
func (h *heldResults) freeAll() {
	h.mu.Lock()
	frees := h.frees
	h.frees = nil
	h.mu.Unlock()
	for _, free := range frees {
		free()
	}
}

// earlyRelease frees the results of a request's stages fetchTime after it was written to an engine. It is safe for concurrent use.
type earlyRelease struct {
	held *heldResults

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	released bool
}

// start is called once the request has been written.
func (e *earlyRelease) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped && e.timer == nil {
		e.timer = time.AfterFunc(fetchTime, e.release)
	}
}

func (e *earlyRelease) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.released = true
	e.held.freeAll()
}

// stop ends the release, and reports whether it has taken place.
func (e *earlyRelease) stop() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	if e.timer != nil {
		e.timer.Stop()
	}
	return e.released
}

// fetchGuard knows for which pools results must not be freed early. The zero value knows none. It is safe for concurrent use.
type fetchGuard struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// suspend ends early releases for a pool for a while.
func (g *fetchGuard) suspend(now time.Time, pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.until == nil {
		g.until = map[string]time.Time{}
	}
	g.until[pool] = now.Add(fetchSuspension)
}

// allows reports whether results may be freed early for a pool.
func (g *fetchGuard) allows(now time.Time, pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !now.Before(g.until[pool])
}
