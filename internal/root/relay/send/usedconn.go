package send

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/cornelwing/cornelwing/internal/intact"
)

// usedConn is the connection of a request, once there is one.
type usedConn struct {
	conn atomic.Pointer[net.Conn]
}

func (u *usedConn) set(c net.Conn) {
	u.conn.Store(&c)
}

func (u *usedConn) isSet() bool {
	return u.conn.Load() != nil
}

// lastArrival returns when the last data arrived, or false if that is not known. The kernel knows it, also if this host was frozen or busy and reads it late. For a connection that is no socket, it is the time of the call.
func (u *usedConn) lastArrival() (time.Time, bool) {
	now := time.Now()
	info, err := u.info()
	switch {
	case errors.Is(err, errNoSocket):
		return now, true
	case err != nil:
		return time.Time{}, false
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond), true
}

// isOpen reports whether the peer has not ended the connection yet. It returns false if that is not known.
func (u *usedConn) isOpen() bool {
	info, err := u.info()
	return err == nil && info.State == stateEstablished
}

// stateEstablished is the kernel's number for the state of a connection that neither side has ended.
const stateEstablished = 1

// errNoSocket reports that a connection is no socket of this host.
var errNoSocket = errors.New("connection is no socket")

// info returns what the kernel knows of the connection.
func (u *usedConn) info() (*unix.TCPInfo, error) {
	c := u.conn.Load()
	if c == nil {
		return nil, errNoSocket
	}
	sys, ok := intact.Socket(*c)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access raw socket: %w", err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = infoErr
	}
	if err != nil {
		return nil, fmt.Errorf("read state of socket: %w", err)
	}
	return info, nil
}
