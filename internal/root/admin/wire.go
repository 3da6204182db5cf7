package admin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/front/tally"
	"github.com/cornelwing/cornelwing/internal/root/front/tally/burn"
	"github.com/cornelwing/cornelwing/internal/root/orders"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Paths of the operators' interface.
const (
	PathConfig    = "/v1/config"
	PathHistory   = "/v1/config/history"
	PathStatus    = "/v1/status"
	PathUpstreams = "/v1/upstreams"
	PathReport    = "/v1/report"
	PathOrders    = "/v1/orders"
	PathSummary   = "/v1/summary"
)

// ErrChange reports a change without an identity.
var ErrChange = errors.New("change_id must not be empty")

// Change is what an operator sends to put a document in force.
type Change struct {
	ChangeID string `json:"change_id"`
	Base     int64  `json:"base"`
	// Document is the whole document as YAML, so that faults can be named by its lines.
	Document string `json:"document"`
	DryRun   bool   `json:"dry_run,omitempty"`
}

// UnmarshalJSON decodes a change and checks its identity.
func (c *Change) UnmarshalJSON(b []byte) error {
	type plain Change
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode change: %w", err)
	}
	if p.ChangeID == "" {
		return fmt.Errorf("check change: %w", ErrChange)
	}
	*c = Change(p)
	return nil
}

// Accepted is the answer to a change.
type Accepted struct {
	Revision config.Revision `json:"revision"`
	DryRun   bool            `json:"dry_run,omitempty"`
}

// Refusal says why an operator's call had no effect.
type Refusal struct {
	Reason string         `json:"reason"`
	Faults []strict.Fault `json:"faults,omitempty"`
	// Winner is the revision that came first, where two operators raced.
	Winner *config.Revision `json:"winner,omitempty"`
}

// Error renders the reason.
func (r Refusal) Error() string {
	return r.Reason
}

// History is a list of revisions, the newest first.
type History struct {
	Revisions []config.Revision `json:"revisions"`
}

// Status is the state of the hosts as one of them sees it.
type Status struct {
	Host     string      `json:"host"`
	Domain   string      `json:"domain"`
	Revision int64       `json:"revision"`
	Author   string      `json:"author,omitempty"`
	At       time.Time   `json:"at,omitzero"`
	StoreOut bool        `json:"store_out"`
	InForce  bool        `json:"in_force"`
	Live     []view.Peer `json:"live"`
	Lost     []view.Peer `json:"lost"`
}

// Upstream is the state of one upstream as one host sees it.
type Upstream struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Pool    string `json:"pool"`
	Leaving bool   `json:"leaving"`
	// Drained says that the document gives the upstream no new work.
	Drained bool `json:"drained"`
}

// Upstreams is a list of upstreams.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Report is what one host has counted.
type Report struct {
	Host   string        `json:"host"`
	Burn   burn.Report   `json:"burn"`
	Counts []tally.Count `json:"counts"`
}

// Orders is how far the pools have come, as one host sees it; only the order holder names any.
type Orders struct {
	Host  string            `json:"host"`
	Pools []orders.Progress `json:"pools"`
}
