package hosts

import (
	"context"
	"fmt"

	"github.com/cornelwing/cornelwing/internal/root/relay/bulk"
)

const (
	// plainBytes is the size of a content up to which it is sent as it is, and inlineBytes the size of a compressed one up to which it is part of the message. What is larger is read part by part, from several hosts.
	plainBytes  = 1 << 10
	inlineBytes = 4 << 10
)

// parcel is a content within a message: compressed, or only named if it is large.
type parcel struct {
	Packed []byte    `json:"packed,omitempty"`
	Block  *bulk.Ref `json:"block,omitempty"`
	// Sources are the names of the hosts from which to read the block, before the one that sent the message.
	Sources []string `json:"sources,omitempty"`
}

// empty reports whether the message holds no parcel.
func (p parcel) empty() bool {
	return len(p.Packed) == 0 && p.Block == nil
}

// parcelOf returns the parcel for compressed data. A large one is put on the shelf, for other hosts to read.
func (b *blocks) parcelOf(data []byte) parcel {
	if len(data) <= inlineBytes || len(data) > bulk.MaxSize {
		return parcel{
			Packed: data,
		}
	}
	ref := b.shelf.Put(data)
	return parcel{
		Block: &ref,
	}
}

// holds reports whether other hosts can still read the content of a parcel of this host.
func (b *blocks) holds(p parcel) bool {
	if p.Block == nil {
		return true
	}
	_, err := b.shelf.Find(p.Block.ID)
	return err == nil
}

// open returns the content of a parcel that the sender has sent.
func (b *blocks) open(ctx context.Context, p parcel, sender Host) ([]byte, error) {
	data := p.Packed
	if p.Block != nil {
		whole, err := b.read(ctx, *p.Block, append(b.peers.roster.named(p.Sources), sender))
		if err != nil {
			return nil, fmt.Errorf("read content of a message: %w", err)
		}
		data = whole
	}
	content, err := bulk.Expand(data)
	if err != nil {
		return nil, fmt.Errorf("open content of a message: %w", err)
	}
	return content, nil
}
