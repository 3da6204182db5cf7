package view

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrPeer is returned for a heartbeat that lacks the name, address or failure domain of its host.
var ErrPeer = errors.New("peer needs a name, an address and a failure domain")

// Peer is the full heartbeat of one entry host. Hosts relay it to each other.
type Peer struct {
	Name   string `json:"name" cbor:"1,keyasint"`
	Addr   string `json:"addr" cbor:"2,keyasint"`
	Domain string `json:"domain" cbor:"3,keyasint"`
	// Heartbeat is the timestamp of the heartbeat: its send time in milliseconds since 1970 by the sending host's clock.
	// It increases with every heartbeat of the host.
	Heartbeat int64 `json:"beat" cbor:"5,keyasint"`
	// Revision is the number of the configuration revision in force on the host.
	Revision int64 `json:"revision" cbor:"6,keyasint"`
	Leaving  bool  `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}

// UnmarshalJSON decodes a heartbeat and returns ErrPeer if its identity is incomplete.
func (p *Peer) UnmarshalJSON(b []byte) error {
	type plain Peer
	var q plain
	if err := json.Unmarshal(b, &q); err != nil {
		return fmt.Errorf("decode peer: %w", err)
	}
	*p = Peer(q)
	return p.Check()
}

// Check returns ErrPeer if the name, address or failure domain is empty.
func (p Peer) Check() error {
	if p.Name == "" || p.Addr == "" || p.Domain == "" {
		return fmt.Errorf("check peer %q: %w", p.Name, ErrPeer)
	}
	return nil
}

// newer reports whether p has a later timestamp than q.
func (p Peer) newer(q Peer) bool {
	return p.Heartbeat > q.Heartbeat
}

// peerRecord is the newest heartbeat of a peer with the local times at which it was received.
type peerRecord struct {
	peer       Peer
	receivedAt time.Time
	// introduced is when the current address of the host was first received.
	introduced time.Time
}

// Heartbeat is the compact form of a Peer, without the identity of the host.
// The receiver takes the identity from the host list or an earlier message.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Host is the HashName of the host's name. Heartbeat is the timestamp, as in Peer.
	Host      uint64
	Heartbeat int64
	Revision  int64
	Leaving   bool
}

// Compact returns the heartbeat without the host's identity.
func (p Peer) Compact() Heartbeat {
	return Heartbeat{
		Host:      HashName(p.Name),
		Heartbeat: p.Heartbeat,
		Revision:  p.Revision,
		Leaving:   p.Leaving,
	}
}

// HashName returns the hash that identifies a host or an upstream in compact messages.
func HashName(name string) uint64 {
	return xxhash.Sum64String(name)
}
