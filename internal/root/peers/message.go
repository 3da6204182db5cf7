package peers

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/view"
)

// Bounds of one message, in entries.
const (
	maxBeats  = 48
	maxLoads  = 32
	maxMarks  = 16
	maxLeaves = 16
)

// metWithin is how long the identity of a host is passed on after it was met.
const metWithin = 10 * time.Second

// Message is what one host tells another: digests always, and whole documents where the other's are older.
type Message struct {
	From        view.Peer     `cbor:"1,keyasint"`
	Beats       []view.Beat   `cbor:"9,keyasint,omitempty"`
	Met         []view.Peer   `cbor:"2,keyasint,omitempty"`
	ListVersion int64         `cbor:"3,keyasint,omitempty"`
	Leaves      []view.Leave  `cbor:"4,keyasint,omitempty"`
	Loads       []loads.Brief `cbor:"5,keyasint,omitempty"`
	Marks       []crash.Mark  `cbor:"6,keyasint,omitempty"`
	// Revision is a config.Revision and List a plat.HostList, as JSON.
	Revision []byte `cbor:"7,keyasint,omitempty"`
	List     []byte `cbor:"8,keyasint,omitempty"`
	// Deltas are of config.Delta, as JSON, in place of Revision where the other lags by little.
	Deltas [][]byte `cbor:"12,keyasint,omitempty"`
	// Writes are claims that the other is to commit, and Results what became of them.
	Writes  []claim.Write  `cbor:"10,keyasint,omitempty"`
	Results []claim.Result `cbor:"11,keyasint,omitempty"`
}
