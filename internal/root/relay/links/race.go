package links

import (
	"context"
	"errors"
	"net"
	"time"
)

// errNoWay is returned if there is no way to connect.
var errNoWay = errors.New("no way to connect")

// Try is one way to open a connection.
type Try func(ctx context.Context) (net.Conn, error)

// outcome is the end of a try.
type outcome struct {
	index int
	conn  net.Conn
	err   error
}

// Race opens a connection in the first way that succeeds, and returns its index. Each way begins when the one before it has failed, or has taken for as long as patience. The others are then cancelled.
func Race(ctx context.Context, patience time.Duration, ways []Try) (net.Conn, int, error) {
	if len(ways) == 0 {
		return nil, 0, errNoWay
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, len(ways))
	started, ended := 0, 0
	begin := func() {
		i := started
		started++
		go func() {
			c, err := ways[i](ctx)
			outcomes <- outcome{
				index: i,
				conn:  c,
				err:   err,
			}
		}()
	}
	begin()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var errs []error
	for {
		select {
		case o := <-outcomes:
			ended++
			if o.err == nil {
				go closeLater(outcomes, started-ended)
				return o.conn, o.index, nil
			}
			errs = append(errs, o.err)
			if ended == len(ways) {
				return nil, 0, errors.Join(errs...)
			}
		case <-timer.C:
		}
		if started < len(ways) {
			begin()
			timer.Reset(patience)
		}
	}
}

// closeLater closes the connections of the tries that were not needed.
func closeLater(outcomes <-chan outcome, n int) {
	for range n {
		if o := <-outcomes; o.err == nil {
			// Nothing was sent over the connection.
			_ = o.conn.Close()
		}
	}
}
