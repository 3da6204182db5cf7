package relay

import "net/http"

// readyHandler answers every request on the address of readiness alike, as the path is the platform's.
func (r *Relay) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := r.unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// unready says why the balancer should send nothing here, or "".
func (r *Relay) unready() string {
	p := r.plans.Current()
	switch {
	case r.roster.Leaving():
		return "leaving"
	case r.callers.Addr() == "":
		return "no requests are taken yet"
	case p == nil:
		return "no configuration yet"
	case !r.members.Loaded():
		return "no upstreams are known yet"
	case !r.synced.Load():
		return "upstreams are not in use yet"
	case !r.roster.Loaded():
		return "no other hosts are known yet"
	case p.Closed() && !r.lease.Valid():
		return "keys are not known to be valid"
	default:
		return ""
	}
}
