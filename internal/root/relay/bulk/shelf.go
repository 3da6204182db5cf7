package bulk

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxBlocks and maxBytes bound the blocks that a shelf keeps. The one that was used longest ago goes first.
	maxBlocks = 8
	maxBytes  = MaxSize
)

// Errors of a shelf.
var (
	// ErrUnknownBlock is returned for a block that is not on the shelf.
	ErrUnknownBlock = errors.New("block is not known")
	// ErrDamaged is returned for a block whose content does not match its name.
	ErrDamaged = errors.New("block is damaged")
)

// Shelf keeps blocks that this host can send to others, also those that are still arriving. It is safe for concurrent use.
type Shelf struct {
	mu     sync.Mutex
	blocks map[string]*Block
	// used holds the names of the blocks, the one that was used longest ago first.
	used []string
}

// Block is a block of which the first bytes are known.
type Block struct {
	ref Ref

	mu      sync.Mutex
	data    []byte
	reading bool
	// changed is closed and replaced when bytes arrive, or the host that reads the block stops.
	changed chan struct{}
}

// NewShelf returns an empty shelf.
func NewShelf() *Shelf {
	return &Shelf{
		blocks: map[string]*Block{},
	}
}

// Put adds a whole block, and returns the reference to it.
func (s *Shelf) Put(data []byte) Ref {
	ref := RefOf(data)
	b := s.Open(ref)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = data
	b.notify()
	return ref
}

// Open returns the block, which may be empty.
func (s *Shelf) Open(ref Ref) *Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[ref.ID]
	if !ok || b.ref != ref {
		b = &Block{
			ref:     ref,
			changed: make(chan struct{}),
		}
		s.blocks[ref.ID] = b
	}
	s.use(ref.ID)
	s.shrink()
	return b
}

// Find returns the block with the name, or ErrUnknownBlock.
func (s *Shelf) Find(id string) (*Block, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[id]
	if !ok {
		return nil, fmt.Errorf("find block: %w", ErrUnknownBlock)
	}
	s.use(id)
	return b, nil
}

// Remove removes the block.
func (s *Shelf) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id)
}

func (s *Shelf) remove(id string) {
	delete(s.blocks, id)
	s.used = slices.DeleteFunc(s.used, func(used string) bool { return used == id })
}

// use records that a block is used. The caller holds the lock.
func (s *Shelf) use(id string) {
	s.used = append(slices.DeleteFunc(s.used, func(used string) bool { return used == id }), id)
}

// shrink removes old blocks, but never the newest. The caller holds the lock.
func (s *Shelf) shrink() {
	size := 0
	for _, b := range s.blocks {
		size += b.ref.Size
	}
	for len(s.used) > 1 && (len(s.used) > maxBlocks || size > maxBytes) {
		oldest := s.used[0]
		size -= s.blocks[oldest].ref.Size
		s.remove(oldest)
	}
}

// notify wakes all that wait for the block. The caller holds the lock.
func (b *Block) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Claim waits until the block is whole, or until the caller is the one that has to read it, which then must call Release. It returns the bytes of a whole block.
func (b *Block) Claim(ctx context.Context) (whole []byte, err error) {
	for {
		b.mu.Lock()
		if len(b.data) == b.ref.Size {
			defer b.mu.Unlock()
			return b.data, nil
		}
		changed := b.changed
		if !b.reading {
			b.reading = true
			b.mu.Unlock()
			return nil, nil
		}
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for block: %w", ctx.Err())
		}
	}
}

// Release ends what Claim began. The bytes that have arrived stay.
func (b *Block) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.notify()
}

// Known returns how many of the first bytes are known.
func (b *Block) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}

// Add adds the bytes that follow the known ones, and returns the block once it is whole. It returns ErrDamaged, and forgets all bytes, if they do not match the name of the block.
func (b *Block) Add(part []byte) (whole []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.notify()
	b.data = append(b.data, part[:min(len(part), b.ref.Size-len(b.data))]...)
	if len(b.data) < b.ref.Size {
		return nil, nil
	}
	if RefOf(b.data) != b.ref {
		b.data = nil
		return nil, fmt.Errorf("add to block: %w", ErrDamaged)
	}
	return b.data, nil
}

// Part returns at most n bytes from an offset on. If none is known yet, it waits for some until ctx is done, and returns nothing then.
func (b *Block) Part(ctx context.Context, offset, n int) []byte {
	for {
		b.mu.Lock()
		known, changed := b.data, b.changed
		b.mu.Unlock()
		if offset >= 0 && offset < len(known) {
			return known[offset:min(len(known), offset+n)]
		}
		if offset < 0 || offset >= b.ref.Size {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
