package chain

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// CrashGuard blocks requests that crash the upstreams they run on.
// A request that was running during at least one crash is a suspect. Each suspect runs on trial, which means that this host runs no other suspect on the same upstream at the same time.
type CrashGuard interface {
	// Crashes returns the number of crashes of the request, and whether the request is blocked for that reason.
	Crashes(fp crash.Fingerprint) (n int, blocked bool)
	// OwnsTrials reports whether only this host may put suspect requests on trial on the upstream.
	OwnsTrials(upstream string) bool
	// StartTrial puts a suspect request on trial on the upstream, and reports false if another one is on trial there.
	StartTrial(fp crash.Fingerprint, upstream string) bool
	// EndTrial ends the trial of the request on the upstream. It does nothing if that request is not on trial there.
	EndTrial(fp crash.Fingerprint, upstream string)
	// Broke handles a connection that was lost while the upstream ran the request.
	// It reports whether the upstream is unreachable. If so, it notifies the other hosts of a new crash before it returns.
	Broke(ctx context.Context, fp crash.Fingerprint, up route.Upstream) bool
}

type noCrashGuard struct{}

func (noCrashGuard) Crashes(crash.Fingerprint) (int, bool)                         { return 0, false }
func (noCrashGuard) OwnsTrials(string) bool                                        { return true }
func (noCrashGuard) StartTrial(crash.Fingerprint, string) bool                     { return true }
func (noCrashGuard) EndTrial(crash.Fingerprint, string)                            {}
func (noCrashGuard) Alive(context.Context, route.Upstream) bool                    { return true }
func (noCrashGuard) Broke(context.Context, crash.Fingerprint, route.Upstream) bool { return false }
