package send

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// EndCheck returns nil if the upstream at the address has outlived a connection that it has just ended.
type EndCheck func(ctx context.Context, addr string) error

// closeDelimitedBody is the body of a response that ends with its connection. It has the end checked.
type closeDelimitedBody struct {
	io.ReadCloser
	check func()
	once  sync.Once
}

// Read reads from the body.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(func() { go b.check() })
	}
	return n, err
}
