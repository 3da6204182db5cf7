package flow

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/route"
	"github.com/cornelwing/cornelwing/internal/root/warm"
)

const (
	// evacuatedRetryAfter is the Retry-After time while all upstreams of a request are in evacuated failure domains.
	evacuatedRetryAfter = 2 * time.Second
	// otherRegionsRetryAfter is the Retry-After time if no upstream is in a region that the request may use, which an operator has to change.
	otherRegionsRetryAfter = 5 * time.Second
)

// Evacuations knows which failure domains are evacuated.
type Evacuations interface {
	// Age returns how long this host has known that the failure domain is evacuated, or false if it is not.
	Age(domain string) (time.Duration, bool)
}

// bindRegions determines the regions that the request may use. It sends an error response and returns false if there are none.
func (x *exchange) bindRegions() bool {
	x.regions = x.route.Regions.Intersect(x.account.Regions)
	if !x.regions.Bound() || len(x.regions) > 0 {
		return true
	}
	x.respondUnavailable(otherRegionsRetryAfter, CauseOtherRegions, "route and account have no region in common, or the account's regions can't be read")
	return false
}

// choosePool selects the pool of the request: the one that is drawn by weight, or another target if the upstreams of that one are all in the wrong place. It sends an error response and returns false if those of all targets are.
func (x *exchange) choosePool(draw float64) bool {
	x.pool = x.route.Pool(draw)
	drawn := x.Table.Closure(x.pool, x.regions)
	if _, open := drawn.(route.Open); open {
		return true
	}
	for _, t := range x.route.Targets {
		if _, open := x.Table.Closure(t.Pool, x.regions).(route.Open); open && t.Weight > 0 {
			x.pool = t.Pool
			return true
		}
	}
	return !x.abandonIfClosed(x.pool)
}

// abandonIfMisplaced abandons the request if the place of the upstreams keeps it from its pool or from that of a stage, and reports whether it did.
func (x *exchange) abandonIfMisplaced() bool {
	if x.abandonIfClosed(x.pool) {
		return true
	}
	if x.stagesDone {
		return false
	}
	for i, s := range x.route.Stages {
		if x.requestHead.pieceCount(i) > 0 && x.abandonIfClosed(s.Pool) {
			return true
		}
	}
	return false
}

// abandonIfClosed abandons the request if the place of its upstreams keeps it from the pool, and reports whether it did.
func (x *exchange) abandonIfClosed(pool string) bool {
	switch c := x.Table.Closure(pool, x.regions).(type) {
	case route.Open:
		return false
	case route.Evacuated:
		x.abandon(CauseEvacuated, fmt.Sprintf("all upstreams of pool %s%s are in evacuated failure domains: %s", pool, x.regionText(), x.evacuationText(c.Domains)), evacuatedRetryAfter)
	case route.OtherRegions:
		x.abandon(CauseOtherRegions, fmt.Sprintf("pool %s has no upstream%s", pool, x.regionText()), otherRegionsRetryAfter)
	default:
		panic(fmt.Sprintf("unknown closure %T", c))
	}
	return true
}

// regionText returns the regions of the request for a detail, or "" if it may use any.
func (x *exchange) regionText() string {
	if !x.regions.Bound() {
		return ""
	}
	return " in regions " + strings.Join(x.regions, ",")
}

// evacuationText returns the failure domains for a detail, each with the time for which this host has known its evacuation.
func (x *exchange) evacuationText(domains []string) string {
	var out []string
	for _, d := range domains {
		age, _ := x.Evacuations.Age(d)
		out = append(out, fmt.Sprintf("%s (for %d ms)", d, age.Milliseconds()))
	}
	return strings.Join(out, ", ")
}

// takePermit returns whether one request may be sent to a limited upstream now. If not, it keeps the upstream from being chosen for a moment.
func (x *exchange) takePermit(ctx context.Context, up route.Upstream) bool {
	permit := warm.NewPermit(x.PermitClock)
	granted, retry := x.Limits.Take(ctx, up)
	switch {
	case !granted:
		x.Log.WithField("request", x.requestHead.ID).WithField("upstream", up.Name).WithField("cold", up.Cold).WithField("retry_ms", retry.Milliseconds()).Debug("No permit for the upstream.")
		x.Table.Hold(x.Now(), up.Name, retry)
	case x.Table.IsEvacuated(up.Name):
		x.Table.Release(x.Now(), up.Name)
		granted = false
	case up.Cold:
		// A permit for a cold upstream must be used at once.
		x.permit = permit
	}
	return granted
}
