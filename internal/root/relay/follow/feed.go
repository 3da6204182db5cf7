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
	// minPause and maxPause bound the pause after a failed call, which doubles with each consecutive failure.
	minPause = 60 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// errReadAgain reports that the sink may lack changes, so that the whole table must be read.
var errReadAgain = errors.New("whole table must be read")

// ErrHistoryTruncated reports that the source no longer has the requested changes, so the whole table must be read again.
var ErrHistoryTruncated = errors.New("history is gone")

// Row is one row of a table in the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Source reads one table of the platform's store.
type Source interface {
	// ReadAll returns every row and the position of the table.
	ReadAll(ctx context.Context) ([]Row, Position, error)
	// WaitForChanges waits up to wait for changes after the position, and returns them with the position to continue from.
	WaitForChanges(ctx context.Context, after Position, wait time.Duration) ([]Row, Position, error)
}

// Sink receives the rows that a feed reads.
type Sink interface {
	// Reset replaces the contents of the sink with the rows of the whole table.
	Reset(rows []Row)
	// Restore merges the rows of the whole table after the store was restored from an older copy. Rows that were written after that copy are missing or outdated until their writers have written them again.
	Restore(rows []Row)
	// Apply applies changed rows.
	Apply(rows []Row)
}

// Feed keeps a sink up to date with a table.
type Feed struct {
	common.Deps
	name   string
	source Source
	sink   Sink
	wait   time.Duration
	// batchPause returns the pause after a call that returned changes.
	batchPause func() time.Duration
	// startCall is called before each call to the source. The function that it returns is called after a successful response.
	startCall func() (confirm func())
	// restorePause returns the longest pause before the table is read again after the store was restored.
	restorePause func() time.Duration
	// onOutage is called when calls start to fail, and onRecovery when they succeed again.
	onOutage   func()
	onRecovery func()
	eras       *Eras
	// position is the position of the sink in the history of the table, or unknown if the whole table must be read.
	position Position
	// sinkEra is the era of the rows that the sink has.
	sinkEra  Era
	failures int
	// random is what pauses are drawn from.
	random *rand.Rand
	// lastSuccess is the time of the last successful response.
	lastSuccess time.Time
}

// Option configures a Feed under construction.
type Option func(*Feed)

// WithConfirmation sets a function that is called before each call to the source. The function that startCall returns is called after a successful response.
func WithConfirmation(startCall func() (confirm func())) Option {
	return func(f *Feed) {
		f.startCall = startCall
	}
}

// WithBatchPause sets a pause after each call that returned changes, so that changes in quick succession are read by one call.
func WithBatchPause(pause func() time.Duration) Option {
	return func(f *Feed) {
		f.batchPause = pause
	}
}

// WithRestorePause sets the longest pause before the table is read again after the store was restored. Each feed pauses for a random part of it, so that hosts do not read at the same moment.
func WithRestorePause(pause func() time.Duration) Option {
	return func(f *Feed) {
		f.restorePause = pause
	}
}

// WithOutage sets functions that are called when calls start to fail and when they succeed again.
func WithOutage(onOutage, onRecovery func()) Option {
	return func(f *Feed) {
		f.onOutage = onOutage
		f.onRecovery = onRecovery
	}
}

// WithRandom sets the source from which the feed draws its pauses. Only the feed may use it.
func WithRandom(random *rand.Rand) Option {
	return func(f *Feed) {
		f.random = random
	}
}

// NewFeed returns a component that follows the source, a table of the store whose era is tracked by eras. Each call waits up to wait for changes.
func NewFeed(deps common.Deps, eras *Eras, name string, source Source, sink Sink, wait time.Duration, opts ...Option) *Feed {
	f := &Feed{
		Deps:         deps.WithPart("feed"),
		eras:         eras,
		name:         name,
		source:       source,
		sink:         sink,
		wait:         wait,
		batchPause:   func() time.Duration { return 0 },
		restorePause: func() time.Duration { return 0 },
		startCall:    func() func() { return func() {} },
		onOutage:     func() {},
		onRecovery:   func() {},
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Name returns the component's name in the supervision tree.
func (f *Feed) Name() string {
	return "feed " + f.name
}

// Run follows the table until ctx is done.
func (f *Feed) Run(ctx context.Context, up func()) error {
	up()
	for ctx.Err() == nil {
		confirm := f.startCall()
		changes, err := f.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		switch {
		case errors.Is(err, errReadAgain):
			// The next call reads the whole table. Only then is the sink known to be recent.
		case err != nil:
			common.Sleep(ctx, f.recordFailure(err))
		default:
			confirm()
			f.lastSuccess = f.Now()
			f.recordSuccess()
			if changes > 0 {
				common.Sleep(ctx, f.batchPause())
			}
		}
	}
	return nil
}

// poll makes one call to the source and returns how many changes were applied. It returns 0 after reading the whole table, and errReadAgain if the position has become invalid.
func (f *Feed) poll(ctx context.Context) (int, error) {
	era, entered := f.eras.Current()
	if f.position.Known() && f.position.Era != era {
		f.Log.WithField("table", f.name).WithField("version", f.position.Version).WithField("era", era).Info("The store was restored. Reading the whole table.")
		f.position = Position{}
		if pause := f.restorePause(); pause > 0 {
			common.Sleep(ctx, time.Duration(f.random.Int64N(int64(pause))))
		}
	}
	if !f.position.Known() {
		return 0, f.readAll(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-entered:
			cancel()
		case <-ctx.Done():
		}
	}()
	rows, position, err := f.source.WaitForChanges(ctx, f.position, f.wait)
	if current, _ := f.eras.Current(); current != era {
		return 0, errReadAgain
	}
	if errors.Is(err, ErrHistoryTruncated) {
		f.Log.WithField("table", f.name).WithField("version", f.position.Version).Info("Platform no longer has the changes since this version. Reading the whole table.")
		f.position = Position{}
		return 0, errReadAgain
	}
	if err != nil {
		return 0, fmt.Errorf("read changes of %s: %w", f.name, err)
	}
	if len(rows) > 0 {
		f.sink.Apply(rows)
	}
	if f.position.Before(position) {
		f.position = position
	}
	return len(rows), nil
}

// readAll reads the whole table into the sink.
func (f *Feed) readAll(ctx context.Context) error {
	rows, position, err := f.source.ReadAll(ctx)
	if err != nil {
		return fmt.Errorf("read %s: %w", f.name, err)
	}
	if f.sinkEra.Known() && position.Era != f.sinkEra {
		f.sink.Restore(rows)
	} else {
		f.sink.Reset(rows)
	}
	f.position = position
	f.sinkEra = position.Era
	return nil
}

func (f *Feed) recordSuccess() {
	if f.failures > 0 {
		f.Log.WithField("table", f.name).WithField("failures", f.failures).Info("Platform is reachable again.")
		f.onRecovery()
	}
	f.failures = 0
}

// recordFailure counts a failed call and returns the pause before the next one.
func (f *Feed) recordFailure(err error) time.Duration {
	if f.failures == 0 {
		log := f.Log.WithError(err).WithField("table", f.name)
		if !f.lastSuccess.IsZero() {
			log = log.WithField("heard_ms", f.Now().Sub(f.lastSuccess).Milliseconds())
		}
		log.Warn("Failed to read the table from the platform. Retrying.")
		f.onOutage()
	}
	pause := min(minPause<<min(f.failures, 8), maxPause)
	f.failures++
	return pause/2 + time.Duration(f.random.Int64N(int64(pause/2)))
}
