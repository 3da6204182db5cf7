package view

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrPeer reports a heartbeat without the identity of its host.
var ErrPeer = errors.New("peer needs a name, an address and a failure domain")

// Peer is the heartbeat of one entry host, as it is passed on between hosts.
type Peer struct {
	Name   string `json:"name" cbor:"1,keyasint"`
	Addr   string `json:"addr" cbor:"2,keyasint"`
	Domain string `json:"domain" cbor:"3,keyasint"`
	// Beat is when the heartbeat was sent, in milliseconds since 1970 by the host's own clock; it grows with each.
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
	return p.Beat > q.Beat
}

// heard is a heartbeat with the local time at which it came.
type heard struct {
	peer Peer
	at   time.Time
	// met is when the host was heard of first.
	met time.Time
}

// Beat is a heartbeat without the identity of its host, which the other end knows from the list or an earlier message.
type Beat struct {
	_ struct{} `cbor:",toarray"`
	// Host is the hash of the host's name.
	Host     uint64
	Beat     int64
	Revision int64
	Leaving  bool
}

// Brief returns the heartbeat without the identity.
func (p Peer) Brief() Beat {
	return Beat{
		Host:     HashName(p.Name),
		Beat:     p.Beat,
		Revision: p.Revision,
		Leaving:  p.Leaving,
	}
}

// HashName returns the hash by which messages name a host or an upstream.
func HashName(name string) uint64 {
	return xxhash.Sum64String(name)
}
