package relay

import (
	"github.com/cornelwing/cornelwing/internal/root/relay/hosts"
	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/warm"
)

// newWarmUps returns what keeps to the rates of cold upstreams. It learns of them from their rows and from connections that fail, if the settings bound the requests to them.
func (r *Relay) newWarmUps() *hosts.WarmUps {
	bound := warm.Bound{
		Overage: r.settings.WarmUp.Overage,
		Slack:   r.settings.WarmUp.Slack,
	}
	w := hosts.NewWarmUps(r.Deps, r.peers, r.plans, bound, r.applyCold)
	if bound.Overage <= 0 {
		return w
	}
	r.upstreams.OnRow(func(up route.Upstream, value []byte, restored bool) {
		w.RecordRow(up, r.adapter.Cold(value), restored)
	})
	r.crashes.OnUnreachable(w.RecordUnreachable)
	return w
}

// applyCold makes the routing table keep to the cold time of an upstream.
func (r *Relay) applyCold(i route.Incarnation, c route.Cold) {
	r.table.SetCold(r.Now(), i, c)
}
