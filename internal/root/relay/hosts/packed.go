package hosts

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/cornelwing/cornelwing/internal/root/relay/bulk"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

// maxPackedAnswers is how many packed answers a table remembers. Hosts that know the same version all get the same answer.
const maxPackedAnswers = 4

// packedKey tells which rows an answer holds: the whole table, or what changed after a position.
type packedKey struct {
	whole       bool
	after, upTo follow.Position
}

// packedAnswer holds the rows of an answer in a parcel.
type packedAnswer struct {
	key    packedKey
	parcel parcel
}

// packer packs the rows of answers, each once for all hosts that ask. It is safe for concurrent use.
type packer struct {
	mu      sync.Mutex
	answers []packedAnswer
	trees   bulk.Trees
}

// pack replaces the rows of an answer by a parcel, if the other host understands that and they are not few.
func (t *Table) pack(q tableQuestion, a tableAnswer) tableAnswer {
	if !q.Parcels || rowBytes(a.Rows) <= plainBytes {
		return a
	}
	key := packedKey{
		whole: q.Whole,
		after: q.after(),
		upTo:  a.position(),
	}
	if q.Whole {
		key.after = follow.Position{}
	}
	p, err := t.packer.pack(t.tables.peers.blocks, key, a.Rows, q.From)
	if err != nil {
		t.Log.WithError(err).WithField("table", t.name).Warn("The rows of an answer could not be packed. They are sent as they are.")
		return a
	}
	a.parcel = p
	a.Rows = nil
	return a
}

// pack returns the parcel with the rows for the receiver.
func (p *packer) pack(b *blocks, key packedKey, rows []tableRow, receiver string) (parcel, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The shelf may have forgotten the block of an answer, which then is packed anew.
	p.answers = slices.DeleteFunc(p.answers, func(known packedAnswer) bool { return !b.holds(known.parcel) })
	i := slices.IndexFunc(p.answers, func(known packedAnswer) bool { return known.key == key })
	if i < 0 {
		data, err := packRows(rows)
		if err != nil {
			return parcel{}, err
		}
		p.answers = append(p.answers, packedAnswer{
			key:    key,
			parcel: b.parcelOf(data),
		})
		if len(p.answers) > maxPackedAnswers {
			p.answers = slices.Delete(p.answers, 0, 1)
		}
		i = len(p.answers) - 1
	}
	out := p.answers[i].parcel
	if out.Block != nil && receiver != "" {
		out.Sources = p.trees.Assign(out.Block.ID, receiver)
	}
	return out, nil
}

// rowBytes returns the size of the rows.
func rowBytes(rows []tableRow) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// packRows returns the compressed form of the rows.
func packRows(rows []tableRow) ([]byte, error) {
	content, err := cbor.Marshal(rows)
	if err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	data, err := bulk.Compress(content)
	if err != nil {
		return nil, fmt.Errorf("compress rows: %w", err)
	}
	return data, nil
}

// unpack returns the answer with the rows of its parcel.
func (t *Table) unpack(ctx context.Context, h Host, a tableAnswer) (tableAnswer, error) {
	if a.parcel.empty() {
		return a, nil
	}
	content, err := t.tables.peers.blocks.open(ctx, a.parcel, h)
	if err != nil {
		return tableAnswer{}, fmt.Errorf("unpack rows: %w", err)
	}
	a.Rows = nil
	if err := cbor.Unmarshal(content, &a.Rows); err != nil {
		return tableAnswer{}, fmt.Errorf("decode rows: %w", err)
	}
	if err := a.checkRows(); err != nil {
		return tableAnswer{}, err
	}
	return a, nil
}
