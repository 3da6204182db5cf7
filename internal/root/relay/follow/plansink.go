package follow

import (
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// PlanSink activates the newest configuration.
type PlanSink struct {
	common.Deps
	decode  func(value []byte) (*plan.Plan, error)
	key     string
	active  *plan.Active
	changed func()
	// ages returns the ages of what is known as a row of the table comes, or is nil.
	ages func() PlanAges

	mu sync.Mutex
	// value is the encoded form of the active configuration.
	value []byte
	// unreadable reports that a newer configuration than the active one can't be read.
	unreadable bool
}

// PlanAges are the ages of what a host knows of the configuration as a row of it comes.
type PlanAges struct {
	// Read is the time since the row was read, and Confirmed the time since the call to the store began that brought it.
	Read, Confirmed time.Duration
	// Before is the time since the confirmation before, or negative if there was none. The row was written after it.
	Before time.Duration
}

// PlanOption configures a PlanSink under construction.
type PlanOption func(*PlanSink)

// WithPlanAges has the log tell how long a configuration waited before it came into force.
func WithPlanAges(ages func() PlanAges) PlanOption {
	return func(s *PlanSink) {
		s.ages = ages
	}
}

// NewPlanSink returns a sink that decodes the row with the key and activates it if it is newer. It calls changed after each activation.
func NewPlanSink(deps common.Deps, key string, decode func(value []byte) (*plan.Plan, error), active *plan.Active, changed func(), opts ...PlanOption) *PlanSink {
	s := &PlanSink{
		Deps:    deps.WithPart("plan"),
		decode:  decode,
		key:     key,
		active:  active,
		changed: changed,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Reset applies the rows of the whole table.
func (s *PlanSink) Reset(rows []Row) {
	s.Apply(rows)
}

// Restore applies the rows of a restored table. An older configuration in it is ignored, as the operator will write the newest one again.
func (s *PlanSink) Restore(rows []Row) {
	s.Apply(rows)
}

// Newest returns the version and the encoded form of the active configuration, or 0 if there is none.
func (s *PlanSink) Newest() (version int64, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.active.Current(); p != nil {
		version = p.Version
	}
	return version, s.value
}

// Offer activates a configuration of another host if it is newer.
func (s *PlanSink) Offer(value []byte) {
	s.activate(value, nil)
}

// Apply applies changed rows.
func (s *PlanSink) Apply(rows []Row) {
	for _, r := range rows {
		if r.Key == s.key && !r.Deleted {
			s.activate(r.Value, s.ages)
		}
	}
}

// activate activates the plan whose encoded form is value, if it is newer. ages, if not nil, returns the ages for the log.
func (s *PlanSink) activate(value []byte, ages func() PlanAges) {
	began := s.Now()
	p, err := s.decode(value)
	if err != nil {
		s.Log.WithError(err).Error("Failed to decode the configuration. The previous one stays active, but its keys expire.")
		s.setUnreadable()
		return
	}
	if !s.replace(p, value) {
		s.Log.WithField("version", p.Version).Info("Ignored a configuration that is not newer than the active one.")
		return
	}
	log := s.Log.WithField("version", p.Version).WithField("routes", p.RouteCount()).WithField("pools", len(p.Pools)).
		WithField("bytes", len(value)).WithField("decode_ms", s.Now().Sub(began).Milliseconds())
	if ages != nil {
		a := ages()
		log = log.WithField("read_ms", a.Read.Milliseconds()).WithField("confirmed_ms", a.Confirmed.Milliseconds()).WithField("before_ms", a.Before.Milliseconds())
	}
	log.Info("Configuration activated.")
	for _, problem := range p.Problems {
		s.Log.WithError(problem).WithField("version", p.Version).Error("A part of the configuration can't be used.")
	}
	s.changed()
}

// replace activates the plan, whose encoded form is value, if it is newer.
func (s *PlanSink) replace(p *plan.Plan, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active.ReplaceIfNewer(p) {
		return false
	}
	s.value = value
	s.unreadable = false
	return true
}

// setUnreadable records that the newest configuration can't be read. Only a newer one than the active one ends that: what the unreadable one took away is not known.
func (s *PlanSink) setUnreadable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadable = true
}

// IsNewest reports whether the active configuration is the newest one, as far as the rows tell. It is not if there is none, or if a later one can't be read.
func (s *PlanSink) IsNewest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active.Current() != nil && !s.unreadable
}
