package relay

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

func TestNewsSayWhatRowsBringThatTheHostHasNotApplied(t *testing.T) {
	decode := func(key string, value []byte) (route.Upstream, error) {
		if len(value) == 0 {
			return route.Upstream{}, errors.New("damaged")
		}
		return route.Upstream{Name: key, Addr: "10.0.0.1:1", Pool: "p", Version: string(value)}, nil
	}
	cases := []struct {
		name string
		rows []follow.Row
		want origin.News
	}{
		{name: "no rows"},
		{name: "a changed row", rows: []follow.Row{{Key: "a", Value: []byte("v2")}}, want: origin.News{Upstreams: []route.Upstream{{Name: "a", Addr: "10.0.0.1:1", Pool: "p", Version: "v2"}}}},
		{name: "a row that can't be read, which names no upstream to use", rows: []follow.Row{{Key: "b"}}},
		{name: "a known upstream has gone", rows: []follow.Row{{Key: "a", Deleted: true}}},
		{name: "another one has come and gone", rows: []follow.Row{{Key: "b", Deleted: true}}, want: origin.News{Passed: true}},
	}
	Convey("Given a host that has applied an upstream a", t, func() {
		for _, c := range cases {
			view := follow.NewUpstreams(common.NewQuietDeps("host-1", "d"), decode, 1, func() {})
			view.Reset([]follow.Row{{Key: "a", Value: []byte("v1")}})
			n := &news{
				view:   view,
				decode: decode,
			}
			So(c.name, ShouldNotBeEmpty)
			So(n.ofUpstreams(c.rows), ShouldResemble, c.want)
		}
	})
}

// Guards against a stream that goes on at the version of a row, although the upstream has started at another one and gone since the row was read (issue 57, rule ORDER).
func TestNewsOfALongTimeMayHideAStart(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		rows   []follow.Row
		passed bool
	}{
		{name: "a known upstream has gone", age: 2 * time.Second, rows: []follow.Row{{Key: "a", Deleted: true}}},
		{name: "a known upstream has gone, read long ago", age: 4 * time.Second, rows: []follow.Row{{Key: "a", Deleted: true}}, passed: true},
		{name: "a known upstream has started again, read long ago", age: 4 * time.Second, rows: []follow.Row{{Key: "a"}}, passed: true},
		{name: "nothing has changed, read long ago", age: 4 * time.Second},
	}
	decode := func(key string, _ []byte) (route.Upstream, error) {
		return route.Upstream{Name: key, Addr: "10.0.0.1:1", Pool: "p", Version: "v1"}, nil
	}
	Convey("Given a host that has applied an upstream a", t, func() {
		for _, c := range cases {
			view := follow.NewUpstreams(common.NewQuietDeps("host-1", "d"), decode, 1, func() {})
			view.Reset([]follow.Row{{Key: "a"}})
			view.Confirm(time.Now().Add(-c.age))
			n := &news{
				view:   view,
				decode: decode,
			}
			So(c.name, ShouldNotBeEmpty)
			So(n.ofUpstreams(c.rows).Passed, ShouldEqual, c.passed)
		}
	})
}
