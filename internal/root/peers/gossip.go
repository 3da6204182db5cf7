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
	// localFanout and remoteFanout are the numbers of peers contacted in one round in this host's failure domain and in others.
	localFanout  = 2
	remoteFanout = 1
	// remoteEvery is the number of rounds from one contact with other failure domains to the next.
	// A host without peers in its own domain contacts others in every round.
	remoteEvery = 2
	// pushFanout is the maximum number of peers that receive an urgent update directly. The regular rounds send it to the others.
	pushFanout  = 64
	pushTimeout = 250 * time.Millisecond
)

// Exchanger exchanges state with the peer at an address.
type Exchanger interface {
	Exchange(ctx context.Context, addr string) error
}

// Gossip exchanges state with a few randomly selected peers in each round.
type Gossip struct {
	common.Deps
	registry *view.Registry
	mesh     Exchanger
	seeds    []string
	interval time.Duration
	rng      *rand.Rand
	round    int
}

// NewGossip returns a Gossip that runs one round per interval. It contacts the seeds only while no other host is known.
func NewGossip(deps common.Deps, registry *view.Registry, mesh Exchanger, seeds []string, interval time.Duration, rng *rand.Rand) *Gossip {
	return &Gossip{
		Deps:     deps.WithPart("peers"),
		registry: registry,
		mesh:     mesh,
		seeds:    seeds,
		interval: interval,
		rng:      rng,
	}
}

// Part returns the gossip rounds as a part for the supervision tree.
func (g *Gossip) Part() super.Part {
	return super.Every("gossip", func() time.Duration { return g.interval }, g.tick)
}

func (g *Gossip) tick(ctx context.Context) {
	g.round++
	g.exchangeAll(ctx, g.selectPeers())
}

// selectPeers returns the addresses to contact in this round.
func (g *Gossip) selectPeers() []string {
	local, remote := g.registry.PeerAddrs(g.Now())
	if len(local)+len(remote) == 0 {
		remote = g.seeds
	}
	out := sample(g.rng, local, localFanout)
	if g.round%remoteEvery == 0 || len(local) == 0 {
		out = append(out, sample(g.rng, remote, remoteFanout)...)
	}
	return out
}

// sample returns up to n randomly selected elements.
func sample(rng *rand.Rand, from []string, n int) []string {
	var out []string
	for _, i := range rng.Perm(len(from)) {
		if len(out) == n {
			break
		}
		out = append(out, from[i])
	}
	return out
}

func (g *Gossip) exchangeAll(ctx context.Context, addrs []string) {
	var group errgroup.Group
	for _, a := range addrs {
		group.Go(func() error {
			if err := g.mesh.Exchange(ctx, a); err != nil {
				g.Log.WithError(err).Debug("Exchange with peer failed.")
			}
			return nil
		})
	}
	// Wait returns nil: exchange errors are logged, and a later round may select the same peer again.
	_ = group.Wait()
}

// Push exchanges state with up to pushFanout peers in parallel, without waiting for the next round.
// It returns when all exchanges have ended or pushTimeout has passed.
func (g *Gossip) Push(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	local, remote := g.registry.PeerAddrs(g.Now())
	all := append(local, remote...)
	g.exchangeAll(ctx, all[:min(pushFanout, len(all))])
}
