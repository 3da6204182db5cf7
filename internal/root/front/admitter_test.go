package front

import (
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// BenchmarkAdmission is the whole of the admitter for one urgent request: limit, share, prediction over four pools.
func BenchmarkAdmission(b *testing.B) {
	f := newFleetModel(1, three())
	one := func() int { return 9 }
	l := NewAdmitter(common.Quiet("h", "centro-1"), tableOf(f, "centro-1"), one, one, 256)
	a := askOf(1, time.Now().Add(time.Hour), false, 1)
	a.Account.RatePerSecond = 1e12
	b.ReportAllocs()
	for b.Loop() {
		permit, p := l.Enter(b.Context(), a)
		if p != nil {
			b.Fatal(p)
		}
		permit.End()
	}
}
