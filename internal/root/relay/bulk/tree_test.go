package bulk

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a host that sends a large content to each host that asks (CONFIG, issue 49).
func TestTreeSpreadsReceivers(t *testing.T) {
	const receivers = 300
	var trees Trees
	sendsTo := map[string]int{}
	deepest := 0
	for i := range receivers {
		above := trees.Assign("block", fmt.Sprint("host ", i))
		deepest = max(deepest, len(above))
		if len(above) == 0 {
			sendsTo["this host"]++
			continue
		}
		sendsTo[above[0]]++
	}
	for name, n := range sendsTo {
		if n > Fanout {
			t.Errorf("%d hosts are to read from %s, more than %d", n, name, Fanout)
		}
	}
	if deepest > 8 {
		t.Errorf("a host reads through %d others", deepest)
	}
	if first, again := trees.Assign("block", "host 7"), trees.Assign("block", "host 7"); fmt.Sprint(first) != fmt.Sprint(again) {
		t.Errorf("a host that asks again reads from %v, then from %v", first, again)
	}
}

func TestGateAdmitsFewReceivers(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate(func() time.Time { return now })
	for i := range maxReceivers {
		if !g.Enter(fmt.Sprint(i)) {
			t.Errorf("receiver %d is refused", i)
		}
	}
	if g.Enter("late") {
		t.Error("one receiver too many is admitted")
	}
	if !g.Enter("0") {
		t.Error("a receiver that reads on is refused")
	}
	now = now.Add(receiverTerm + 1)
	if !g.Enter("late") {
		t.Error("a receiver is refused although no other one reads on")
	}
}
