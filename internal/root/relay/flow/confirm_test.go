package flow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/starts"
	"github.com/cornelwing/cornelwing/internal/root/retry"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// fixedStarts finds the same for each upstream.
type fixedStarts struct {
	finding starts.Finding
}

// Probe returns the finding.
func (f fixedStarts) Probe(context.Context, route.Incarnation, net.Conn) starts.Finding {
	return f.finding
}

// Check returns the finding.
func (f fixedStarts) Check(context.Context, route.Incarnation) starts.Finding {
	return f.finding
}

// recordingOrigins records where streams began.
type recordingOrigins struct {
	Origins
	begun []origin.Origin
}

// Record records the origin.
func (o *recordingOrigins) Record(_ origin.Key, begun origin.Origin, _ time.Duration, _ origin.Scope) {
	o.begun = append(o.begun, begun)
}

// quietCrashDetector ignores what it is told.
type quietCrashDetector struct {
	CrashDetector
}

// RecordConnLoss does nothing.
func (quietCrashDetector) RecordConnLoss(context.Context, blame.Request, route.Upstream) {}

// RecordLateConnLoss does nothing.
func (quietCrashDetector) RecordLateConnLoss(context.Context, blame.LateRun, route.Upstream, int) {}

// RecordSurvived does nothing.
func (quietCrashDetector) RecordSurvived(blame.Request) {}

// replacedUpstreams counts the upstreams whose process has been replaced.
type replacedUpstreams struct {
	servingUpstreams
	replaced int
}

// MarkReplaced counts the upstream.
func (u *replacedUpstreams) MarkReplaced(route.Incarnation, int64) {
	u.replaced++
}

// Guards against streams that are cut, or whose version is taken from a row, as their upstream ended or was replaced when they began (incident ORDER of issue 54).
func TestStreamBeginsAtProcessThatSaysWhenItStarted(t *testing.T) {
	unreachable := starts.Unreachable{
		Err: errors.New("refused"),
	}
	scenarios := []struct {
		finding starts.Finding
		// open reports that the connection of the response is open, and attempts is how many upstreams the request may be sent to.
		open     bool
		attempts int
		// elsewhere reports that another upstream begins the stream. version is that of the stream otherwise.
		elsewhere bool
		version   string
		confirmed bool
		replaced  int
	}{
		{finding: starts.Same{}, open: true, attempts: 2, version: "v1", confirmed: true},
		{finding: starts.Same{}, attempts: 2, version: "v1", confirmed: true},
		{finding: starts.Unstated{}, attempts: 2, version: "v1"},
		{finding: starts.Other{StartedAtMS: 2}, open: true, attempts: 2, version: origin.UnknownVersion, replaced: 1},
		{finding: starts.Other{StartedAtMS: 2}, attempts: 2, elsewhere: true},
		{finding: starts.Other{StartedAtMS: 2}, attempts: 1, version: origin.UnknownVersion, replaced: 1},
		{finding: unreachable, open: true, attempts: 2, version: origin.UnknownVersion},
		{finding: unreachable, attempts: 2, elsewhere: true},
		{finding: unreachable, attempts: 1, version: origin.UnknownVersion},
	}
	for _, sc := range scenarios {
		Convey(fmt.Sprintf("Given a stream of an upstream of which %T is found, with its connection open: %t, and %d attempts", sc.finding, sc.open, sc.attempts), t, func() {
			x, _, _ := newColdExchange(t, nil)
			caller := httptest.NewRecorder()
			begun := &recordingOrigins{}
			ups := &replacedUpstreams{}
			x.w = caller
			x.HeaderCodec = signedCodec{}
			x.CrashDetector = quietCrashDetector{}
			x.Starts = fixedStarts{finding: sc.finding}
			x.Origins = begun
			x.Upstreams = ups
			x.Moves = &plan.Moves{}
			x.HostCount = func() int { return 1 }
			x.Budget = Budget{
				ExtraRetries: 10,
			}
			x.requestHead.ID = "r"
			x.sends = 1
			x.route = plan.Route{
				Kind:      plan.Stream,
				Resumable: true,
				Attempts:  sc.attempts,
			}
			x.upstream = route.Upstream{
				Name:        "warm",
				Version:     "v1",
				StartedAtMS: 1,
			}
			ev, done := x.handleResponse(t.Context(), x.upstream, x.Now(), send.Response{
				Status:  http.StatusOK,
				Header:  http.Header{},
				Body:    io.NopCloser(strings.NewReader("id: 1\n\nid: 2\n\n")),
				Framing: send.FramedByChunks,
				IsOpen:  func() bool { return sc.open },
			})
			So(done, ShouldNotEqual, sc.elsewhere)
			if sc.elsewhere {
				So(ev, ShouldResemble, retry.Broken{AddsNoLoad: true})
				So(x.headSent, ShouldBeFalse)
				So(begun.begun, ShouldBeEmpty)
				return
			}
			So(caller.Body.String(), ShouldEqual, "id: 1\n\nid: 2\n\n")
			So(begun.begun, ShouldHaveLength, 1)
			So(begun.begun[0].Version, ShouldEqual, sc.version)
			So(begun.begun[0].Confirmed, ShouldEqual, sc.confirmed)
			So(ups.replaced, ShouldEqual, sc.replaced)
		})
	}
}

// Guards against a process that stands for the one that sent a response, though it has not said that it is that one (rule ORDER).
func TestOnlyTheSameStartIsTheSender(t *testing.T) {
	scenarios := []struct {
		finding    starts.Finding
		same, gone bool
	}{
		{finding: starts.Same{}, same: true},
		{finding: starts.Other{StartedAtMS: 2}, gone: true},
		{finding: starts.Unstated{}},
		{finding: starts.Unreachable{Err: errors.New("refused")}},
	}
	for _, sc := range scenarios {
		Convey(fmt.Sprintf("Given an upstream of which %T is found", sc.finding), t, func() {
			x, _, _ := newColdExchange(t, nil)
			x.Starts = fixedStarts{
				finding: sc.finding,
			}
			err := x.checkSender(t.Context(), route.Incarnation{
				Name:        "warm",
				Addr:        "10.0.0.1:80",
				StartedAtMS: 1,
			}, nil)
			So(err == nil, ShouldEqual, sc.same)
			So(errors.Is(err, send.ErrUpstreamGone), ShouldEqual, sc.gone)
		})
	}
}
