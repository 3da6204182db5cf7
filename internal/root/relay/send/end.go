package send

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// ErrUnconfirmedEnd reports that the connection of a response that ends with it has ended, while its upstream may have ended as well, so that a part of the response may be missing.
var ErrUnconfirmedEnd = errors.New("upstream may have ended with its connection")

// EndWatch watches an upstream from the head of a response that ends with its connection.
type EndWatch interface {
	// Confirm returns nil if the upstream has outlived its connection, which has just ended.
	Confirm(ctx context.Context) error
	// Stop ends the watch.
	Stop()
}

// closeDelimitedBody is the body of a response that ends with its connection. It returns io.EOF only if the upstream has outlived that.
type closeDelimitedBody struct {
	io.ReadCloser
	confirm func() error
	stop    func()
}

// Read reads from the body.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		// The next read returns the end again.
		return n, nil
	}
	if err := b.confirm(); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnconfirmedEnd, err)
	}
	return 0, io.EOF
}

// Close closes the body and ends the watch.
func (b *closeDelimitedBody) Close() error {
	b.stop()
	if err := b.ReadCloser.Close(); err != nil {
		return fmt.Errorf("close body: %w", err)
	}
	return nil
}
