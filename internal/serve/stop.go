package serve

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStopping is the cause of contexts that end because the server stops.
var ErrStopping = errors.New("server is stopping")

// Stop tells the requests of a server by when they need their final responses because the server stops. A nil Stop never comes.
type Stop struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	by time.Time
}

// NewStop returns a stop that has not begun.
func NewStop() *Stop {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Stop{
		ctx:    ctx,
		cancel: cancel,
	}
}

// Begin begins the stop. Requests need their final responses by the time.
func (s *Stop) Begin(by time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.by = by
	time.AfterFunc(time.Until(by), func() { s.cancel(ErrStopping) })
}

// By returns the time by which requests need their final responses, or false if no stop has begun.
func (s *Stop) By() (time.Time, bool) {
	if s == nil {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.by, !s.by.IsZero()
}

// Earlier returns the deadline, or the time by which requests need their final responses if that is earlier.
func (s *Stop) Earlier(deadline time.Time) time.Time {
	if by, ok := s.By(); ok && by.Before(deadline) {
		return by
	}
	return deadline
}

// AfterFunc calls f, on a goroutine of its own, once requests need their final responses, unless the returned function is called before.
func (s *Stop) AfterFunc(f func()) (stop func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.ctx, f)
}

// Until returns a context that ends once requests need their final responses, with the cause ErrStopping.
func (s *Stop) Until(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancelCause(ctx)
	release := s.AfterFunc(func() { cancel(ErrStopping) })
	return out, func() {
		release()
		cancel(context.Canceled)
	}
}

// stopKey is the key of a server's stop in the contexts of its requests.
type stopKey struct{}

// WithStop returns a context for a request of a server with the stop.
func WithStop(ctx context.Context, s *Stop) context.Context {
	return context.WithValue(ctx, stopKey{}, s)
}

// StopOf returns the stop of the server whose request has the context, or nil.
func StopOf(ctx context.Context) *Stop {
	s, _ := ctx.Value(stopKey{}).(*Stop)
	return s
}
