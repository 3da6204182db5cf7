package stand

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	// firstPort and lastPort are below the ports that the system hands out by itself.
	firstPort = 20000
	lastPort  = 32000
)

// addrs hands out the addresses of this process.
var addrs = struct {
	mu   sync.Mutex
	next int
}{
	next: firstPort,
}

// FreeAddr returns a loopback address for a server that has to know it before it listens; nothing else is given it meanwhile, in this process or in another.
func FreeAddr() (string, error) {
	addrs.mu.Lock()
	defer addrs.mu.Unlock()
	for ; addrs.next < lastPort; addrs.next++ {
		addr := net.JoinHostPort(ownNumber(), strconv.Itoa(addrs.next))
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		addrs.next++
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("close %s: %w", addr, err)
		}
		return addr, nil
	}
	return "", fmt.Errorf("no port from %d to %d is free", firstPort, lastPort)
}

// ownNumber is a number of the loopback network that depends on the process, whose id has at most 22 bits.
func ownNumber() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
