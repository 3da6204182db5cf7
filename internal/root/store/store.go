package store

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, ErrAbsent, ErrOut or ErrLost.
	Get(ctx context.Context, table, key string) (plat.Row, error)
	// List returns at most limit rows whose key starts with prefix and sorts after the key given, in order of the keys.
	List(ctx context.Context, table, prefix, after string, limit int) ([]plat.Row, error)
	// Commit runs the transaction and returns nil, a *ConflictError, ErrOut or ErrLost.
	Commit(ctx context.Context, txn plat.Txn) error
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject writes an object whole.
	PutObject(ctx context.Context, key string, data []byte) error
	// Object returns an object, ErrAbsent, ErrOut or ErrLost.
	Object(ctx context.Context, key string) ([]byte, error)
}

// Hosts is the platform's lagging list of hosts.
type Hosts interface {
	// Hosts returns the platform's list, or ErrSame if its version is still the known one.
	Hosts(ctx context.Context, known int64) (plat.HostList, error)
}

// Platform is all that lasts.
type Platform interface {
	Table
	Objects
	Hosts
}
