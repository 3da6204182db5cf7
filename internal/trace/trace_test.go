package trace

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMergeOrdersTheLinesOfOneRequestByTime(t *testing.T) {
	Convey("The lines of two hosts are sorted by time, those without a time first", t, func() {
		one := `time="2026-12-04T10:00:02.5Z" level=warning msg="flow: Request ended." cause=overload request=ab status=503
time="2026-12-04T10:00:03Z" level=info msg="flow: Request ended." request=abc status=200
no time request=ab
`
		two := `time="2026-12-04T10:00:02.4Z" level=info msg="batch: Work refused." request=ab stage=1
`
		a, err := Read("one", strings.NewReader(one), "ab")
		So(err, ShouldBeNil)
		b, err := Read("two", strings.NewReader(two), "ab")
		So(err, ShouldBeNil)
		got := Merge(a, b)
		So(got, ShouldHaveLength, 3)
		So(got[0].Text, ShouldEqual, "no time request=ab")
		So(got[1].Source, ShouldEqual, "two")
		So(got[2].Source, ShouldEqual, "one")
	})
	Convey("A line longer than the limit is an error instead of being skipped", t, func() {
		_, err := Read("one", strings.NewReader(strings.Repeat("x", maxLineBytes+1)), "ab")
		So(err, ShouldNotBeNil)
	})
}
