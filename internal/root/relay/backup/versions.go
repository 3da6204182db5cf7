package backup

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// Routes knows since when routes have had the same pools.
type Routes interface {
	// Digests returns the digests of the active plan, or false if there is none.
	Digests() ([plan.DigestCount]plan.RouteDigest, bool)
	// AddEarlier adds what other hosts wrote of the routes.
	AddEarlier(digests [plan.DigestCount]plan.RouteDigest)
}

// UseRoutes sets what the rows of versions also tell of routes. It must be called before Run.
func (b *Backup) UseRoutes(r Routes) {
	b.routes = r
}

// routesOf returns the digests for a row that is written at a time of the store's clock.
func (b *Backup) routesOf(digests [plan.DigestCount]plan.RouteDigest, now time.Time, nowMS, atMS int64) []routeDigest {
	out := make([]routeDigest, 0, len(digests))
	for _, d := range digests {
		out = append(out, routeDigest{
			Digest:  d.Digest,
			SinceMS: min(atMS, nowMS-now.Sub(d.Since).Milliseconds()),
		})
	}
	return out
}

// sameRoutes reports whether the digests are the same, whatever their times.
func sameRoutes(a, b [plan.DigestCount]plan.RouteDigest) bool {
	return slices.EqualFunc(a[:], b[:], func(a, b plan.RouteDigest) bool { return a.Digest == b.Digest })
}

// addRoutes passes on the digests of a row. Another number of them is that of another build.
func (b *Backup) addRoutes(routes []routeDigest, nowMS int64) {
	if len(routes) != plan.DigestCount {
		return
	}
	var digests [plan.DigestCount]plan.RouteDigest
	for i, d := range routes {
		digests[i] = plan.RouteDigest{
			Digest: d.Digest,
			Since:  b.localTime(d.SinceMS, nowMS),
		}
	}
	b.routes.AddEarlier(digests)
}

// writeVersions writes the versions of all pools, if that is up to this host and they have changed or were written long ago.
func (b *Backup) writeVersions(ctx context.Context) {
	nowMS, known := b.clock.now()
	if !known || !b.writesForAll() {
		b.written = nil
		return
	}
	now := b.Now()
	soles, age, ok := b.history.All(now)
	if !ok || len(soles) == 0 {
		return
	}
	versions := map[string]string{}
	row := versionsRow{
		AtMS:       nowMS - age.Milliseconds(),
		Pools:      map[string]poolVersion{},
		SettledEra: b.settledEra(),
	}
	for pool, s := range soles {
		versions[pool] = s.Version
		row.Pools[pool] = poolVersion{
			Version: s.Version,
			SinceMS: min(row.AtMS, nowMS-s.ForMS),
		}
	}
	routes, known := b.routes.Digests()
	if known {
		row.Routes = b.routesOf(routes, now, nowMS, row.AtMS)
	}
	if b.written != nil && maps.Equal(versions, b.written) && sameRoutes(routes, b.writtenRoutes) && now.Sub(b.writtenAt) < confirmInterval {
		return
	}
	err := putJSON(ctx, b.table, versionsKey, row)
	b.recordWrite(err)
	if err != nil {
		return
	}
	b.written = versions
	b.writtenRoutes = routes
	b.writtenAt = now
}
