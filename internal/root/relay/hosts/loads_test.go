package hosts

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// fakeLoads holds what a host knows and what it was told.
type fakeLoads struct {
	own, all, told []route.SharedReport
}

func (l *fakeLoads) SharedReports(_ time.Time, limit int, own bool) []route.SharedReport {
	if own {
		return l.own[:min(limit, len(l.own))]
	}
	return l.all[:min(limit, len(l.all))]
}

func (l *fakeLoads) RecordShared(_ time.Time, reports []route.SharedReport) {
	l.told = append(l.told, reports...)
}

// handlerTransport serves requests by a handler.
type handlerTransport struct {
	http.Handler
}

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func TestLoadReportsTravelOnMessagesAboutWork(t *testing.T) {
	Convey("Given a host that sends work to another one", t, func() {
		now := time.Unix(1000, 0)
		deps := common.NewQuietDeps("h0", "d")
		deps.Now = func() time.Time { return now }
		a := &fakeLoads{own: []route.SharedReport{{Upstream: 1, Queued: 4, PacePercent: 100}}}
		b := &fakeLoads{all: []route.SharedReport{{Upstream: 2, Queued: 9, PacePercent: 250, AgeMS: 40}}}
		receiver := &Peers{Deps: deps}
		receiver.ShareLoads(b)
		handler := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			receiver.recordLoads(r)
			receiver.tellLoads(w, r)
		}))
		sender := &Peers{Deps: deps}
		sender.ShareLoads(a)
		send := func(path string) {
			sender.loadShare.base = handlerTransport{handler}
			r := httptest.NewRequest(http.MethodPost, "http://h1"+path, http.NoBody)
			resp, err := sender.calls.RoundTrip(r)
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
		}
		Convey("each learns what the other one knows", func() {
			send(pathWork)
			So(b.told, ShouldResemble, a.own)
			So(a.told, ShouldResemble, b.all)
		})
		Convey("they exchange reports no more often than at the interval", func() {
			send(pathWork)
			send(pathWork)
			So(b.told, ShouldHaveLength, 1)
			now = now.Add(loadsInterval)
			send(pathWork)
			So(b.told, ShouldHaveLength, 2)
		})
		Convey("other messages carry none", func() {
			send(pathProbe)
			So(b.told, ShouldBeEmpty)
		})
		Convey("a host of an older build, which ignores them, changes nothing", func() {
			handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
			send(pathWork)
			So(a.told, ShouldBeEmpty)
		})
		Convey("a header that cannot be read is ignored", func() {
			for _, v := range []string{"%", "AAAA", strings.Repeat("A", 2*maxLoadsHeader)} {
				handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerLoads, v) })
				now = now.Add(loadsInterval)
				send(pathWork)
			}
			So(a.told, ShouldBeEmpty)
		})
	})
}
