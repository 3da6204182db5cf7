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

// gatedWriter blocks each Write until gate is closed.
type gatedWriter struct {
	gate chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *gatedWriter) Write(b []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func TestAsyncWriter(t *testing.T) {
	Convey("With a blocked output, Write returns at once and dropped lines are reported later", t, func() {
		g := &gatedWriter{gate: make(chan struct{})}
		a := NewAsyncWriter(g)
		start := time.Now()
		for i := range 3 * asyncQueueSize {
			_, err := fmt.Fprintf(a, "line %d\n", i)
			So(err, ShouldBeNil)
		}
		So(time.Since(start), ShouldBeLessThan, time.Second)
		close(g.gate)
		a.Close(time.Second)
		lines := strings.Count(g.buf.String(), "\n")
		So(lines, ShouldBeBetween, asyncQueueSize-1, asyncQueueSize+4)
		So(g.buf.String(), ShouldContainSubstring, "Lines were dropped")
	})
	Convey("With an output that stays blocked, Close returns after its timeout", t, func() {
		a := NewAsyncWriter(&gatedWriter{gate: make(chan struct{})})
		_, _ = a.Write([]byte("x\n"))
		start := time.Now()
		a.Close(50 * time.Millisecond)
		So(time.Since(start), ShouldBeLessThan, time.Second)
	})
}
