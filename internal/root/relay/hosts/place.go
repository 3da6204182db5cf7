package hosts

import (
	"net/http"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
)

// noShardRetryAfter is the delay for work of a pool without workers in the regions of the work.
const noShardRetryAfter = time.Second

// pathBoundWork is the path for work that is bound to regions. A host of an older build, which would run it anywhere, does not know the path.
const pathBoundWork = "/work-in-regions"

// UseDomains sets the regions of failure domains. It must be called before Run.
func (p *Peers) UseDomains(d place.Domains) {
	p.domains = d
}

// mayReceive returns the hosts that may get what belongs to a request for the regions.
func (p *Peers) mayReceive(hosts []Host, regions place.Regions) []Host {
	if !regions.Bound() {
		return hosts
	}
	return slices.DeleteFunc(hosts, func(h Host) bool { return !p.isIn(h, regions) })
}

func (p *Peers) isIn(h Host, regions place.Regions) bool {
	return regions.Allows(p.domains.Region(h.Domain))
}

// receiver returns the owner of a queue if it may get work for the regions, or else this host, which has the request already.
func (p *Peers) receiver(owner Host, regions place.Regions) Host {
	if p.isIn(owner, regions) {
		return owner
	}
	return p.roster.self
}

// candidates returns the queues to send the work to, in order.
func (p *Peers) candidates(now time.Time, w batch.Work) []batch.Shard {
	shards := p.local.Shards(w.Pool)
	allowed := batch.ShardsIn(shards, w.Regions, p.domains)
	if len(shards) > 0 && len(allowed) == 0 {
		return nil
	}
	return p.picker.Candidates(now, w, allowed, p.roster.self.Domain)
}

// workPath returns the path for the work at another host.
func workPath(w batch.Work) string {
	if w.Regions.Bound() {
		return pathBoundWork
	}
	return pathWork
}

// boundWork runs a peer's work that is bound to regions.
func (p *Peers) boundWork(w http.ResponseWriter, r *http.Request) {
	var work batch.Work
	if !decodeBody(w, r, &work) {
		return
	}
	if len(work.Regions) == 0 {
		http.Error(w, "work names no regions", http.StatusBadRequest)
		return
	}
	p.serveWork(w, r, work)
}
