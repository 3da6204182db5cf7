package starts

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// fixedClient answers all questions in the same way.
type fixedClient struct {
	startedAtMS int64
	err         error
}

// StartedAtMS returns the fixed answer.
func (c fixedClient) StartedAtMS(context.Context, string) (int64, error) {
	return c.startedAtMS, c.err
}

// StartedAtMSOver returns the fixed answer.
func (c fixedClient) StartedAtMSOver(context.Context, string, net.Conn) (int64, error) {
	return c.startedAtMS, c.err
}

func TestCheckComparesProcessWithRow(t *testing.T) {
	refused := errors.New("refused")
	scenarios := []struct {
		name   string
		row    int64
		client fixedClient
		want   Finding
		stats  Stats
	}{
		{name: "the start of the row", row: 7, client: fixedClient{startedAtMS: 7}, want: Same{}, stats: Stats{Same: 1}},
		{name: "a later start", row: 7, client: fixedClient{startedAtMS: 8}, want: Other{StartedAtMS: 8}, stats: Stats{Other: 1}},
		{name: "an earlier start", row: 7, client: fixedClient{startedAtMS: 6}, want: Other{StartedAtMS: 6}, stats: Stats{Other: 1}},
		{name: "no start", row: 7, client: fixedClient{err: fmt.Errorf("read: %w", ErrUnstated)}, want: Unstated{}, stats: Stats{Unstated: 1}},
		{name: "no answer", row: 7, client: fixedClient{err: refused}, want: Unreachable{Err: refused}, stats: Stats{Unreachable: 1}},
		{name: "a start that the row does not state", client: fixedClient{startedAtMS: 8}, want: Unstated{}, stats: Stats{Unstated: 1}},
	}
	for _, sc := range scenarios {
		Convey("Given a process that states "+sc.name, t, func() {
			c := New(common.NewQuietDeps("host-1", "d"), sc.client)
			got := c.Check(context.Background(), route.Incarnation{
				Name:        "u",
				Addr:        "10.0.0.1:80",
				StartedAtMS: sc.row,
			})
			So(got, ShouldResemble, sc.want)
			So(c.Stats(), ShouldResemble, sc.stats)
		})
	}
}
