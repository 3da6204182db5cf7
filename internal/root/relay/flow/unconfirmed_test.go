package flow

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// brokenBody is a whole event or body, after which reading fails.
type brokenBody struct {
	io.Reader
	err error
}

func newBrokenBody(err error) *brokenBody {
	return &brokenBody{
		Reader: strings.NewReader("id: 1\ndata: x\n\n"),
		err:    err,
	}
}

func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

func (*brokenBody) Close() error { return nil }

// Guards against sound upstreams that are ejected because the ends of their responses can't be confirmed, such as ones at their limit of connections.
func TestUnconfirmedEndIsNoFailureOfUpstream(t *testing.T) {
	scenarios := []struct {
		name   string
		err    error
		usable bool
	}{
		{name: "ends that were not confirmed", err: fmt.Errorf("%w: closed", send.ErrUnconfirmedEnd), usable: true},
		{name: "connections that ended with their upstream", err: fmt.Errorf("%w: closed", send.ErrUpstreamGone)},
		{name: "connections that broke", err: io.ErrUnexpectedEOF},
	}
	for _, sc := range scenarios {
		for _, kind := range []plan.Kind{plan.Stream, plan.AtMostOnce} {
			Convey(fmt.Sprintf("After many %s (%v)", sc.name, kind), t, func() {
				x, _, _ := newColdExchange(t, nil)
				x.HeaderCodec = signedCodec{}
				x.CrashDetector = &connLossCounter{}
				x.Upstreams = servingUpstreams{}
				x.excluded = []string{"cold"}
				for range 10 {
					up, ok := x.pickUpstream(t.Context())
					if !ok {
						break
					}
					x.w = httptest.NewRecorder()
					x.headSent = false
					x.position = streamPosition{}
					x.route = plan.Route{
						Kind: kind,
					}
					x.handleResponse(t.Context(), up, x.Now(), send.Response{
						Status:  http.StatusOK,
						Header:  http.Header{},
						Body:    newBrokenBody(sc.err),
						Framing: send.FramedByClose,
					})
					x.excluded = []string{"cold"}
				}
				_, usable := x.Table.PickRandomlySeeded(x.Now(), route.Query{
					Pool:    "p",
					Exclude: []string{"cold"},
				})
				So(usable, ShouldEqual, sc.usable)
			})
		}
	}
}

// servingUpstreams takes each upstream for one that serves.
type servingUpstreams struct {
	Upstreams
}

func (servingUpstreams) Serves(route.Incarnation) bool { return true }
