package alive

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const testSilence = 900 * time.Millisecond

// readUntilLost reads from the connection until it is lost, and returns how many bytes arrived and after which time it was lost.
func readUntilLost(c net.Conn) (bytes int, took time.Duration, err error) {
	began := time.Now()
	buf := make([]byte, 64)
	for {
		n, err := c.Read(buf)
		bytes += n
		if err != nil {
			return bytes, time.Since(began), err
		}
	}
}

// Guards against a sound host that counts as lost since its answers to pings wait behind other bytes (CONFIG, issue 49), and against one that is lost and found late.
func TestConnectionIsLostOnlyAfterSilence(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		parts int
		want  time.Duration
	}{
		{name: "nothing arrives", want: testSilence},
		{name: "bytes arrive all the while", pause: 100 * time.Millisecond, parts: 50, want: 5*time.Second + testSilence},
		{name: "bytes arrive seldom", pause: testSilence - time.Millisecond, parts: 10, want: 10*(testSilence-time.Millisecond) + testSilence},
	}
	for _, sc := range cases {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				here, there := net.Pipe()
				defer here.Close()
				go func() {
					for range sc.parts {
						time.Sleep(sc.pause)
						_, _ = there.Write([]byte{1})
					}
				}()
				bytes, took, err := readUntilLost(New(here, testSilence))
				if bytes != sc.parts || took != sc.want || !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("lost after %d bytes and %v with error %v, want %d and %v", bytes, took, err, sc.parts, sc.want)
				}
			})
		})
	}
}

// expiredConn is a connection on which the first read fails, as its deadline has passed while the process was suspended.
type expiredConn struct {
	net.Conn
	reads int
}

func (c *expiredConn) SetReadDeadline(time.Time) error { return nil }

func (c *expiredConn) Read(b []byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(b, "x"), nil
}

// Guards against a host that takes all others for lost when it wakes.
func TestBytesThatArrivedDuringASuspensionAreRead(t *testing.T) {
	n, err := New(&expiredConn{}, testSilence).Read(make([]byte, 1))
	if n != 1 || err != nil {
		t.Errorf("read %d bytes with error %v, want 1", n, err)
	}
}
