package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fillTimeout is how long one connection to a stalled port may take. The queue of the port is full after the first ones.
const fillTimeout = 50 * time.Millisecond

// maxFillers bounds how many connections fill the queue of a stalled port.
const maxFillers = 4

// errNotStalled reports that a port accepts connections although its queue should be full.
var errNotStalled = errors.New("port still accepts connections")

// port is a loopback port that stays reserved while nothing listens on it.
type port struct {
	addr string
	// reserved is a socket that is bound to the port and never listens.
	reserved int
}

// reservePort reserves a free port.
func reservePort() (*port, error) {
	fd, err := boundSocket(0)
	if err != nil {
		return nil, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.Join(os.NewSyscallError("getsockname", err), unix.Close(fd))
	}
	number := name.(*unix.SockaddrInet4).Port
	return &port{
		addr:     fmt.Sprintf("127.0.0.1:%d", number),
		reserved: fd,
	}, nil
}

// boundSocket returns a socket that shares its port with others of this process.
func boundSocket(number int) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return 0, errors.Join(os.NewSyscallError("setsockopt", err), unix.Close(fd))
	}
	addr := &unix.SockaddrInet4{
		Port: number,
		Addr: [4]byte{127, 0, 0, 1},
	}
	if err := unix.Bind(fd, addr); err != nil {
		return 0, errors.Join(os.NewSyscallError("bind", err), unix.Close(fd))
	}
	return fd, nil
}

// Close gives the port up.
func (p *port) Close() error {
	return os.NewSyscallError("close", unix.Close(p.reserved))
}

// listen returns a listener on the port.
func (p *port) listen() (net.Listener, error) {
	lc := net.ListenConfig{
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(err, sockErr)
		},
	}
	ln, err := lc.Listen(context.Background(), "tcp4", p.addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", p.addr, err)
	}
	return ln, nil
}

// stalledPort is a port whose queue of connections is full, so that the kernel ignores further attempts to connect.
type stalledPort struct {
	fd      int
	fillers []net.Conn
}

// stall makes the kernel ignore attempts to connect to the port until the returned value is closed.
func (p *port) stall() (io.Closer, error) {
	_, number, err := net.SplitHostPort(p.addr)
	if err != nil {
		return nil, fmt.Errorf("split address: %w", err)
	}
	portNumber, err := net.LookupPort("tcp4", number)
	if err != nil {
		return nil, fmt.Errorf("parse port: %w", err)
	}
	fd, err := boundSocket(portNumber)
	if err != nil {
		return nil, err
	}
	s := &stalledPort{
		fd: fd,
	}
	if err := unix.Listen(fd, 0); err != nil {
		return nil, errors.Join(os.NewSyscallError("listen", err), s.Close())
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp4", p.addr, fillTimeout)
		if err != nil {
			return s, nil
		}
		s.fillers = append(s.fillers, c)
	}
	return nil, errors.Join(errNotStalled, s.Close())
}

// Close makes the port free again.
func (s *stalledPort) Close() error {
	for _, c := range s.fillers {
		_ = c.Close()
	}
	return os.NewSyscallError("close", unix.Close(s.fd))
}
