package relay

import "net/http"

// readyHandler gives the same response for every path, as the platform chooses the path of its readiness check.
func (r *Relay) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := r.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// notReadyReason returns why the load balancer should send no requests to this host, or "" if the host is ready.
func (r *Relay) notReadyReason() string {
	p := r.plans.Current()
	switch {
	case r.roster.Leaving():
		return "leaving"
	case r.callers.Addr() == "":
		return "no requests are taken yet"
	case p == nil:
		return "no configuration yet"
	case !r.ordersLoaded():
		return "evacuated failure domains are not known yet"
	case !r.upstreams.Loaded():
		return "no upstreams are known yet"
	case !r.synced.Load():
		return "upstreams are not in use yet"
	case !r.roster.Loaded():
		return "no other hosts are known yet"
	case p.RequiresKeys() && !r.lease.Valid():
		return "keys are not known to be valid"
	case !r.ordersComplete():
		return "evacuated failure domains of a restored store are not known yet"
	default:
		return ""
	}
}
