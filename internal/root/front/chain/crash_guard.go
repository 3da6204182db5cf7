package chain

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// CrashGuard blocks requests that crash the upstreams they run on. It runs suspect requests, which were in at least one crash, on trial on separate upstreams.
type CrashGuard interface {
	// Crashes returns the number of crashes of the request, and whether the request is blocked for that reason.
	Crashes(p crash.Fingerprint) (n int, blocked bool)
	// OwnsTrials reports whether only this host may put suspect requests on trial on the upstream.
	OwnsTrials(upstream string) bool
	// StartTrial puts a suspect request on trial on the upstream, and reports false if another one is on trial there.
	StartTrial(p crash.Fingerprint, upstream string) bool
	// EndTrial ends the trial of the request on the upstream. It does nothing if that request is not on trial there.
	EndTrial(p crash.Fingerprint, upstream string)
	// Broke handles a connection that was lost while the upstream ran the request.
	// It reports whether the upstream is unreachable, and if so returns after it has notified the other hosts.
	Broke(ctx context.Context, p crash.Fingerprint, up route.Upstream) bool
}

type noCrashGuard struct{}

func (noCrashGuard) Crashes(crash.Fingerprint) (int, bool)                         { return 0, false }
func (noCrashGuard) OwnsTrials(string) bool                                        { return true }
func (noCrashGuard) StartTrial(crash.Fingerprint, string) bool                     { return true }
func (noCrashGuard) EndTrial(crash.Fingerprint, string)                            {}
func (noCrashGuard) Alive(context.Context, route.Upstream) bool                    { return true }
func (noCrashGuard) Broke(context.Context, crash.Fingerprint, route.Upstream) bool { return false }
