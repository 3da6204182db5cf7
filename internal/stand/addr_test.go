package stand

import (
	"net"
	"testing"
)

func TestFreeAddrReturnsUniqueAddressesOfThisProcess(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("FreeAddr returned %s twice", addr)
		}
		seen[addr] = true
		tcp, err := net.ResolveTCPAddr("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		if !tcp.IP.IsLoopback() || tcp.IP.Equal(net.IPv4(127, 0, 0, 1)) || tcp.Port >= endPort {
			t.Errorf("%s may be assigned to another process", addr)
		}
	}
}
