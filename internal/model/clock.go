package model

import (
	"container/heap"
	"time"
)

// event is something that happens at a time. Events of the same time happen in the order in which they were planned.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock is virtual time with the events that are planned.
type clock struct {
	now     time.Time
	planned int
	events  eventHeap
}

// after plans f for the time d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.planned++
	heap.Push(&c.events, event{
		at:    c.now.Add(max(0, d)),
		order: c.planned,
		run:   f,
	})
}

// runUntil lets all events up to the time happen.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
