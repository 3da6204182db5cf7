package origin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

func upstreams(versions ...string) []route.Upstream {
	var out []route.Upstream
	for _, v := range versions {
		out = append(out, route.Upstream{Pool: "p", Version: v})
	}
	return out
}

func TestHistoryKnowsSinceWhenAPoolHasHadOneVersion(t *testing.T) {
	Convey("Given a pool of one version", t, func() {
		h := NewHistory()
		now := time.Unix(100, 0)
		_, ok := h.Sole(now, "p")
		So(ok, ShouldBeFalse)
		h.Sync(now, upstreams("v1", "v1"))
		h.Confirm(now)
		read := func(after time.Duration) {
			for end := now.Add(after); now.Before(end); {
				now = now.Add(time.Second)
				h.Confirm(now)
			}
		}
		read(10 * time.Second)
		s, ok := h.Sole(now, "p")
		So(ok, ShouldBeTrue)
		So(s, ShouldResemble, Sole{Version: "v1", ForMS: 10_000, SeenMS: 10_000})
		Convey("changes without another version don't matter", func() {
			h.Sync(now, upstreams("v1"))
			h.Sync(now, nil)
			h.Sync(now, upstreams("v1", "v1", "v1"))
			s, _ := h.Sole(now, "p")
			So(s, ShouldResemble, Sole{Version: "v1", ForMS: 10_000, SeenMS: 10_000})
		})
		Convey("with a second version there is none, and after it the time begins anew", func() {
			h.Sync(now, upstreams("v1", "v2"))
			s, _ := h.Sole(now, "p")
			So(s.Version, ShouldBeEmpty)
			read(time.Second)
			h.Sync(now, upstreams("v2"))
			s, _ = h.Sole(now, "p")
			So(s, ShouldResemble, Sole{Version: "v2"})
		})
		Convey("nothing is known once the upstreams have not been read for long, and the time begins anew then", func() {
			now = now.Add(maxSilence + time.Millisecond)
			_, ok := h.Sole(now, "p")
			So(ok, ShouldBeFalse)
			h.Confirm(now)
			s, ok := h.Sole(now, "p")
			So(ok, ShouldBeTrue)
			So(s, ShouldResemble, Sole{Version: "v1"})
		})
	})
}

// Guards against a version that counts as alone all along, although an upstream came and went of which nothing is known, and against one that a host has seen change and states as long alone (issue 57, rule ORDER).
func TestHistoryBeginsAnewWhenAnUpstreamHasPassedUnseen(t *testing.T) {
	Convey("Given a pool of one version for long", t, func() {
		h := NewHistory()
		now := time.Unix(100, 0)
		h.Sync(now, upstreams("v1"))
		for range 10 {
			h.Confirm(now)
			now = now.Add(time.Second)
		}
		So(h.Absent(now, "q", 5*time.Second), ShouldBeTrue)
		_, changed := h.SinceChange(now, "p")
		So(changed, ShouldBeFalse)
		Convey("an upstream that has come and gone may have had any version, in any pool", func() {
			h.Interrupt(now)
			h.Confirm(now)
			s, ok := h.Sole(now, "p")
			So(ok, ShouldBeTrue)
			So(s, ShouldResemble, Sole{Version: "v1"})
			So(h.Absent(now, "q", 5*time.Second), ShouldBeFalse)
		})
		Convey("a change is remembered once the pool has one version again", func() {
			h.Sync(now, upstreams("v1", "v2"))
			h.Sync(now, upstreams("v1"))
			d, changed := h.SinceChange(now.Add(time.Second), "p")
			So(changed, ShouldBeTrue)
			So(d, ShouldEqual, time.Second)
		})
		Convey("what was read last counts while a call waits for changes, and not for longer", func() {
			confirmed := now.Add(-time.Second)
			_, ok := h.Sole(confirmed.Add(maxAge), "p")
			So(ok, ShouldBeFalse)
			_, ok = h.LastRead(confirmed.Add(maxAge), "p")
			So(ok, ShouldBeTrue)
			_, ok = h.LastRead(confirmed.Add(maxAge+1), "p")
			So(ok, ShouldBeFalse)
		})
	})
}

// Guards against a row that is not written for long because what is known of versions counts as unknown while a call waits for changes (review/REPORT.md).
func TestVersionsAreToldWithTheirAgeWhileACallWaitsForChanges(t *testing.T) {
	Convey("Given upstreams that were up to date at a time", t, func() {
		h := NewHistory()
		now := time.Unix(100, 0)
		h.Sync(now, upstreams("v1"))
		h.Confirm(now)
		for _, sc := range []struct {
			age time.Duration
			ok  bool
		}{{age: 0, ok: true}, {age: 4 * time.Second, ok: true}, {age: maxAge, ok: true}, {age: maxAge + time.Millisecond}} {
			pools, age, ok := h.All(now.Add(sc.age))
			So(ok, ShouldEqual, sc.ok)
			if ok {
				So(age, ShouldEqual, sc.age)
				So(pools["p"].Version, ShouldEqual, "v1")
			}
		}
	})
}

func TestVersionIsAgreedOnlyWithoutContradictionAndForLongEnough(t *testing.T) {
	cases := []struct {
		name       string
		statements []Sole
		version    string
		// seen is the version without what earlier hosts wrote.
		seen string
	}{
		{name: "no statement"},
		{name: "long enough", statements: []Sole{{Version: "v1", ForMS: 1000}}, version: "v1"},
		{name: "seen for long enough", statements: []Sole{{Version: "v1", ForMS: 1000, SeenMS: 1000}}, version: "v1", seen: "v1"},
		{name: "seen by one of two", statements: []Sole{{Version: "v1", ForMS: 1000, SeenMS: 999}, {Version: "v1", ForMS: 1000, SeenMS: 1000}}, version: "v1", seen: "v1"},
		{name: "seen too briefly", statements: []Sole{{Version: "v1", ForMS: 1000, SeenMS: 999}}, version: "v1"},
		{name: "seen, but another host sees two", statements: []Sole{{Version: "v1", ForMS: 1000, SeenMS: 1000}, {ForMS: 10, SeenMS: 10}}},
		{name: "too short", statements: []Sole{{Version: "v1", ForMS: 999}}},
		{name: "one of two long enough", statements: []Sole{{Version: "v1"}, {Version: "v1", ForMS: 1000}}, version: "v1"},
		{name: "two versions", statements: []Sole{{Version: "v1", ForMS: 1000}, {Version: "v2", ForMS: 1000}}},
		{name: "one that sees several", statements: []Sole{{Version: "v1", ForMS: 1000}, {ForMS: 10}}},
		{name: "none that sees one version", statements: []Sole{{ForMS: 1000}}},
	}
	Convey("Statements of hosts", t, func() {
		for _, c := range cases {
			So(c.name+": "+AgreedVersion(c.statements, time.Second), ShouldEqual, c.name+": "+c.version)
			So(c.name+": "+SeenVersion(c.statements, time.Second), ShouldEqual, c.name+": "+c.seen)
		}
	})
}

// Guards against a version that counts as the only one for longer than it was.
func TestEarlierHostsAreBelievedOnlyWhereNothingCameBetween(t *testing.T) {
	const long = time.Minute
	now := time.Unix(1000, 0)
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	earlier := func(version string, to time.Duration) Period {
		return Period{Version: version, From: before(long), To: before(to)}
	}
	cases := []struct {
		name string
		// play feeds the history, which is asked at now.
		play func(h *History)
		want Sole
	}{
		{name: "the same version all along", want: Sole{Version: "v1", ForMS: long.Milliseconds(), SeenMS: 2000}, play: func(h *History) {
			h.Sync(before(2*time.Second), upstreams("v1"))
			h.AddEarlier("p", earlier("v1", 3*time.Second))
		}},
		{name: "told before the first reading", want: Sole{Version: "v1", ForMS: long.Milliseconds(), SeenMS: 2000}, play: func(h *History) {
			h.AddEarlier("p", earlier("v1", 3*time.Second))
			h.Sync(before(2*time.Second), upstreams("v1"))
		}},
		{name: "another version", want: Sole{Version: "v1", ForMS: 2000, SeenMS: 2000}, play: func(h *History) {
			h.Sync(before(2*time.Second), upstreams("v1"))
			h.AddEarlier("p", earlier("v2", 3*time.Second))
		}},
		{name: "several versions, which do not become one", want: Sole{Version: "v1", ForMS: 2000, SeenMS: 2000}, play: func(h *History) {
			h.Sync(before(2*time.Second), upstreams("v1"))
			h.AddEarlier("p", earlier("", 3*time.Second))
		}},
		{name: "nobody read for long", want: Sole{Version: "v1", ForMS: 2000, SeenMS: 2000}, play: func(h *History) {
			h.Sync(before(2*time.Second), upstreams("v1"))
			h.AddEarlier("p", earlier("v1", 3*time.Second+maxGap))
		}},
		{name: "this host saw the version change", want: Sole{Version: "v1", ForMS: 1000, SeenMS: 1000}, play: func(h *History) {
			h.Sync(before(3*time.Second), upstreams("v1"))
			h.Sync(before(2*time.Second), upstreams("v1", "v2"))
			h.Sync(before(time.Second), upstreams("v1"))
			h.AddEarlier("p", earlier("v1", 0))
		}},
		{name: "this host saw the version change, and then read nothing for a while", want: Sole{Version: "v1", ForMS: 500, SeenMS: 500}, play: func(h *History) {
			h.Confirm(before(9 * time.Second))
			h.Sync(before(9*time.Second), upstreams("v1"))
			h.Sync(before(8*time.Second), upstreams("v1", "v2"))
			h.Sync(before(7*time.Second), upstreams("v1"))
			h.Confirm(before(500 * time.Millisecond))
			h.AddEarlier("p", earlier("v1", 8500*time.Millisecond))
		}},
		{name: "this host read nothing for a while", want: Sole{Version: "v1", ForMS: long.Milliseconds(), SeenMS: 500}, play: func(h *History) {
			h.Confirm(before(9 * time.Second))
			h.Sync(before(9*time.Second), upstreams("v1"))
			h.Confirm(before(500 * time.Millisecond))
			h.AddEarlier("p", earlier("v1", time.Second))
		}},
	}
	Convey("What earlier hosts knew", t, func() {
		for _, c := range cases {
			h := NewHistory()
			c.play(h)
			h.Confirm(now)
			s, ok := h.Sole(now, "p")
			So(ok, ShouldBeTrue)
			So(fmt.Sprintf("%s: %+v", c.name, s), ShouldEqual, fmt.Sprintf("%s: %+v", c.name, c.want))
		}
	})
}

// Guards against a stream that goes on at the version before, although hosts that started since may have begun it.
func TestPreviousVersionIsKnownOnlyToHostsThatSawTheNextOneCome(t *testing.T) {
	Convey("Given a pool of one version, beside which a second comes", t, func() {
		h := NewHistory()
		now := time.Unix(100, 0)
		h.Sync(now, upstreams("v1"))
		h.Confirm(now)
		now = now.Add(2 * time.Second)
		So(h.Sync(now, upstreams("v1", "v2")), ShouldResemble, []string{"p"})
		So(h.Sync(now, upstreams("v1", "v2", "v3")), ShouldBeEmpty)
		h.Confirm(now)
		s, _ := h.Sole(now, "p")
		So(s, ShouldResemble, Sole{Previous: "v1", PreviousForMS: 2000})
		So(h.Mixed(), ShouldBeTrue)
		Convey("a host that starts then does not know it", func() {
			h := NewHistory()
			h.Sync(now, upstreams("v1", "v2"))
			h.Confirm(now)
			s, _ := h.Sole(now, "p")
			So(s, ShouldResemble, Sole{})
		})
		Convey("nor does one that found a process of an unknown version, which may have come earlier", func() {
			h := NewHistory()
			h.Sync(now.Add(-2*time.Second), upstreams("v1"))
			h.Confirm(now)
			So(h.Sync(now, upstreams("v1", "")), ShouldResemble, []string{"p"})
			s, _ := h.Sole(now, "p")
			So(s, ShouldResemble, Sole{})
			So(h.Sync(now, upstreams("v1", "v2")), ShouldBeEmpty)
			s, _ = h.Sole(now, "p")
			So(s, ShouldResemble, Sole{})
		})
		Convey("nor does one that read nothing for long", func() {
			now = now.Add(maxSilence + time.Second)
			h.Confirm(now)
			s, _ := h.Sole(now, "p")
			So(s, ShouldResemble, Sole{})
		})
		Convey("nor once the first version has left", func() {
			h.Sync(now, upstreams("v2"))
			s, _ := h.Sole(now, "p")
			So(s, ShouldResemble, Sole{Version: "v2"})
			So(h.Mixed(), ShouldBeFalse)
		})
	})
	cases := []struct {
		name       string
		statements []Sole
		version    string
	}{
		{name: "no statement"},
		{name: "seen by all", statements: []Sole{{Previous: "v1", PreviousForMS: 10}, {Previous: "v1", PreviousForMS: 1000}}, version: "v1"},
		{name: "too short", statements: []Sole{{Previous: "v1", PreviousForMS: 999}}},
		{name: "one has just started", statements: []Sole{{Previous: "v1", PreviousForMS: 1000}, {}}},
		{name: "another version", statements: []Sole{{Previous: "v1", PreviousForMS: 1000}, {Previous: "v2", PreviousForMS: 1000}}},
		{name: "one sees a single version", statements: []Sole{{Previous: "v1", PreviousForMS: 1000}, {Version: "v1", ForMS: 1000, Previous: "v1"}}},
	}
	Convey("Statements of hosts on the version before", t, func() {
		for _, c := range cases {
			So(c.name+": "+PreviousVersion(c.statements, time.Second), ShouldEqual, c.name+": "+c.version)
		}
	})
}

func TestSoleChecksItselfWhenDecoded(t *testing.T) {
	Convey("A negative time is refused", t, func() {
		var s Sole
		So(json.Unmarshal([]byte(`{"version":"v1","for_ms":-1}`), &s), ShouldNotBeNil)
		So(json.Unmarshal([]byte(`{"version":"v1","for_ms":1}`), &s), ShouldBeNil)
	})
}
