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

// ErrMissingChangeID reports a change with an empty change_id.
var ErrMissingChangeID = errors.New("change_id must not be empty")

// Change is the request body by which an operator puts a document in force.
type Change struct {
	// ChangeID is unique to the change; if the answer is lost, the change can be sent again under the same ID.
	ChangeID string `json:"change_id"`
	// Base is the number of the revision on which the change is based.
	Base int64 `json:"base"`
	// Document is the whole document as YAML text, so that faults can be reported with its line numbers.
	Document string `json:"document"`
	DryRun   bool   `json:"dry_run,omitempty"`
}

// UnmarshalJSON decodes a change and returns ErrMissingChangeID if its change_id is empty.
func (c *Change) UnmarshalJSON(b []byte) error {
	type plain Change
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode change: %w", err)
	}
	if p.ChangeID == "" {
		return fmt.Errorf("check change: %w", ErrMissingChangeID)
	}
	*c = Change(p)
	return nil
}

// ChangeResult is the response to a change that was accepted, or that passed the checks of a dry run.
type ChangeResult struct {
	Revision config.Revision `json:"revision"`
	DryRun   bool            `json:"dry_run,omitempty"`
}

// Refusal is the response body of a request that failed.
type Refusal struct {
	Reason string         `json:"reason"`
	Faults []strict.Fault `json:"faults,omitempty"`
	// Winner is the revision of the operator who committed first, if this change lost a race; otherwise nil.
	Winner *config.Revision `json:"winner,omitempty"`
}

// Error returns the reason.
func (r Refusal) Error() string {
	return r.Reason
}

// History is a list of revisions, the newest first.
type History struct {
	Revisions []config.Revision `json:"revisions"`
}

// Status is the state of all hosts as known to the host that answers.
type Status struct {
	Host     string    `json:"host"`
	Domain   string    `json:"domain"`
	Revision int64     `json:"revision"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at,omitzero"`
	// StoreOut is true while this host treats the platform's store as unreachable.
	StoreOut bool `json:"store_out"`
	// InForce is set if every live host has the revision in force.
	InForce bool        `json:"in_force"`
	Live    []view.Peer `json:"live"`
	// Lost lists the hosts whose heartbeats have stopped.
	Lost []view.Peer `json:"lost"`
}

// Upstream is the state of one upstream as known to the host that answers.
type Upstream struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Pool    string `json:"pool"`
	Leaving bool   `json:"leaving"`
	// Drained is set if the document excludes the upstream from new work.
	Drained bool `json:"drained"`
}

// Upstreams is the list of all upstreams known to the host that answers.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Report holds the counters of one host since it started, and the burn rate of its objective.
type Report struct {
	Host   string        `json:"host"`
	Burn   burn.Report   `json:"burn"`
	Counts []tally.Count `json:"counts"`
}

// Orders is the progress of each pool towards its desired state; it lists pools only if Host holds the lease for orders.
type Orders struct {
	Host  string            `json:"host"`
	Pools []orders.Progress `json:"pools"`
}
