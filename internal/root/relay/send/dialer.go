package send

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may remain unacknowledged before the connection is closed. It also ends the keep-alive probes, whatever their number, so that it has to leave time for three of them.
	userTimeout = 3500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes configure TCP keep-alive, which detects an unresponsive peer on an idle connection. The kernel takes whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Dialer returns a dialer whose connections fail soon after the peer stops responding.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}
