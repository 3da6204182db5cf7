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

func TestClosedClaimsAreDeletedAndOpenOnesKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := table.NewRows()
		flaky := table.NewFlaky(rows, table.Odds{LostAfter: 0.1}, 1)
		deps := common.Quiet("h", "d")
		ctx, cancel := context.WithCancel(context.Background())
		keeper := claim.New(deps, flaky, func() int { return 1 })
		go func() { _ = keeper.Run(ctx, func() {}) }()
		const keys = 350
		for i := range keys {
			v, err := keeper.Begin(ctx, claim.Record{
				Account:  "a",
				Key:      fmt.Sprint(i),
				Token:    "t",
				State:    claim.Sending,
				Deadline: time.Now().Add(8 * time.Second),
			})
			mine, ok := v.(claim.Mine)
			if err != nil || !ok {
				t.Fatalf("key %d: %v %v", i, v, err)
			}
			if i%7 > 0 {
				<-keeper.Settle(mine.Record.WithAnswer(wire.Answer{RequestID: "r", Outcome: wire.Answered}))
			}
		}
		leads := false
		s := New(deps, flaky, func() bool { return leads })
		left := func() (n int) {
			for i := range keys {
				if _, ok := rows.Get(claim.TableName, claim.RowKey("a", fmt.Sprint(i))); ok {
					n++
				}
			}
			return n
		}
		round := func() {
			for range 20 {
				s.Round(ctx)
			}
		}
		time.Sleep(claim.Retention + 2*time.Hour)
		if round(); left() != keys {
			t.Errorf("a host without the lease left %d of %d claims", left(), keys)
		}
		leads = true
		if round(); left() != keys/7 {
			t.Errorf("%d claims are left, %d have no outcome", left(), keys/7)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestClaimsAreKeptForTheirTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key := fmt.Sprintf("%012d/a/k", now.Unix()/3600)
	if claim.Due(key, now) || !claim.Due(key, now.Add(time.Hour)) {
		t.Error("an hour is due before it has passed, or not after")
	}
	if claim.ExpiryClaim(key) != "a/k" {
		t.Errorf("the claim is %q", claim.ExpiryClaim(key))
	}
	if claim.Due("nonsense", now) {
		t.Error("a row without an hour is due")
	}
}
