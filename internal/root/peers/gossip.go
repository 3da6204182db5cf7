package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/super"
)

const (
	// nearFanout and farFanout are how many peers of the own and of other failure domains one round reaches.
	nearFanout = 2
	farFanout  = 1
	// farEvery is how many rounds pass between two with peers of other failure domains.
	farEvery = 2
	// pushLimit bounds how many peers urgent news goes to directly; the rounds carry it on.
	pushLimit   = 64
	pushTimeout = 250 * time.Millisecond
)

// Exchanger reaches one peer.
type Exchanger interface {
	Exchange(ctx context.Context, addr string) error
}

// Gossip reaches a few peers in each round, chosen at random.
type Gossip struct {
	common.Deps
	registry *view.Registry
	mesh     Exchanger
	seeds    []string
	every    time.Duration
	rng      *rand.Rand
	round    int
}

// NewGossip returns a gossip through the mesh; seeds are asked besides the known hosts.
func NewGossip(deps common.Deps, registry *view.Registry, mesh Exchanger, seeds []string, every time.Duration, rng *rand.Rand) *Gossip {
	return &Gossip{
		Deps:     deps.WithPart("peers"),
		registry: registry,
		mesh:     mesh,
		seeds:    seeds,
		every:    every,
		rng:      rng,
	}
}

// Part returns the gossip as a supervised part.
func (r *Gossip) Part() super.Part {
	return super.Every("gossip", func() time.Duration { return r.every }, r.tick)
}

func (r *Gossip) tick(ctx context.Context) {
	r.round++
	r.reach(ctx, r.choose())
}

// choose draws the peers of this round.
func (r *Gossip) choose() []string {
	near, far := r.registry.Targets(r.Now())
	if len(near)+len(far) == 0 {
		far = r.seeds
	}
	out := draw(r.rng, near, nearFanout)
	if r.round%farEvery == 0 || len(near) == 0 {
		out = append(out, draw(r.rng, far, farFanout)...)
	}
	return out
}

func draw(rng *rand.Rand, from []string, n int) []string {
	var out []string
	for _, i := range rng.Perm(len(from)) {
		if len(out) == n {
			break
		}
		out = append(out, from[i])
	}
	return out
}

func (r *Gossip) reach(ctx context.Context, addrs []string) {
	var g errgroup.Group
	for _, a := range addrs {
		g.Go(func() error {
			if err := r.mesh.Exchange(ctx, a); err != nil {
				r.Log.WithError(err).Debug("Peer cannot be reached.")
			}
			return nil
		})
	}
	// A peer that cannot be reached is asked again in a later round.
	_ = g.Wait()
}

// Push tells as many peers as it may at once, and returns when they know or the time for that is over.
func (r *Gossip) Push(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	near, far := r.registry.Targets(r.Now())
	all := append(near, far...)
	r.reach(ctx, all[:min(pushLimit, len(all))])
}
