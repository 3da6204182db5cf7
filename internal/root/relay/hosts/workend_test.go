package hosts

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
)

// startScriptedOwner starts a host that answers each request for work with the text, and returns it.
func startScriptedOwner(t *testing.T, text string) Host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }),
		Protocols: unencryptedHTTP2(),
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return hostOf(1, ln.Addr().String())
}

// Guards against an answer of another host that is empty, ends early or names fewer results than pieces, taken for completed work.
func TestWorkAtOtherHostIsCompletedOnlyByAResultForEachPiece(t *testing.T) {
	const whole = `{"handles":["w/1","w/2"],"domain":"d"}`
	answers := []string{``, `null`, `{}`, `{"handles":[]}`, `{"handles":["w/1"],"domain":"d"}`, whole}
	for n := range len(whole) {
		answers = append(answers, whole[:n])
	}
	for _, answer := range answers {
		Convey("Given an owner of a queue that answers "+answer, t, func() {
			peers, _ := startPeers(t, 1, time.Now, func(common.Deps, *Peers) {})
			owner := startScriptedOwner(t, answer)
			o, _ := peers[0].tryHost(context.Background(), owner, nil, batch.Work{
				Queue:  "p",
				Pieces: []batch.Piece{{}, {Index: 1}},
			})
			completed, ok := o.(batch.Completed)
			So(ok, ShouldEqual, answer == whole)
			So(len(completed.Handles), ShouldBeIn, 0, 2)
		})
	}
}
