package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/bulk"
)

// moreSources is how many random hosts are asked after those that are named, since every host passes on what it has read.
const moreSources = 3

// blockReader reads one block part by part, from one host as long as that is quick.
type blockReader struct {
	*blocks
	block *bulk.Block
	ref   bulk.Ref
	// named are the hosts that have the block or read it, and sources these and some others, drawn again for each round.
	named, sources []Host
	// next is the number of the host to ask, failures counts the answers in a row that brought nothing, and asked the hosts that have not answered yet.
	next, failures, asked int
	progressAt            time.Time
	answers               chan partAnswer
}

// partAnswer is what a host has sent of a block.
type partAnswer struct {
	// source is the number of the host.
	source int
	offset int
	part   []byte
	took   time.Duration
}

// run returns the whole block.
func (r *blockReader) run(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedge := time.NewTimer(slowPart)
	defer hedge.Stop()
	r.drawSources()
	for r.Now().Sub(r.progressAt) < blockStall && len(r.sources) > 0 {
		if r.asked == 0 {
			r.start(ctx)
			hedge.Reset(slowPart)
		}
		select {
		case a := <-r.answers:
			whole, err := r.take(a)
			if whole != nil || err != nil {
				return whole, err
			}
			if r.failures > 0 && r.failures%len(r.sources) == 0 {
				common.Sleep(ctx, roundPause)
				r.drawSources()
			}
		case <-hedge.C:
			if r.asked < maxAsked {
				r.next++
				r.start(ctx)
			}
			hedge.Reset(slowPart)
		case <-ctx.Done():
			return nil, fmt.Errorf("read block: %w", ctx.Err())
		}
	}
	return nil, fmt.Errorf("read block: %w", errBlockStalled)
}

// drawSources sets the hosts to ask.
func (r *blockReader) drawSources() {
	others := r.peers.roster.LiveOthers()
	r.sources = slices.Clone(r.named)
	for _, i := range rand.Perm(len(others))[:min(moreSources, len(others))] {
		r.sources = append(r.sources, others[i])
	}
}

// start asks the next host for the bytes that follow the known ones.
func (r *blockReader) start(ctx context.Context) {
	r.asked++
	source, offset, began := r.next, r.block.Known(), r.Now()
	host := r.sources[source%len(r.sources)]
	go func() {
		part := r.ask(ctx, host, offset)
		r.answers <- partAnswer{
			source: source,
			offset: offset,
			part:   part,
			took:   r.Now().Sub(began),
		}
	}()
}

// take adds what a host has sent, and chooses the next host to ask: the same one if it was quick. It returns the block once it is whole.
func (r *blockReader) take(a partAnswer) ([]byte, error) {
	r.asked--
	known := r.block.Known()
	if len(a.part) == 0 || a.took >= slowPart {
		r.next = max(r.next, a.source+1)
	} else {
		r.next = a.source
	}
	if a.offset+len(a.part) <= known {
		r.failures++
		return nil, nil
	}
	r.failures = 0
	r.progressAt = r.Now()
	r.counts.readBytes.Add(int64(len(a.part)))
	// Another host may have sent the first of these bytes as well.
	whole, err := r.block.Add(a.part[known-a.offset:])
	if err != nil {
		return nil, fmt.Errorf("read block: %w", err)
	}
	return whole, nil
}

// ask returns the bytes from the offset on that the host knows. If its answer breaks off, what has arrived of it counts.
func (r *blockReader) ask(ctx context.Context, h Host, offset int) []byte {
	resp, err := jhttp.Do(ctx, r.peers.http, jhttp.Call{
		Method: http.MethodPost,
		URL:    "http://" + h.Addr + pathBlock,
		Body: partRequest{
			ID:     r.ref.ID,
			Offset: offset,
			From:   r.Host,
		},
		Limit: partBytes,
		Timeouts: jhttp.Timeouts{
			Head:  partWait + partTimeout,
			Stall: partTimeout,
		},
	})
	if err != nil && ctx.Err() == nil {
		r.Log.WithError(err).WithField("host", h.Name).WithField("block", r.ref.ID).Debug("Part of a block did not arrive whole.")
	}
	if resp.Status != http.StatusOK {
		return nil
	}
	return resp.Body
}
