package super

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// backoffResetAfter is the time that a part must run without failure before its next restart uses minBackoff again.
	backoffResetAfter = 10 * time.Second
)

// Interval returns the time to wait before the next call of a periodic part. It is called before each wait, so the value may vary.
type Interval func() time.Duration

// Tree starts parts in the order in which they were added, restarts failed parts and stops all parts in reverse order.
type Tree struct {
	common.Deps
	parts     []Part
	onRestart func(part string)
}

// Option changes a Tree under construction.
type Option func(*Tree)

// WithParts appends parts. A part starts once all parts before it have reported that they can serve.
func WithParts(parts ...Part) Option {
	return func(t *Tree) {
		t.parts = append(t.parts, parts...)
	}
}

// WithRestartHook sets a function that is called with the name of a part before each restart of the part.
func WithRestartHook(f func(part string)) Option {
	return func(t *Tree) {
		t.onRestart = f
	}
}

// New returns a tree that logs through deps.
func New(deps common.Deps, opts ...Option) *Tree {
	t := &Tree{
		Deps:      deps,
		onRestart: func(string) {},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// child is a running part that can be stopped on its own.
type child struct {
	part Part
	stop context.CancelFunc
	done chan struct{}
}

// Run starts the parts in order and calls ready once all parts have reported that they can serve. When ctx ends, it stops the parts in reverse order and returns nil.
func (t *Tree) Run(ctx context.Context, ready func()) error {
	var children []child
	defer func() {
		for i := len(children) - 1; i >= 0; i-- {
			children[i].stop()
			<-children[i].done
			t.Log.Debugf("Stopped %s.", children[i].part.Name())
		}
	}()
	for _, p := range t.parts {
		c, up := t.start(ctx, p)
		children = append(children, c)
		select {
		case <-up:
		case <-ctx.Done():
			return nil
		}
	}
	ready()
	<-ctx.Done()
	return nil
}

func (t *Tree) start(ctx context.Context, p Part) (child, <-chan struct{}) {
	// The part must not stop as soon as ctx ends. Run cancels partCtx when all parts that started later have stopped.
	partCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c := child{
		part: p,
		stop: stop,
		done: make(chan struct{}),
	}
	up := make(chan struct{})
	var once sync.Once
	go func() {
		defer close(c.done)
		t.supervise(partCtx, p, func() { once.Do(func() { close(up) }) })
	}()
	return c, up
}

// supervise runs the part and restarts it with exponential backoff until ctx ends.
func (t *Tree) supervise(ctx context.Context, p Part, up func()) {
	backoff := minBackoff
	for {
		startedAt := t.Now()
		err := runPart(ctx, p, up)
		if ctx.Err() != nil {
			if err != nil && !errors.Is(err, context.Canceled) {
				t.Log.WithError(err).Warnf("Part %s returned an error while stopping.", p.Name())
			}
			return
		}
		if t.Now().Sub(startedAt) > backoffResetAfter {
			backoff = minBackoff
		}
		t.onRestart(p.Name())
		t.Log.WithError(err).Errorf("Part %s failed. Restarting in %s.", p.Name(), backoff)
		if !common.Sleep(ctx, backoff) {
			return
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

func runPart(ctx context.Context, p Part, up func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("part %s panicked: %v", p.Name(), r)
		}
	}()
	if err := p.Run(ctx, up); err != nil {
		return fmt.Errorf("run %s: %w", p.Name(), err)
	}
	return nil
}
