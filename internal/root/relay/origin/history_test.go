package origin

import (
	"encoding/json"
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
		So(s, ShouldResemble, Sole{Version: "v1", ForMS: 10_000})
		Convey("changes without another version don't matter", func() {
			h.Sync(now, upstreams("v1"))
			h.Sync(now, nil)
			h.Sync(now, upstreams("v1", "v1", "v1"))
			s, _ := h.Sole(now, "p")
			So(s, ShouldResemble, Sole{Version: "v1", ForMS: 10_000})
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

func TestVersionIsAgreedOnlyWithoutContradictionAndForLongEnough(t *testing.T) {
	cases := []struct {
		name       string
		statements []Sole
		version    string
	}{
		{name: "no statement"},
		{name: "long enough", statements: []Sole{{Version: "v1", ForMS: 1000}}, version: "v1"},
		{name: "too short", statements: []Sole{{Version: "v1", ForMS: 999}}},
		{name: "one of two long enough", statements: []Sole{{Version: "v1"}, {Version: "v1", ForMS: 1000}}, version: "v1"},
		{name: "two versions", statements: []Sole{{Version: "v1", ForMS: 1000}, {Version: "v2", ForMS: 1000}}},
		{name: "one that sees several", statements: []Sole{{Version: "v1", ForMS: 1000}, {ForMS: 10}}},
		{name: "none that sees one version", statements: []Sole{{ForMS: 1000}}},
	}
	Convey("Statements of hosts", t, func() {
		for _, c := range cases {
			So(c.name+": "+AgreedVersion(c.statements, time.Second), ShouldEqual, c.name+": "+c.version)
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
