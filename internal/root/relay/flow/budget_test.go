package flow

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// spent takes retries until none is left.
func spent(s *Service) int {
	n := 0
	for s.budget("p").Spend() {
		n++
	}
	return n
}

func TestShareOfTheRetryBudget(t *testing.T) {
	hosts := 0
	service := func() *Service {
		return &Service{
			Budget: Budget{Ratio: 0.2, Extra: 58},
			Hosts:  func() int { return hosts },
		}
	}
	Convey("A host that doesn't know the others takes next to nothing of what all share", t, func() {
		hosts = 0
		So(spent(service()), ShouldEqual, 1)
	})
	Convey("Nine hosts together take no more than there is", t, func() {
		hosts = 9
		So(9*spent(service()), ShouldBeLessThanOrEqualTo, 58)
	})
	Convey("A share shrinks as more hosts are known", t, func() {
		hosts = 2
		s := service()
		s.budget("p")
		hosts = 29
		So(spent(s), ShouldEqual, 2)
	})
	Convey("Requests add to it by the ratio", t, func() {
		hosts = 58
		s := service()
		So(spent(s), ShouldEqual, 1)
		for range 5 {
			s.budget("p").Earn()
		}
		So(spent(s), ShouldEqual, 1)
	})
}
