package sweep

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

func TestRoundDeletesDueClosedClaimsAndRetainsOpenOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := table.NewRows()
		flaky := table.NewFlaky(rows, table.FaultRates{LostAfter: 0.1}, 1)
		deps := common.NewQuietDeps("h", "d")
		ctx, cancel := context.WithCancel(context.Background())
		claims := claim.New(deps, flaky, func() int { return 1 })
		go func() { _ = claims.Run(ctx, func() {}) }()
		const keys = 350
		for i := range keys {
			v, err := claims.Acquire(ctx, claim.Record{
				Account:  "a",
				Key:      fmt.Sprint(i),
				Token:    "t",
				State:    claim.Sending,
				Deadline: time.Now().Add(8 * time.Second),
			})
			owned, ok := v.(claim.Acquired)
			if err != nil || !ok {
				t.Fatalf("acquire claim with key %d: got %v and error %v", i, v, err)
			}
			if i%7 > 0 {
				<-claims.RecordOutcome(owned.Record.WithAnswer(wire.Answer{RequestID: "r", Outcome: wire.Answered}))
			}
		}
		isLeader := false
		s := New(deps, flaky, func() bool { return isLeader })
		remaining := func() (n int) {
			for i := range keys {
				if _, ok := rows.Get(claim.TableName, claim.RowKey("a", fmt.Sprint(i))); ok {
					n++
				}
			}
			return n
		}
		runRounds := func() {
			for range 20 {
				s.Round(ctx)
			}
		}
		time.Sleep(claim.Retention + 2*time.Hour)
		if runRounds(); remaining() != keys {
			t.Errorf("%d of %d claims are left after the rounds of a host without the lease", remaining(), keys)
		}
		isLeader = true
		if runRounds(); remaining() != keys/7 {
			t.Errorf("%d claims are left, want the %d without an outcome", remaining(), keys/7)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestExpiryRowIsDueAfterItsHour(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key := fmt.Sprintf("%012d/a/k", now.Unix()/3600)
	if claim.ExpiryDue(key, now) || !claim.ExpiryDue(key, now.Add(time.Hour)) {
		t.Error("an expiry row is due before its hour has passed, or is not due afterwards")
	}
	if claim.RowKeyFromExpiry(key) != "a/k" {
		t.Errorf("got claim key %q, want a/k", claim.RowKeyFromExpiry(key))
	}
	if claim.ExpiryDue("nonsense", now) {
		t.Error("a row without an hour in its key is due")
	}
}
