package plat

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidHost reports a host without a name or an address, or with an unknown role.
var ErrInvalidHost = errors.New("host needs a name, an address and a known role")

// Role is the kind of process that a listed host runs.
type Role string

// The roles of hosts in the list.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Host is one entry of the host list. The list is eventually consistent: it may lag behind the hosts.
type Host struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Role   Role   `json:"role"`
	// Pool is the pool of an upstream; empty for entry hosts.
	Pool    string `json:"pool,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// UnmarshalJSON decodes a host and returns ErrInvalidHost if its name, address or role is not valid.
func (h *Host) UnmarshalJSON(b []byte) error {
	type plain Host
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode host: %w", err)
	}
	if p.Name == "" || p.Addr == "" || (p.Role != RoleEntry && p.Role != RoleUpstream) {
		return fmt.Errorf("check host %q: %w", p.Name, ErrInvalidHost)
	}
	*h = Host(p)
	return nil
}

// HostList is one version of the host list; a higher version is newer.
type HostList struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}
