package chain

import (
	"context"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
)

// Suspects stops requests that crash the upstreams they run on, and keeps those that might be to blame apart.
type Suspects interface {
	// Crashes returns how many crashes the request was in, and whether that is too many to run it again.
	Crashes(p crash.Fingerprint) (n int, blocked bool)
	// Mine reports whether this host alone may try suspects on the upstream.
	Mine(upstream string) bool
	// Hold puts a suspect on trial on the upstream, unless another one is there.
	Hold(p crash.Fingerprint, upstream string) bool
	// Free ends the trial.
	Free(p crash.Fingerprint, upstream string)
	// Broke tells that the connection to an upstream was lost while it ran the request.
	// It reports whether the upstream is gone, and returns once the other hosts know.
	Broke(ctx context.Context, p crash.Fingerprint, up route.Upstream) bool
}

type noSuspects struct{}

func (noSuspects) Crashes(crash.Fingerprint) (int, bool)                         { return 0, false }
func (noSuspects) Mine(string) bool                                              { return true }
func (noSuspects) Hold(crash.Fingerprint, string) bool                           { return true }
func (noSuspects) Free(crash.Fingerprint, string)                                {}
func (noSuspects) Alive(context.Context, route.Upstream) bool                    { return true }
func (noSuspects) Broke(context.Context, crash.Fingerprint, route.Upstream) bool { return false }
