package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/hosts"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// TestBatchPauseGrowsWithHostCount guards the load on the store during a rolling release. A few hosts read each change at once; with many hosts, the pause grows so that their combined rate of calls stays bounded.
func TestBatchPauseGrowsWithHostCount(t *testing.T) {
	scenarios := []struct {
		hosts    int
		maxPause time.Duration
		minPause time.Duration
	}{
		{hosts: 1, maxPause: 10 * time.Millisecond},
		{hosts: 9, maxPause: 50 * time.Millisecond},
		{hosts: 81, minPause: 81 * time.Second / 300, maxPause: 300 * time.Millisecond},
		{hosts: 360, minPause: 81 * time.Second / 300, maxPause: 300 * time.Millisecond},
	}
	for _, sc := range scenarios {
		Convey(fmt.Sprintf("With %d hosts", sc.hosts), t, func() {
			r := New(common.NewQuietDeps("h0", "d"), setup.Relay{
				Host:      setup.RelayHost{Host: setup.Host{Name: "h0", Domain: "d"}},
				Listen:    setup.RelayListen{Peers: "127.0.0.1:0"},
				Upstreams: setup.Upstreams{Forget: config.Span(2 * time.Second)},
			}, Adapter{Workers: noWorkers, Starts: noStarts, Eras: follow.NewEras(common.NewQuietDeps("h0", "d"))})
			var rows []follow.Row
			for i := range sc.hosts {
				value, err := json.Marshal(hosts.Host{Name: fmt.Sprintf("h%d", i), Addr: "127.0.0.1:1"})
				So(err, ShouldBeNil)
				rows = append(rows, follow.Row{Key: fmt.Sprintf("h%d", i), Value: value})
			}
			r.roster.Reset(rows)
			So(r.batchPause(), ShouldBeBetweenOrEqual, sc.minPause, sc.maxPause)
		})
	}
}
