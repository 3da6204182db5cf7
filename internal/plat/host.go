package plat

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrHost reports a host without a name or an address.
var ErrHost = errors.New("host needs a name, an address and a known role")

// Role says what a listed host runs.
type Role string

// The roles of listed hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Host is one entry of the platform's lagging list.
type Host struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Role   Role   `json:"role"`
	// Pool is the pool that an upstream belongs to.
	Pool    string `json:"pool,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// UnmarshalJSON decodes a host and checks that it can be reached.
func (h *Host) UnmarshalJSON(b []byte) error {
	type plain Host
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode host: %w", err)
	}
	if p.Name == "" || p.Addr == "" || (p.Role != RoleEntry && p.Role != RoleUpstream) {
		return fmt.Errorf("check host %q: %w", p.Name, ErrHost)
	}
	*h = Host(p)
	return nil
}

// HostList is a version of the list; a higher version is newer.
type HostList struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}
