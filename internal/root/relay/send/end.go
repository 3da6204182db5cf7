package send

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// ErrUnconfirmedEnd reports that the connection of a response that ends with it has ended, while its upstream may have ended as well, so that a part of the response may be missing.
var ErrUnconfirmedEnd = errors.New("upstream may have ended with its connection")

// ErrUpstreamGone reports that the upstream has probably ended with the connection of a response. It is an ErrUnconfirmedEnd.
var ErrUpstreamGone = fmt.Errorf("%w: it is gone", ErrUnconfirmedEnd)

// ErrSenderUnstated reports that a process answers and does not state its start, or that the start of the process to which a request was sent is not known.
var ErrSenderUnstated = errors.New("process can't be told by its start")

// SenderCheck asks a process over the connection, or over a new one if that is nil, and returns nil if it is the one to which a request was sent. The error is ErrUpstreamGone if another process answers, and ErrSenderUnstated if one answers that can't be told. All other errors say that nothing has answered.
type SenderCheck func(ctx context.Context, conn net.Conn) error

// WatchEnd begins to watch the upstream at an address. isOpen reports whether the upstream has not ended the connection of the response yet, or false if that is not known. checkSender is nil if processes can't be asked.
type WatchEnd func(addr string, isOpen func() bool, checkSender SenderCheck) EndWatch

// EndWatch watches an upstream from the head of a response that ends with its connection.
type EndWatch interface {
	// Confirm returns nil if the upstream has outlived its connection, which has just ended and on which the last data arrived at the time. The error is ErrUpstreamGone if it has probably not.
	Confirm(ctx context.Context, arrived time.Time) error
	// Stop ends the watch.
	Stop()
}

// closeDelimitedBody is the body of a response that ends with its connection. It returns io.EOF only if the upstream has outlived that.
type closeDelimitedBody struct {
	io.ReadCloser
	used *usedConn
	// lastArrival is when the last data arrived, or zero if that is not known.
	lastArrival time.Time
	confirm     func(arrived time.Time) error
	stop        func()
	// end is what a read at the end of the connection returns, or nil before it.
	end error
	// confirming is the time that the confirmation took.
	confirming time.Duration
}

// Read reads from the body.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.recordArrival()
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		// The next read returns the end again.
		return n, nil
	}
	began := time.Now()
	b.end = endOf(b.confirm(b.lastArrival))
	b.confirming = time.Since(began)
	return 0, b.end
}

// recordArrival records when the data arrived that was just read.
func (b *closeDelimitedBody) recordArrival() {
	if at, ok := b.used.lastArrival(); ok {
		b.lastArrival = at
	}
}

// endOf returns io.EOF if the end was confirmed, or an error that does not pass for it, whatever its cause is.
func endOf(err error) error {
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, ErrUpstreamGone):
		return ErrUpstreamGone
	default:
		return fmt.Errorf("%w: %v", ErrUnconfirmedEnd, err)
	}
}

// Close closes the body and ends the watch.
func (b *closeDelimitedBody) Close() error {
	b.stop()
	if err := b.ReadCloser.Close(); err != nil {
		return fmt.Errorf("close body: %w", err)
	}
	return nil
}

// endContextKey is the key of the context in which the end of a response is confirmed.
type endContextKey struct{}

// WithEndContext returns a context for one request of which the end of the response is confirmed within the other context, as the response is whole by then.
func WithEndContext(ctx, end context.Context) context.Context {
	return context.WithValue(ctx, endContextKey{}, end)
}

func endContextOf(ctx context.Context) context.Context {
	if end, ok := ctx.Value(endContextKey{}).(context.Context); ok {
		return end
	}
	return ctx
}

// ConfirmTime returns how long it took to confirm the end of the response after its last byte, or 0.
func (r Response) ConfirmTime() time.Duration {
	if b, ok := r.Body.(*closeDelimitedBody); ok {
		return b.confirming
	}
	return 0
}
