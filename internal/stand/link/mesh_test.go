package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMeshHarmsOneWay guards against ways that pass on what should be lost, or lose what should pass.
func TestMeshHarmsOneWay(t *testing.T) {
	Convey("Given a mesh with members a and b", t, func() {
		m := NewMesh(func(net.Conn) string { return "a" })
		addr, err := m.Add("b", echoServer(t))
		So(err, ShouldBeNil)
		Reset(func() { _ = m.Close() })
		c, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		Reset(func() { _ = c.Close() })
		So(echo(c, answerTime), ShouldBeNil)

		for _, from := range []string{"a", "b"} {
			Convey("when the way from "+from+" loses all, what was sent arrives once that has ended", func() {
				to := map[string]string{"a": "b", "b": "a"}[from]
				end := m.Harm([]string{from}, []string{to}, Harm{Lost: true})
				So(echo(c, hangTime), ShouldNotBeNil)
				So(echo(c, hangTime), ShouldNotBeNil)
				_, err := c.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
				end()
				So(c.SetReadDeadline(time.Now().Add(answerTime)), ShouldBeNil)
				_, err = io.ReadFull(c, make([]byte, 2))
				So(err, ShouldBeNil)
			})
			Convey("when the way from "+from+" is slow, what is sent arrives late", func() {
				to := map[string]string{"a": "b", "b": "a"}[from]
				m.Harm([]string{from}, []string{to}, Harm{Delay: hangTime})
				began := time.Now()
				So(echo(c, answerTime), ShouldBeNil)
				So(time.Since(began), ShouldBeGreaterThanOrEqualTo, hangTime)
			})
			Convey("when the way from "+from+" refuses, connections are reset until that has ended", func() {
				to := map[string]string{"a": "b", "b": "a"}[from]
				end := m.Harm([]string{from}, []string{to}, Harm{Refused: true})
				So(errors.Is(echo(c, answerTime), syscall.ECONNRESET), ShouldBeTrue)
				So(dialAndEcho(addr), ShouldNotBeNil)
				end()
				So(dialAndEcho(addr), ShouldBeNil)
			})
		}
		Convey("when another way loses all, what is sent arrives", func() {
			m.Harm([]string{"a"}, []string{"c"}, Harm{Lost: true})
			So(echo(c, answerTime), ShouldBeNil)
		})
	})
}
