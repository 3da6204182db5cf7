package stand

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	// The ports from firstPort up to, but not including, endPort are below the range from which the kernel assigns ephemeral ports.
	firstPort = 20000
	endPort   = 32000
)

// portAllocator holds the next port that this process has not tried yet.
var portAllocator = struct {
	mu   sync.Mutex
	next int
}{
	next: firstPort,
}

// FreeAddr returns a free loopback address for a server that must know its address before it listens. The address is not assigned to anything else in the meantime, neither in this process nor in another one.
func FreeAddr() (string, error) {
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for ; portAllocator.next < endPort; portAllocator.next++ {
		addr := net.JoinHostPort(processIP(), strconv.Itoa(portAllocator.next))
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		portAllocator.next++
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("close %s: %w", addr, err)
		}
		return addr, nil
	}
	return "", fmt.Errorf("no port from %d to %d is free", firstPort, endPort)
}

// processIP returns a loopback IP address that is unique to this process. It contains the process ID, which has at most 22 bits.
func processIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
