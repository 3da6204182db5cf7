package links

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// countedConn counts the connections that are open.
type countedConn struct {
	net.Conn
	open *atomic.Int64
}

// Close counts the connection as closed.
func (c countedConn) Close() error {
	c.open.Add(-1)
	return nil
}

// wayOf returns a try that takes some time and then succeeds or fails. It does not end earlier if it is cancelled, like one whose connection is just being opened.
func wayOf(open *atomic.Int64, takes time.Duration, err error) Try {
	return func(context.Context) (net.Conn, error) {
		time.Sleep(takes)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return countedConn{open: open}, nil
	}
}

func TestRaceTakesFirstWayThatSucceedsAndClosesTheOthers(t *testing.T) {
	const patience = 50 * time.Millisecond
	type way struct {
		takes time.Duration
		err   error
	}
	cases := []struct {
		name  string
		ways  []way
		index int
		takes time.Duration
		err   bool
	}{
		{name: "no way", err: true},
		{name: "the first one in time", ways: []way{{40 * time.Millisecond, nil}, {0, nil}}, index: 0, takes: 40 * time.Millisecond},
		{name: "the first one too late", ways: []way{{100 * time.Millisecond, nil}, {10 * time.Millisecond, nil}}, index: 1, takes: 60 * time.Millisecond},
		{name: "the first one late, but before the second", ways: []way{{60 * time.Millisecond, nil}, {time.Second, nil}}, index: 0, takes: 60 * time.Millisecond},
		{name: "the first one fails", ways: []way{{10 * time.Millisecond, errTest}, {10 * time.Millisecond, nil}}, index: 1, takes: 20 * time.Millisecond},
		{name: "the first ones fail or hang", ways: []way{{10 * time.Millisecond, errTest}, {time.Second, nil}, {0, errTest}, {0, nil}}, index: 3, takes: 60 * time.Millisecond},
		{name: "all fail", ways: []way{{10 * time.Millisecond, errTest}, {10 * time.Millisecond, errTest}}, takes: 20 * time.Millisecond, err: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var open atomic.Int64
				var ways []Try
				for _, w := range c.ways {
					ways = append(ways, wayOf(&open, w.takes, w.err))
				}
				began := time.Now()
				_, index, err := Race(context.Background(), patience, ways)
				if (err != nil) != c.err || index != c.index || time.Since(began) != c.takes {
					t.Errorf("way %d after %s, %v", index, time.Since(began), err)
				}
				time.Sleep(time.Minute)
				if err == nil && open.Load() != 1 {
					t.Errorf("%d connections are open", open.Load())
				}
			})
		})
	}
}
