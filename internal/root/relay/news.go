package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

const (
	// newsRate is the rate at which all hosts together read the news of a table at the most, in calls per second, as far as maxNewsInterval allows: callers wait for it.
	newsRate        = 1000
	minNewsInterval = 50 * time.Millisecond
	maxNewsInterval = 250 * time.Millisecond
)

// news reads from the store what this host has not applied yet of the tables on which conclusions about streams rest.
type news struct {
	upstreams, configurations, hosts *follow.Unread
	// view is what this host has applied of the upstreams.
	view      *follow.Upstreams
	decode    follow.DecodeUpstream
	configKey string
}

// newNews returns the news of the store, for a host of which so many exist.
func newNews(deps common.Deps, a Adapter, view *follow.Upstreams, hostCount func() int) *news {
	interval := func() time.Duration {
		return min(maxNewsInterval, max(minNewsInterval, time.Duration(hostCount())*time.Second/newsRate))
	}
	return &news{
		upstreams:      follow.NewUnread(deps, a.Upstreams, interval),
		configurations: follow.NewUnread(deps, a.Configurations, interval),
		hosts:          follow.NewUnread(deps, a.Hosts, interval),
		view:           view,
		decode:         a.Upstream,
		configKey:      a.ConfigKey,
	}
}

// read returns what has changed in the store of upstreams and configurations.
func (n *news) read(ctx context.Context) (origin.News, error) {
	type result struct {
		rows []follow.Row
		err  error
	}
	configured := make(chan result, 1)
	go func() {
		rows, err := n.configurations.Rows(ctx)
		configured <- result{
			rows: rows,
			err:  err,
		}
	}()
	rows, err := n.upstreams.Rows(ctx)
	c := <-configured
	if err != nil {
		return origin.News{}, fmt.Errorf("read changes of upstreams: %w", err)
	}
	if c.err != nil {
		return origin.News{}, fmt.Errorf("read changes of configurations: %w", c.err)
	}
	out := n.ofUpstreams(rows)
	for _, r := range c.rows {
		out.Configured = out.Configured || r.Key == n.configKey
	}
	return out, nil
}

// ofUpstreams returns what rows of upstreams say that this host has not applied. Rows that can't be read name no upstream to use. A row shows only the last start under its name.
func (n *news) ofUpstreams(rows []follow.Row) origin.News {
	out := origin.News{
		Passed: len(rows) > 0 && n.view.MayLackStarts(),
	}
	for _, r := range rows {
		if r.Deleted {
			out.Passed = out.Passed || !n.view.HasSeen(r.Key)
			continue
		}
		if up, err := n.decode(r.Key, r.Value); err == nil {
			out.Upstreams = append(out.Upstreams, up)
		}
	}
	return out
}

// ofHosts reports whether rows of hosts have changed.
func (n *news) ofHosts(ctx context.Context) (bool, error) {
	rows, err := n.hosts.Rows(ctx)
	if err != nil {
		return false, fmt.Errorf("read changes of hosts: %w", err)
	}
	return len(rows) > 0, nil
}
