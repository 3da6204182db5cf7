package stand

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// port keeps the port of an endpoint that is down: connections are refused, and nobody else is given it meanwhile.
type port struct {
	fd int
}

// holdPort binds the address, an IPv4 number and a port, without listening to it.
func holdPort(addr string) (*port, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", addr, err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("make socket: %w", err)
	}
	p := &port{
		fd: fd,
	}
	// Connections that have just ended may still name the port.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		p.release()
		return nil, fmt.Errorf("set reuse of the address: %w", err)
	}
	sa := &unix.SockaddrInet4{
		Port: tcp.Port,
	}
	copy(sa.Addr[:], tcp.IP.To4())
	if err := unix.Bind(fd, sa); err != nil {
		p.release()
		return nil, fmt.Errorf("bind %s: %w", addr, err)
	}
	return p, nil
}

func (p *port) release() {
	// Nothing was sent over the socket that could be lost.
	_ = unix.Close(p.fd)
}
