package stand

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// portReservation reserves the port of an endpoint that is down. Connections to it are refused, and no other listener can bind it.
type portReservation struct {
	fd int
}

// reservePort binds addr, an IPv4 address with a port, without listening on it.
func reservePort(addr string) (*portReservation, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", addr, err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("make socket: %w", err)
	}
	p := &portReservation{
		fd: fd,
	}
	// Recently closed connections may still use the port.
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

func (p *portReservation) release() {
	// The error is ignored: no data was sent over the socket, so none can be lost.
	_ = unix.Close(p.fd)
}
