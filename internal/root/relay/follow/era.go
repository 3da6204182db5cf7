package follow

import (
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Era is the time between two restores of the platform's store. Its number rises each time the store comes back from an older copy. The zero value is an unknown era.
type Era struct {
	number int64
	known  bool
}

// EraOf returns the era with the number that the store states.
func EraOf(number int64) Era {
	return Era{
		number: number,
		known:  true,
	}
}

// Known reports whether the era is known.
func (e Era) Known() bool {
	return e.known
}

// String returns the number of the era, or "unknown".
func (e Era) String() string {
	if !e.known {
		return "unknown"
	}
	return strconv.FormatInt(e.number, 10)
}

// Position is a point in the history of a table. Versions of different eras cannot be compared, as a restored store gives versions out again.
type Position struct {
	Era     Era
	Version int64
}

// Known reports whether the position is known.
func (p Position) Known() bool {
	return p != Position{}
}

// Before reports whether the position precedes the other one. A position of an unknown era is compared by its version.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era && p.Era.known && o.Era.known {
		return p.Era.number < o.Era.number
	}
	return p.Version < o.Version
}

// ErrOutdatedEra reports a response that the store sent before it was restored.
var ErrOutdatedEra = errors.New("response is from before the store was restored")

// eraAction is what to do about the era of a response: keepEra, enterEra or discardResponse.
type eraAction interface {
	eraAction()
}

// keepEra accepts the response.
type keepEra struct{}

// enterEra accepts the response as the first one of its era.
type enterEra struct{}

// discardResponse rejects a late response of an earlier era.
type discardResponse struct{}

func (keepEra) eraAction()         {}
func (enterEra) eraAction()        {}
func (discardResponse) eraAction() {}

// decideEra decides about a response of the era seen to a call that was sent while the era sentIn was current.
// An era below the current one belongs to a late response, unless the call was sent in the current era: then the store's numbering has fallen, and the era counts as a new one.
func decideEra(current, sentIn, seen Era) eraAction {
	switch {
	case !seen.known || seen == current:
		return keepEra{}
	case !current.known || seen.number > current.number || sentIn == current:
		return enterEra{}
	default:
		return discardResponse{}
	}
}

// Eras tracks the era of the platform's store over all calls. It is safe for concurrent use.
type Eras struct {
	common.Deps

	mu      sync.Mutex
	current Era
	// entered is closed and replaced when an era is entered.
	entered chan struct{}
	// onEnter is called when an era is entered, before any response of it is used.
	onEnter func()
	// invalid reports that the last response stated an invalid era.
	invalid bool
}

// NewEras returns a tracker that knows no era yet.
func NewEras(deps common.Deps) *Eras {
	return &Eras{
		Deps:    deps.WithPart("era"),
		entered: make(chan struct{}),
		onEnter: func() {},
	}
}

// OnEnter sets a function that is called when an era is entered, before any response of it is used. It must not use the Eras, and must be set before the first call to the store.
func (e *Eras) OnEnter(f func()) {
	e.onEnter = f
}

// Current returns the current era, and a channel that is closed when the next one is entered.
func (e *Eras) Current() (Era, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.entered
}

// Observe records the era seen in a response to a call that was sent while the era sentIn was current, and returns the era that the response counts for. It returns ErrOutdatedEra if the response must be discarded.
func (e *Eras) Observe(sentIn, seen Era) (Era, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.invalid = e.invalid && !seen.known
	switch decideEra(e.current, sentIn, seen).(type) {
	case enterEra:
		e.enter(seen)
	case discardResponse:
		e.Log.WithField("era", seen).WithField("current", e.current).Info("Discarded a response from before the store was restored.")
		return e.current, ErrOutdatedEra
	}
	return e.current, nil
}

// ObserveInvalid records a response whose era cannot be parsed. The response is treated like one that states no era.
func (e *Eras) ObserveInvalid(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.invalid {
		e.Log.WithError(err).Warn("The store stated an invalid era. It is ignored.")
	}
	e.invalid = true
}

// enter makes the era the current one. The caller holds mu.
func (e *Eras) enter(seen Era) {
	log := e.Log.WithField("era", seen).WithField("previous", e.current)
	switch {
	case !e.current.known:
		log.Info("The store states its era.")
	case seen.number < e.current.number:
		log.Warn("The era of the store has fallen. Treating the store as restored.")
	default:
		log.Warn("The store has been restored from an older copy. Reading all tables again.")
	}
	e.current = seen
	e.onEnter()
	close(e.entered)
	e.entered = make(chan struct{})
}
