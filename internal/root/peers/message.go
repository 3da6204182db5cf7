package peers

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/view"
)

// Maximum numbers of entries in one message.
const (
	maxHeartbeats   = 48
	maxLoads        = 32
	maxMarks        = 16
	maxLeaveNotices = 16
)

// identityTTL is how long the identity of an unlisted host is sent to peers after it was first received.
const identityTTL = 10 * time.Second

// Message is one message between entry hosts. A digest contains versions, heartbeats, leave notices, load reports and crash marks.
// The documents, which are the configuration and the host list, are added only if the receiver has older versions of them.
type Message struct {
	From         view.Peer             `cbor:"1,keyasint"`
	Heartbeats   []view.Heartbeat      `cbor:"9,keyasint,omitempty"`
	Identities   []view.Peer           `cbor:"2,keyasint,omitempty"`
	ListVersion  int64                 `cbor:"3,keyasint,omitempty"`
	LeaveNotices []view.LeaveNotice    `cbor:"4,keyasint,omitempty"`
	Loads        []loads.CompactReport `cbor:"5,keyasint,omitempty"`
	Marks        []crash.Mark          `cbor:"6,keyasint,omitempty"`
	// Revision is a config.Revision and List a plat.HostList, both encoded as JSON.
	Revision []byte `cbor:"7,keyasint,omitempty"`
	List     []byte `cbor:"8,keyasint,omitempty"`
	// Deltas are JSON-encoded config.Delta values. They replace Revision if the receiver is only a few revisions behind.
	Deltas [][]byte `cbor:"12,keyasint,omitempty"`
	// Writes are claim writes for the receiver to commit. Results are their outcomes in the same order.
	Writes  []claim.Write  `cbor:"10,keyasint,omitempty"`
	Results []claim.Result `cbor:"11,keyasint,omitempty"`
}
