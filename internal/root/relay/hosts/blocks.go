package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/bulk"
)

const (
	// pathBlock is the path of a request for a part of a block.
	pathBlock = "/block"
	// partBytes is the largest size of a part. A host sends no more at a time to one receiver, so that little waits at its link.
	partBytes = 32 << 10
	// partWait is how long a request waits for bytes that the asked host does not have yet, and partTimeout how long no byte of the answer may arrive.
	partWait    = 200 * time.Millisecond
	partTimeout = 500 * time.Millisecond
	// slowPart is the time for a part after which another host is asked as well, and maxAsked how many are asked at a time.
	slowPart = 300 * time.Millisecond
	maxAsked = 2
	// roundPause is the pause after all hosts have been asked and none has sent anything.
	roundPause = 20 * time.Millisecond
	// blockStall is how long no host may send anything of a block until it is given up.
	blockStall = 1500 * time.Millisecond
)

// errBlockStalled reports that no host sends more of a block. It is no sign that a host is down.
var errBlockStalled = fmt.Errorf("no host sends the block: %w", context.DeadlineExceeded)

// partRequest asks for the bytes of a block from an offset on.
type partRequest struct {
	ID     string `json:"id"`
	Offset int    `json:"offset"`
	// From is the host that asks.
	From string `json:"from"`
}

// errPartRequest is returned for a request that names no block or host, or no possible offset.
var errPartRequest = errors.New("request for a part of a block is not valid")

// UnmarshalJSON decodes a request and checks it.
func (q *partRequest) UnmarshalJSON(b []byte) error {
	type plain partRequest
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	if p.ID == "" || p.From == "" || p.Offset < 0 || p.Offset >= bulk.MaxSize {
		return fmt.Errorf("check request: %w", errPartRequest)
	}
	*q = partRequest(p)
	return nil
}

// BlockStats is what the metrics tell of blocks.
type BlockStats struct {
	// Read counts the blocks that were read from other hosts, Stalled those that no host sent any more, and ReadBytes and SentBytes the bytes.
	Read      int64 `json:"read"`
	Stalled   int64 `json:"stalled"`
	ReadBytes int64 `json:"read_bytes"`
	SentBytes int64 `json:"sent_bytes"`
	// Busy counts the requests that were refused as other hosts read from this one.
	Busy int64 `json:"busy"`
}

// blocks carries large contents of messages between hosts. Each host passes on what it has, also while the rest still arrives.
type blocks struct {
	common.Deps
	peers  *Peers
	shelf  *bulk.Shelf
	gate   *bulk.Gate
	counts blockCounts
}

func newBlocks(peers *Peers) *blocks {
	return &blocks{
		Deps:  peers.WithPart("blocks"),
		peers: peers,
		shelf: bulk.NewShelf(),
		gate:  bulk.NewGate(peers.Now),
	}
}

func (b *blocks) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathBlock, b.sendPart)
}

// sendPart answers another host that asks for a part of a block.
func (b *blocks) sendPart(w http.ResponseWriter, r *http.Request) {
	var q partRequest
	if !decodeBody(w, r, &q) {
		return
	}
	block, err := b.shelf.Find(q.ID)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	if !b.gate.Enter(q.From) {
		b.counts.busy.Add(1)
		http.Error(w, "other hosts read from this one", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), partWait)
	defer cancel()
	part := block.Part(ctx, q.Offset, partBytes)
	if len(part) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b.counts.sentBytes.Add(int64(len(part)))
	// A failed write needs no handling: the host that asked is gone or asks again.
	_, _ = w.Write(part)
}

// read returns the block, which it reads from the named hosts, in the order in which they are to be tried, or from others, unless it has it already.
func (b *blocks) read(ctx context.Context, ref bulk.Ref, named []Host) ([]byte, error) {
	block := b.shelf.Open(ref)
	whole, err := block.Claim(ctx)
	if err != nil || whole != nil {
		return whole, err
	}
	defer block.Release()
	r := blockReader{
		blocks:     b,
		block:      block,
		ref:        ref,
		named:      named,
		progressAt: b.Now(),
		answers:    make(chan partAnswer, maxAsked),
	}
	whole, err = r.run(ctx)
	if err != nil {
		b.counts.stalled.Add(1)
		b.Log.WithError(err).WithField("block", ref.ID).WithField("known", block.Known()).WithField("size", ref.Size).Info("A block was not read to its end.")
		return nil, err
	}
	b.counts.read.Add(1)
	return whole, nil
}
