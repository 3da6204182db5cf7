package follow

import (
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
}

// NewPlanSink returns a sink that decodes the row with the key and activates it if it is newer. It calls changed after each activation.
func NewPlanSink(deps common.Deps, key string, decode func(value []byte) (*plan.Plan, error), active *plan.Active, changed func()) *PlanSink {
	return &PlanSink{
		Deps:    deps.WithPart("plan"),
		decode:  decode,
		key:     key,
		active:  active,
		changed: changed,
	}
}

// Reset applies the rows of the whole table.
func (s *PlanSink) Reset(rows []Row) {
	s.Apply(rows)
}

// Apply applies changed rows.
func (s *PlanSink) Apply(rows []Row) {
	for _, r := range rows {
		if r.Key != s.key || r.Deleted {
			continue
		}
		p, err := s.decode(r.Value)
		if err != nil {
			s.Log.WithError(err).Error("Failed to decode the configuration. The previous one stays active.")
			continue
		}
		if !s.active.ReplaceIfNewer(p) {
			s.Log.WithField("version", p.Version).Info("Ignored a configuration that is not newer than the active one.")
			continue
		}
		s.Log.WithField("version", p.Version).WithField("routes", p.RouteCount()).WithField("pools", len(p.Pools)).Info("Configuration activated.")
		s.changed()
	}
}
