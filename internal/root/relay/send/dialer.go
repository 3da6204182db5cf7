package send

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay without an acknowledgement.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a silent peer of an idle connection.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

// Dialer returns a dialer whose connections break soon after their peer has fallen silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
		Control: control,
	}
}

func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}
