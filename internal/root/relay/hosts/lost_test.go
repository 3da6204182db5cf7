package hosts

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// knowDown returns how many hosts know that the host is down.
func (c *tableCluster) knowDown(lost *tableHost) int {
	n := 0
	for _, h := range c.hosts {
		if h != lost && h.roster.DownSignal(lost.host) == nil {
			n++
		}
	}
	return n
}

// Guards against lost hosts that are found later since any byte counts as a sign of life, on links that are half full.
func TestLostHostIsFoundSoonOverBusyLinks(t *testing.T) {
	const atMost = callerSilence + 100*time.Millisecond
	var soon, later int
	synctest.Test(t, func(*testing.T) {
		c := newTableCluster(24, rand.New(rand.NewPCG(49, 3)))
		c.useThinLinks()
		defer c.runOverThinLinks()()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, h := range c.hosts {
			go c.thin.occupy(ctx, h.host.Addr, 0.5)
		}
		time.Sleep(3 * time.Second)
		var lost *tableHost
		for _, h := range c.hosts {
			if h.table.followed() {
				lost = h
			}
		}
		c.thin.sever(lost.host.Addr)
		time.Sleep(atMost)
		soon = c.knowDown(lost)
		time.Sleep(3 * time.Second)
		later = c.knowDown(lost)
	})
	t.Logf("%d hosts know after %v, %d in the end", soon, atMost, later)
	if soon == 0 || soon < later {
		t.Errorf("%d hosts know after %v that a host is lost, %d in the end", soon, atMost, later)
	}
}
