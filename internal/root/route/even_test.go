package route

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// unevenLoad is what 78 hosts send to 90 upstreams of which a third takes 2.4 times as long as the others.
func unevenLoad() modelLoad {
	return modelLoad{
		hosts:     78,
		ups:       90,
		perSecond: 270,
		reportAge: 500 * time.Millisecond,
		speeds:    []float64{0.7, 0.7, 1.7},
		length:    10 * time.Second,
	}
}

// compareWays runs the model with each way to choose and prints what it measured. It returns the results by way.
func compareWays(t *testing.T, load modelLoad) map[modelWay]modelResult {
	results := map[modelWay]modelResult{}
	for way, name := range modelWayNames {
		r := runModel(load, modelWay(way), 1)
		t.Logf("%-14s wait %3d ms, p99 %4d ms, busiest/mean %.2f, late %.3f, shared tokens read again %.3f", name, r.wait.Milliseconds(), r.wait99.Milliseconds(), r.busiest, r.late, r.again)
		results[modelWay(way)] = r
	}
	return results
}

// checkEven checks that requests wait less than by load alone, with and without the reports of other hosts, and that prompts still go where their prefixes are cached.
func checkEven(t *testing.T, load modelLoad) {
	Convey(fmt.Sprintf("Given %+v", load), t, func() {
		results := compareWays(t, load)
		shared := results[wayShared]
		before := results[wayNoPace]
		So(shared.failed, ShouldEqual, 0)
		So(shared.wait, ShouldBeLessThan, before.wait)
		So(shared.wait99, ShouldBeLessThan, before.wait99)
		So(shared.late, ShouldBeLessThanOrEqualTo, before.late)
		So(shared.wait, ShouldBeLessThan, results[wayOwnReports].wait)
		So(shared.again, ShouldBeLessThan, results[wayRandom].again/2)
	})
}

// Guards against upstreams that are overrun as all hosts take them for as fast as the others.
func TestUpstreamsOfUnevenSpeedAreNotOverrun(t *testing.T) {
	checkEven(t, unevenLoad())
}

// Guards against a burst that meets the slow upstreams as much as the fast ones.
func TestBurstGoesToUpstreamsThatCanTakeIt(t *testing.T) {
	load := unevenLoad()
	load.burst = 2
	checkEven(t, load)
}

// Guards against many hosts that all choose the upstream which looks idle in the same report.
func TestManyHostsDoNotFollowTheSameReport(t *testing.T) {
	load := unevenLoad()
	load.hosts = 300
	load.burst = 2
	checkEven(t, load)
}

// Guards against a choice that only works with many hosts.
func TestFewHostsLoadUpstreamsEvenly(t *testing.T) {
	load := unevenLoad()
	load.hosts = 9
	checkEven(t, load)
}

// Guards against an upstream that is overrun by a prefix which much of the traffic shares.
func TestHotPrefixIsBoundedByExpectedTime(t *testing.T) {
	load := unevenLoad()
	load.hotShare = 0.28
	checkEven(t, load)
}

// Guards against waits after the loss of a third of the upstreams and of a host.
func TestLossOfUpstreamsIsSpreadEvenly(t *testing.T) {
	load := unevenLoad()
	load.lostShare = 1.0 / 3
	load.lostHosts = 1
	checkEven(t, load)
}

// Guards against a choice that needs reports of this moment.
func TestReportsOfAnyAgeLoadUpstreamsEvenly(t *testing.T) {
	for _, age := range []time.Duration{0, 250 * time.Millisecond} {
		load := unevenLoad()
		load.reportAge = age
		checkEven(t, load)
	}
}
