package serv

import (
	"net"
	"testing"
)

// Guards against requests that reach a server of another test process, whose servers have the same IDs.
func TestAddressOfClosedServerIsNotUsedAgain(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		s := &Server{
			ID: "s",
		}
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		if seen[s.Addr()] {
			t.Fatalf("address %s is used again", s.Addr())
		}
		seen[s.Addr()] = true
		if host, _, err := net.SplitHostPort(s.Addr()); err != nil || host == "127.0.0.1" {
			t.Fatalf("address %s may be assigned to another process", s.Addr())
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
