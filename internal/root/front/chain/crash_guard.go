package chain

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// CrashGuard blocks requests that crash the upstreams they run on.
// A request that was running during at least one crash is a suspect. Each run of a suspect on an upstream is a trial. During a trial this host runs no other suspect on that upstream.
type CrashGuard interface {
	// Crashes returns the number of crashes of the request, and whether the request is blocked for that reason.
	Crashes(fp crash.Fingerprint) (n int, blocked bool)
	// OwnsTrials reports whether the trials of suspect requests on the upstream are assigned to this host only.
	OwnsTrials(upstream string) bool
	// StartTrial starts a trial of the suspect request on the upstream. It returns false if the trial of another request is running there.
	StartTrial(fp crash.Fingerprint, upstream string) bool
	// EndTrial ends the trial of the request on the upstream. It does nothing if the request has no trial there.
	EndTrial(fp crash.Fingerprint, upstream string)
	// RecordConnLoss handles a connection that was lost while the upstream ran the request.
	// It reports whether the upstream is unreachable. If so, it notifies the other hosts of a new crash before it returns.
	RecordConnLoss(ctx context.Context, fp crash.Fingerprint, up route.Upstream) bool
}

type noGuard struct{}

func (noGuard) Crashes(crash.Fingerprint) (int, bool)                                  { return 0, false }
func (noGuard) OwnsTrials(string) bool                                                 { return true }
func (noGuard) StartTrial(crash.Fingerprint, string) bool                              { return true }
func (noGuard) EndTrial(crash.Fingerprint, string)                                     {}
func (noGuard) Alive(context.Context, route.Upstream) bool                             { return true }
func (noGuard) RecordConnLoss(context.Context, crash.Fingerprint, route.Upstream) bool { return false }
