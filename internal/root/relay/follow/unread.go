package follow

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

// errNothingApplied reports that a feed has applied no rows in the current era of the store, so that it cannot be told what it lacks.
var errNothingApplied = errors.New("no rows have been applied yet")

// Unread reads from the store what a feed has not applied yet. It is safe for concurrent use, whose callers share reads.
type Unread struct {
	common.Deps
	store Source
	// interval returns the shortest time between the beginnings of two reads.
	interval func() time.Duration

	mu sync.Mutex
	// returned is the position up to which the feed's source has returned rows, and applied that up to which the feed has applied them.
	returned, applied Position
	// next is the read that has not begun yet, and active reports that reads are in progress.
	next    *unreadCall
	active  bool
	beganAt time.Time
}

// unreadCall is a read that callers wait for.
type unreadCall struct {
	done chan struct{}
	rows []Row
	err  error
}

// NewUnread returns an Unread that reads the table from the store, with the interval at least between the beginnings of two reads.
func NewUnread(deps common.Deps, store Source, interval func() time.Duration) *Unread {
	return &Unread{
		Deps:     deps.WithPart("unread"),
		store:    store,
		interval: interval,
	}
}

// Fed returns the source that the feed must read in place of s.
func (u *Unread) Fed(s Source) Source {
	return fedSource{
		Source: s,
		unread: u,
	}
}

// fedSource records up to where it has returned rows.
type fedSource struct {
	Source
	unread *Unread
}

// ReadAll returns every row and the position of the table.
func (s fedSource) ReadAll(ctx context.Context) ([]Row, Position, error) {
	rows, position, err := s.Source.ReadAll(ctx)
	if err != nil {
		return nil, Position{}, fmt.Errorf("read whole table: %w", err)
	}
	s.unread.setReturned(position)
	return rows, position, nil
}

// WaitForChanges waits up to wait for changes after the position, and returns them with the position to continue from.
func (s fedSource) WaitForChanges(ctx context.Context, after Position, wait time.Duration) ([]Row, Position, error) {
	rows, position, err := s.Source.WaitForChanges(ctx, after, wait)
	if err != nil {
		return nil, Position{}, fmt.Errorf("wait for changes: %w", err)
	}
	if position.Before(after) {
		position = after
	}
	s.unread.setReturned(position)
	return rows, position, nil
}

func (u *Unread) setReturned(p Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.returned = p
}

// Applied records that the feed has applied what its source has returned.
func (u *Unread) Applied() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.applied = u.returned
}

// Rows returns the rows that have changed since those that the feed has applied, by a read that begins after the call.
func (u *Unread) Rows(ctx context.Context) ([]Row, error) {
	next := u.join()
	select {
	case <-next.done:
		return next.rows, next.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for unread changes: %w", ctx.Err())
	}
}

// join returns the read that begins next, and starts the reads if none are in progress.
func (u *Unread) join() *unreadCall {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.next == nil {
		u.next = &unreadCall{
			done: make(chan struct{}),
		}
	}
	if !u.active {
		u.active = true
		go u.run()
	}
	return u.next
}

// run reads as long as callers wait for it. The source bounds the time of a read.
func (u *Unread) run() {
	for ended := false; !ended; ended = u.end() {
		time.Sleep(u.pause())
		call, after := u.begin()
		call.rows, call.err = u.read(after)
		close(call.done)
	}
}

func (u *Unread) pause() time.Duration {
	interval := u.interval()
	u.mu.Lock()
	defer u.mu.Unlock()
	return interval - u.Now().Sub(u.beganAt)
}

// begin returns the read that is to begin, and the position after which changes are read.
func (u *Unread) begin() (*unreadCall, Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	call := u.next
	u.next = nil
	u.beganAt = u.Now()
	return call, u.applied
}

// end reports whether nobody waits for another read.
func (u *Unread) end() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.active = u.next != nil
	return !u.active
}

func (u *Unread) read(after Position) ([]Row, error) {
	if !after.Known() {
		return nil, errNothingApplied
	}
	rows, position, err := u.store.WaitForChanges(context.Background(), after, 0)
	if err != nil {
		return nil, fmt.Errorf("read unread changes: %w", err)
	}
	if position.Era != after.Era {
		return nil, fmt.Errorf("read unread changes of era %s: %w", position.Era, errNothingApplied)
	}
	return rows, nil
}
