package flow

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// spendAll takes retries until the budget is empty and returns their number.
func spendAll(s *Service) int {
	n := 0
	for s.retryBudget("p").TryWithdraw() {
		n++
	}
	return n
}

func TestRetryBudgetIsDividedAmongHosts(t *testing.T) {
	hosts := 0
	service := func() *Service {
		return &Service{
			Budget:    Budget{Ratio: 0.2, ExtraRetries: 58},
			HostCount: func() int { return hosts },
		}
	}
	Convey("A host that does not know the number of hosts has a single retry", t, func() {
		hosts = 0
		So(spendAll(service()), ShouldEqual, 1)
	})
	Convey("Nine hosts together get no more extra retries than are configured", t, func() {
		hosts = 9
		So(9*spendAll(service()), ShouldBeLessThanOrEqualTo, 58)
	})
	Convey("The share of a host shrinks as the number of hosts grows", t, func() {
		hosts = 2
		s := service()
		s.retryBudget("p")
		hosts = 29
		So(spendAll(s), ShouldEqual, 2)
	})
	Convey("Each request adds the ratio to the budget", t, func() {
		hosts = 58
		s := service()
		So(spendAll(s), ShouldEqual, 1)
		for range 5 {
			s.retryBudget("p").Deposit()
		}
		So(spendAll(s), ShouldEqual, 1)
	})
}
