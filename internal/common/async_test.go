package common

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// gated is an output that takes nothing until its gate opens.
type gated struct {
	gate chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *gated) Write(b []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func TestAsync(t *testing.T) {
	Convey("A log whose output is stuck doesn't hold its writer up, and tells what it dropped", t, func() {
		g := &gated{gate: make(chan struct{})}
		a := NewAsync(g)
		began := time.Now()
		for i := range 3 * asyncLines {
			_, err := fmt.Fprintf(a, "line %d\n", i)
			So(err, ShouldBeNil)
		}
		So(time.Since(began), ShouldBeLessThan, time.Second)
		close(g.gate)
		a.Close(time.Second)
		lines := strings.Count(g.buf.String(), "\n")
		So(lines, ShouldBeBetween, asyncLines-1, asyncLines+4)
		So(g.buf.String(), ShouldContainSubstring, "Lines were dropped")
	})
	Convey("Closing doesn't wait for an output that stays stuck", t, func() {
		a := NewAsync(&gated{gate: make(chan struct{})})
		_, _ = a.Write([]byte("x\n"))
		began := time.Now()
		a.Close(50 * time.Millisecond)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
}
