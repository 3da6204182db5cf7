package starts

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

// askTimeout bounds one question to an upstream. The first event of a stream waits for the answer.
const askTimeout = 150 * time.Millisecond

// probeTimeout bounds a question at the end of a response. It is longer, as a sound upstream that is slow to answer would else lose its response.
const probeTimeout = 900 * time.Millisecond

// ErrUnstated is returned by a Client if the process answers without stating its start.
var ErrUnstated = errors.New("process does not state its start")

// ErrUnreadable is returned by a Client if the process answers with a success that can't be read. It has not said that it has no start to state.
var ErrUnreadable = errors.New("answer of the process can't be read")

// Client asks the process at an address when it started.
type Client interface {
	// StartedAtMS returns when the process started, in milliseconds since the Unix epoch, ErrUnstated or ErrUnreadable.
	StartedAtMS(ctx context.Context, addr string) (int64, error)
	// StartedAtMSOver is StartedAtMS over an open connection to the address, over which further questions may follow unless nothing was answered.
	StartedAtMSOver(ctx context.Context, addr string, conn net.Conn) (int64, error)
}

// Stats counts the findings.
type Stats struct {
	Same        int64 `json:"same"`
	Other       int64 `json:"other"`
	Unstated    int64 `json:"unstated"`
	Unreachable int64 `json:"unreachable"`
}

// Checker compares processes with the rows of upstreams. It is safe for concurrent use.
type Checker struct {
	common.Deps
	client Client

	same, other, unstated, unreachable atomic.Int64
}

// New returns a checker that asks by the client.
func New(deps common.Deps, client Client) *Checker {
	return &Checker{
		Deps:   deps.WithPart("starts"),
		client: client,
	}
}

// Stats returns the counts so far.
func (c *Checker) Stats() Stats {
	return Stats{
		Same:        c.same.Load(),
		Other:       c.other.Load(),
		Unstated:    c.unstated.Load(),
		Unreachable: c.unreachable.Load(),
	}
}

// Check asks the process at the address of the upstream when it started, if the row says when. What it finds was so at some time after the call began. A question that its context ends finds the process unreachable, and is not counted.
func (c *Checker) Check(ctx context.Context, i route.Incarnation) Finding {
	if i.StartedAtMS == 0 {
		c.record(i, Unstated{})
		return Unstated{}
	}
	return c.askAndRecord(ctx, i, nil, askTimeout)
}

// Probe asks like Check, also if the row does not say when the process started: each finding shows that a process has answered since the call began, but for Unreachable with another error than ErrUnreadable. It asks over the connection, or over a new one if that is nil.
func (c *Checker) Probe(ctx context.Context, i route.Incarnation, conn net.Conn) Finding {
	return c.askAndRecord(ctx, i, conn, probeTimeout)
}

func (c *Checker) askAndRecord(ctx context.Context, i route.Incarnation, conn net.Conn, timeout time.Duration) Finding {
	f := c.ask(ctx, i, conn, timeout)
	if ctx.Err() == nil {
		c.record(i, f)
	}
	return f
}

// record counts the finding, and logs what is not as the row says.
func (c *Checker) record(i route.Incarnation, f Finding) {
	switch f := f.(type) {
	case Same:
		c.same.Add(1)
	case Other:
		c.other.Add(1)
		c.Log.WithField("upstream", i.Name).WithField("row_started_ms", i.StartedAtMS).WithField("started_ms", f.StartedAtMS).Info("Another start of an upstream than that of its row answers at its address.")
	case Unstated:
		c.unstated.Add(1)
	case Unreachable:
		c.unreachable.Add(1)
		c.Log.WithError(f.Err).WithField("upstream", i.Name).Info("Upstream does not say when it started.")
	default:
		panic(fmt.Sprintf("unknown finding %T", f))
	}
}

func (c *Checker) ask(ctx context.Context, i route.Incarnation, conn net.Conn, timeout time.Duration) Finding {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at, err := c.startedAt(ctx, i.Addr, conn)
	switch {
	case errors.Is(err, ErrUnstated):
		return Unstated{}
	case err != nil:
		return Unreachable{
			Err: err,
		}
	case i.StartedAtMS == 0:
		return Unstated{}
	case at != i.StartedAtMS:
		return Other{
			StartedAtMS: at,
		}
	}
	return Same{}
}

func (c *Checker) startedAt(ctx context.Context, addr string, conn net.Conn) (int64, error) {
	if conn == nil {
		return c.client.StartedAtMS(ctx, addr)
	}
	return c.client.StartedAtMSOver(ctx, addr, conn)
}
