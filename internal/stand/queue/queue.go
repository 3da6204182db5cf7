package queue

import (
	"container/heap"
	"context"
	"sync"
)

// Queue hands out a fixed number of slots, the most urgent waiter first.
type Queue struct {
	mu    sync.Mutex
	slots int
	busy  int
	next  int
	wait  waiters
}

// New returns a queue with a number of slots.
func New(slots int) *Queue {
	return &Queue{
		slots: slots,
	}
}

type waiter struct {
	urgency int
	order   int
	index   int
	ready   chan struct{}
}

// Acquire waits for a slot, and reports false if ctx ended first.
func (q *Queue) Acquire(ctx context.Context, urgency int) bool {
	q.mu.Lock()
	if q.busy < q.slots {
		q.busy++
		q.mu.Unlock()
		return true
	}
	w := &waiter{
		urgency: urgency,
		order:   q.next,
		ready:   make(chan struct{}),
	}
	q.next++
	heap.Push(&q.wait, w)
	q.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return q.abandon(w)
	}
}

// abandon leaves the queue; a slot that was handed over in the meantime is given back.
func (q *Queue) abandon(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.wait, w.index)
		return false
	}
	q.handOver()
	return false
}

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handOver()
}

func (q *Queue) handOver() {
	if len(q.wait) == 0 {
		q.busy--
		return
	}
	w, _ := heap.Pop(&q.wait).(*waiter)
	close(w.ready)
}

// Load returns how many slots are taken and how many wait for one.
func (q *Queue) Load() (busy, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy, len(q.wait)
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].urgency != w[j].urgency {
		return w[i].urgency < w[j].urgency
	}
	return w[i].order < w[j].order
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
