package view

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrPeer reports a heartbeat without the identity of its host.
var ErrPeer = errors.New("peer needs a name, an address and a failure domain")

// Peer is the heartbeat of one entry host, as it is passed on between hosts.
type Peer struct {
	Name   string `json:"name" cbor:"1,keyasint"`
	Addr   string `json:"addr" cbor:"2,keyasint"`
	Domain string `json:"domain" cbor:"3,keyasint"`
	// Start is when the host's process started, in milliseconds since 1970; a restarted host has a later one.
	Start int64 `json:"start" cbor:"4,keyasint"`
	// Beat grows while the process lives.
	Beat int64 `json:"beat" cbor:"5,keyasint"`
	// Revision is the number of the configuration in force on the host.
	Revision int64 `json:"revision" cbor:"6,keyasint"`
	Leaving  bool  `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}

// UnmarshalJSON decodes a heartbeat and checks its identity.
func (p *Peer) UnmarshalJSON(b []byte) error {
	type plain Peer
	var q plain
	if err := json.Unmarshal(b, &q); err != nil {
		return fmt.Errorf("decode peer: %w", err)
	}
	*p = Peer(q)
	return p.Check()
}

// Check returns ErrPeer for a heartbeat without an identity.
func (p Peer) Check() error {
	if p.Name == "" || p.Addr == "" || p.Domain == "" {
		return fmt.Errorf("check peer %q: %w", p.Name, ErrPeer)
	}
	return nil
}

// newer reports whether p was sent after q.
func (p Peer) newer(q Peer) bool {
	if p.Start != q.Start {
		return p.Start > q.Start
	}
	return p.Beat > q.Beat
}

// heard is a heartbeat with the local time at which it came.
type heard struct {
	peer Peer
	at   time.Time
}
