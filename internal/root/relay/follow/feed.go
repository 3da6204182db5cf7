package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// minPause and maxPause bound the pause after a failed call, which doubles with each failure.
	minPause = 60 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// ErrHistory says that the changes asked for are no longer kept, so that the table has to be read whole.
var ErrHistory = errors.New("history is gone")

// Row is one row of a table of the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Source reads one table of the platform's store.
type Source interface {
	// All returns every row and the version that the table has.
	All(ctx context.Context) ([]Row, int64, error)
	// Changes waits for changes after the version, no longer than wait, and returns them with the version to go on from.
	Changes(ctx context.Context, after int64, wait time.Duration) ([]Row, int64, error)
}

// Sink takes what a feed reads.
type Sink interface {
	// Reset takes the whole table.
	Reset(rows []Row)
	// Apply takes changed rows.
	Apply(rows []Row)
}

// Feed keeps a sink up to date with a table.
type Feed struct {
	common.Deps
	name   string
	source Source
	sink   Sink
	wait   time.Duration
	// gather is the pause after a call that brought changes.
	gather func() time.Duration
	// ask is called before each call, and what it returns after a good answer.
	ask func() (confirm func())
	// lost is called when calls begin to fail, and back when they succeed again.
	lost func()
	back func()
	// version is 0 while the table has to be read whole.
	version int64
	fails   int
	// heard is when the last good answer came.
	heard time.Time
}

// Option changes a Feed under construction.
type Option func(*Feed)

// WithConfirm sets a function that is called before each call and returns what is called after its answer.
func WithConfirm(ask func() (confirm func())) Option {
	return func(f *Feed) {
		f.ask = ask
	}
}

// WithGather sets a pause after each call that brought changes, so that those which come close together cost one call.
func WithGather(pause func() time.Duration) Option {
	return func(f *Feed) {
		f.gather = pause
	}
}

// WithOutage sets functions that are called when calls begin to fail and when they succeed again.
func WithOutage(lost, back func()) Option {
	return func(f *Feed) {
		f.lost = lost
		f.back = back
	}
}

// NewFeed returns a part that follows the source; each call waits for changes no longer than wait.
func NewFeed(deps common.Deps, name string, source Source, sink Sink, wait time.Duration, opts ...Option) *Feed {
	f := &Feed{
		Deps:   deps.WithPart("feed"),
		name:   name,
		source: source,
		sink:   sink,
		wait:   wait,
		gather: func() time.Duration { return 0 },
		ask:    func() func() { return func() {} },
		lost:   func() {},
		back:   func() {},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Name is the part's name in the supervision tree.
func (f *Feed) Name() string {
	return "feed " + f.name
}

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context, up func()) error {
	up()
	for ctx.Err() == nil {
		confirm := f.ask()
		changes, err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			confirm()
			f.heard = f.Now()
			f.succeeded()
			if changes > 0 {
				common.Sleep(ctx, f.gather())
			}
			continue
		}
		common.Sleep(ctx, f.failed(err))
	}
	return nil
}

// step makes one call and returns how many changes it brought.
func (f *Feed) step(ctx context.Context) (int, error) {
	if f.version == 0 {
		rows, version, err := f.source.All(ctx)
		if err != nil {
			return 0, fmt.Errorf("read %s: %w", f.name, err)
		}
		f.sink.Reset(rows)
		f.version = version
		return 0, nil
	}
	rows, version, err := f.source.Changes(ctx, f.version, f.wait)
	if errors.Is(err, ErrHistory) {
		f.Log.WithField("table", f.name).WithField("version", f.version).Info("History is gone. Reading the table whole.")
		f.version = 0
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", f.name, err)
	}
	if len(rows) > 0 {
		f.sink.Apply(rows)
	}
	f.version = max(f.version, version)
	return len(rows), nil
}

func (f *Feed) succeeded() {
	if f.fails > 0 {
		f.Log.WithField("table", f.name).WithField("failures", f.fails).Info("Platform is back.")
		f.back()
	}
	f.fails = 0
}

// failed returns the pause before the next call.
func (f *Feed) failed(err error) time.Duration {
	if f.fails == 0 {
		log := f.Log.WithError(err).WithField("table", f.name)
		if !f.heard.IsZero() {
			log = log.WithField("heard_ms", f.Now().Sub(f.heard).Milliseconds())
		}
		log.Warn("Platform is lost.")
		f.lost()
	}
	pause := min(minPause<<min(f.fails, 8), maxPause)
	f.fails++
	return pause/2 + rand.N(pause/2)
}
