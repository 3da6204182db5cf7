package stand

import (
	"net"
	"testing"
)

func TestFreeAddrIsGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s is given twice", addr)
		}
		seen[addr] = true
		tcp, err := net.ResolveTCPAddr("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		if !tcp.IP.IsLoopback() || tcp.IP.Equal(net.IPv4(127, 0, 0, 1)) || tcp.Port >= lastPort {
			t.Errorf("%s may be given to somebody else", addr)
		}
	}
}
