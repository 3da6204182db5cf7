package common

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a pause that ends before its time, or that outlasts its context.
func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	cases := []struct {
		pause  time.Duration
		cancel time.Duration
		lasts  time.Duration
		want   bool
	}{
		{pause: -time.Second, cancel: time.Hour, lasts: 0, want: true},
		{pause: 0, cancel: time.Hour, lasts: 0, want: true},
		{pause: 0, cancel: 0, lasts: 0, want: false},
		{pause: time.Second, cancel: time.Hour, lasts: time.Second, want: true},
		{pause: time.Second, cancel: time.Millisecond, lasts: time.Millisecond, want: false},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("A pause of %v, whose context ends after %v", c.pause, c.cancel), t, func() {
			var whole bool
			var lasted time.Duration
			synctest.Test(t, func(*testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), c.cancel)
				defer cancel()
				began := time.Now()
				whole = Sleep(ctx, c.pause)
				lasted = time.Since(began)
			})
			So(whole, ShouldEqual, c.want)
			So(lasted, ShouldEqual, c.lasts)
		})
	}
}
