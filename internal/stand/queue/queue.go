package queue

import (
	"container/heap"
	"context"
	"sync"
)

// Queue grants a fixed number of slots. A slot that becomes free goes to the most urgent waiter. Among equally urgent waiters, the first to arrive gets the slot.
type Queue struct {
	mu      sync.Mutex
	slots   int
	busy    int
	nextSeq int
	waiting waiters
}

// New returns a queue with the given number of free slots.
func New(slots int) *Queue {
	return &Queue{
		slots: slots,
	}
}

type waiter struct {
	urgency int
	seq     int
	// index is the position in the heap, or -1 once the waiter was removed from it.
	index int
	ready chan struct{}
}

// Acquire waits for a slot and returns true, or returns false without a slot if ctx ends first. Lower urgency values are served first.
func (q *Queue) Acquire(ctx context.Context, urgency int) bool {
	q.mu.Lock()
	if q.busy < q.slots {
		q.busy++
		q.mu.Unlock()
		return true
	}
	w := &waiter{
		urgency: urgency,
		seq:     q.nextSeq,
		ready:   make(chan struct{}),
	}
	q.nextSeq++
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return q.abandon(w)
	}
}

// abandon removes a waiter whose context has ended, and releases its slot if one was granted in the meantime. It always returns false.
func (q *Queue) abandon(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		return false
	}
	q.releaseLocked()
	return false
}

// Release frees a slot that Acquire granted.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseLocked()
}

// releaseLocked transfers the slot to the most urgent waiter, or marks it as free. The caller holds mu.
func (q *Queue) releaseLocked() {
	if len(q.waiting) == 0 {
		q.busy--
		return
	}
	w, _ := heap.Pop(&q.waiting).(*waiter)
	close(w.ready)
}

// Load returns the number of occupied slots and the number of waiters.
func (q *Queue) Load() (busy, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy, len(q.waiting)
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].urgency != w[j].urgency {
		return w[i].urgency < w[j].urgency
	}
	return w[i].seq < w[j].seq
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiters) Push(x any) {
	e, _ := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

func (w *waiters) Pop() any {
	last := len(*w) - 1
	e := (*w)[last]
	e.index = -1
	*w = (*w)[:last]
	return e
}
