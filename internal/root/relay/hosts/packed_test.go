package hosts

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Guards against answers that name a block which the host no longer has, since it has sent others meanwhile.
func TestAnswerNamesOnlyBlocksThatTheHostHas(t *testing.T) {
	const others = 20
	deps := common.NewQuietDeps("host-1", "z")
	host := Host{Name: "host-1", Addr: "a:1", Domain: "z"}
	peers := NewPeers(deps, host.Addr, NewRoster(deps, host), &fakeLocalQueues{})
	rows := []tableRow{{
		Key:   largeRow,
		Value: largeConfiguration(rand.New(rand.NewPCG(49, 1)), 1, manyRoutes),
	}}
	var p packer
	for range 2 {
		parcel, err := p.pack(peers.blocks, packedKey{}, rows, "host-2")
		if err != nil || parcel.Block == nil {
			t.Fatalf("got block %v and error %v", parcel.Block, err)
		}
		if _, err := peers.blocks.shelf.Find(parcel.Block.ID); err != nil {
			t.Errorf("the answer names a block that is gone: %v", err)
		}
		for i := range others {
			peers.blocks.shelf.Put([]byte(fmt.Sprint("other ", i)))
		}
	}
}
