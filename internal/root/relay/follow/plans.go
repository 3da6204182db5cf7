package follow

import (
	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
)

// Plans puts the newest configuration in force.
type Plans struct {
	common.Deps
	decode  func(value []byte) (*plan.Plan, error)
	key     string
	holder  *plan.Holder
	changed func()
}

// NewPlans returns a sink that decodes the row of the key and offers it to the holder.
func NewPlans(deps common.Deps, key string, decode func(value []byte) (*plan.Plan, error), holder *plan.Holder, changed func()) *Plans {
	return &Plans{
		Deps:    deps.WithPart("plan"),
		decode:  decode,
		key:     key,
		holder:  holder,
		changed: changed,
	}
}

// Reset takes the whole table.
func (s *Plans) Reset(rows []Row) {
	s.Apply(rows)
}

// Apply takes changed rows.
func (s *Plans) Apply(rows []Row) {
	for _, r := range rows {
		if r.Key != s.key || r.Deleted {
			continue
		}
		p, err := s.decode(r.Value)
		if err != nil {
			s.Log.WithError(err).Error("Configuration cannot be read. The one before stays in force.")
			continue
		}
		if !s.holder.Offer(p) {
			s.Log.WithField("version", p.Version).Info("Configuration is not newer. It is passed over.")
			continue
		}
		s.Log.WithField("version", p.Version).WithField("routes", p.Routes()).WithField("pools", len(p.Pools)).Info("Configuration is in force.")
		s.changed()
	}
}
