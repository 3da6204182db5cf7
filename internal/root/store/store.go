package store

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// Table is the transactional table service of the platform.
type Table interface {
	// Get returns a row, or ErrNotFound, ErrUnavailable or ErrUnknownOutcome.
	Get(ctx context.Context, table, key string) (plat.Row, error)
	// List returns at most limit rows whose keys start with prefix and are greater than after, sorted by key.
	List(ctx context.Context, table, prefix, after string, limit int) ([]plat.Row, error)
	// Commit executes the transaction and returns nil, a *ConflictError, ErrUnavailable or ErrUnknownOutcome.
	Commit(ctx context.Context, txn plat.Txn) error
}

// Objects is the object store of the platform.
type Objects interface {
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, key string, data []byte) error
	// Object returns the content of an object, or ErrNotFound, ErrUnavailable or ErrUnknownOutcome. It may be a part of a content that does not mark its own end.
	Object(ctx context.Context, key string) ([]byte, error)
}

// Hosts is the platform's list of hosts, which is updated with a delay.
type Hosts interface {
	// Hosts returns the list, or ErrNotModified if its version still equals known.
	Hosts(ctx context.Context, known int64) (plat.HostList, error)
}

// Platform combines the services of the platform. All persistent state is stored in them.
type Platform interface {
	Table
	Objects
	Hosts
}
