package peers

import (
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/view"
)

// Bounds of one message, in entries.
const (
	maxPeers  = 64
	maxLoads  = 128
	maxMarks  = 64
	maxLeaves = 128
)

// Message is what one host tells another: digests always, and whole documents where the other's are older.
type Message struct {
	From        view.Peer      `cbor:"1,keyasint"`
	Peers       []view.Peer    `cbor:"2,keyasint,omitempty"`
	ListVersion int64          `cbor:"3,keyasint,omitempty"`
	Leaves      []view.Leave   `cbor:"4,keyasint,omitempty"`
	Loads       []loads.Report `cbor:"5,keyasint,omitempty"`
	Marks       []crash.Mark   `cbor:"6,keyasint,omitempty"`
	// Revision is a config.Revision and List a plat.HostList, as JSON.
	Revision []byte `cbor:"7,keyasint,omitempty"`
	List     []byte `cbor:"8,keyasint,omitempty"`
}
