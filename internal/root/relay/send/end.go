package send

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// ErrUnconfirmedEnd reports that the connection of a response that ends with it has ended, while its upstream may have ended as well, so that a part of the response may be missing.
var ErrUnconfirmedEnd = errors.New("upstream may have ended with its connection")

// EndCheck returns nil if the upstream at the address has outlived a connection that it has just ended.
type EndCheck func(ctx context.Context, addr string) error

// closeDelimitedBody is the body of a response that ends with its connection. It returns io.EOF only if the upstream has outlived that.
type closeDelimitedBody struct {
	io.ReadCloser
	confirm func() error
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
