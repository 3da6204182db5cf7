package front

import (
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// BenchmarkAdmission measures the admission of one urgent request: rate limit, fair share, and latency prediction for four pools.
func BenchmarkAdmission(b *testing.B) {
	f := newFleetModel(1, threeDomains())
	hosts := func() int { return 9 }
	admitter := NewAdmitter(common.NewQuietDeps("h", "centro-1"), tableOf(f, "centro-1"), hosts, hosts, 256)
	req := newRequest(1, time.Now().Add(time.Hour), false, 1)
	req.Account.RatePerSecond = 1e12
	b.ReportAllocs()
	for b.Loop() {
		permit, p := admitter.Admit(b.Context(), req)
		if p != nil {
			b.Fatal(p)
		}
		permit.Release()
	}
}
