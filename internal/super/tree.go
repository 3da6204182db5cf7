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
	// steadyAfter is how long a part has to run before its backoff starts anew.
	steadyAfter = 10 * time.Second
)

// Pause gives the time to wait before the next round of a periodic part.
type Pause func() time.Duration

// Tree supervises parts in the order in which they were given.
type Tree struct {
	common.Deps
	parts    []Part
	restarts func(part string)
}

// Option changes a Tree under construction.
type Option func(*Tree)

// WithParts appends parts; a part starts after those before it are up.
func WithParts(parts ...Part) Option {
	return func(t *Tree) {
		t.parts = append(t.parts, parts...)
	}
}

// WithRestartHook sets a function that is called with the part's name at each restart.
func WithRestartHook(f func(part string)) Option {
	return func(t *Tree) {
		t.restarts = f
	}
}

// New returns a tree that logs through deps.
func New(deps common.Deps, opts ...Option) *Tree {
	t := &Tree{
		Deps:     deps,
		restarts: func(string) {},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// child is a running part with its own stop signal.
type child struct {
	part Part
	stop context.CancelFunc
	done chan struct{}
}

// Run starts the parts in order, calls ready when all are up, and stops them in reverse when ctx ends.
func (t *Tree) Run(ctx context.Context, ready func()) error {
	var kids []child
	defer func() {
		for i := len(kids) - 1; i >= 0; i-- {
			kids[i].stop()
			<-kids[i].done
			t.Log.Debugf("Stopped %s.", kids[i].part.Name())
		}
	}()
	for _, p := range t.parts {
		c, up := t.start(ctx, p)
		kids = append(kids, c)
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
	// The part outlives ctx until its turn in the reverse order comes.
	own, stop := context.WithCancel(context.WithoutCancel(ctx))
	c := child{
		part: p,
		stop: stop,
		done: make(chan struct{}),
	}
	up := make(chan struct{})
	var once sync.Once
	go func() {
		defer close(c.done)
		t.keep(own, p, func() { once.Do(func() { close(up) }) })
	}()
	return c, up
}

// keep runs the part until it stops as asked, restarting it with backoff.
func (t *Tree) keep(ctx context.Context, p Part, up func()) {
	backoff := minBackoff
	for {
		began := t.Now()
		err := runPart(ctx, p, up)
		if ctx.Err() != nil {
			if err != nil && !errors.Is(err, context.Canceled) {
				t.Log.WithError(err).Warnf("Part %s stopped with an error.", p.Name())
			}
			return
		}
		if t.Now().Sub(began) > steadyAfter {
			backoff = minBackoff
		}
		t.restarts(p.Name())
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
