package vital_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/root/relay/vital"
)

// hostAddr is the environment variable with the address of the server to which a process of this test sends a request.
const hostAddr = "VITAL_TEST_ADDR"

// TestMain is also the program of a host that sends one request and prints what it does.
func TestMain(m *testing.M) {
	addr := os.Getenv(hostAddr)
	if addr == "" {
		os.Exit(m.Run())
	}
	var d net.Dialer
	w := vital.New(common.NewQuietDeps("h", "d"), d.DialContext)
	c := send.New(d.DialContext, send.WithEndWatch(func(addr string, isOpen func() bool, check send.SenderCheck) send.EndWatch {
		return w.Watch(addr, isOpen, vital.WithSenderCheck(check))
	}))
	resp, ok := c.Do(context.Background(), send.Request{
		Addr:   addr,
		Method: http.MethodGet,
		Host:   "h",
		Target: "/x",
		Header: http.Header{},
		Sent:   func() { fmt.Println("sent") },
		CheckSender: func(ctx context.Context, conn net.Conn) error {
			return checkSender(ctx, d, addr, conn)
		},
	}).(send.Response)
	if !ok {
		os.Exit(1)
	}
	reader := &endReader{
		body: resp.Body,
	}
	b, err := io.ReadAll(reader)
	fmt.Printf("%d bytes: %v\n", len(b), err)
}

// checkSender asks a process, which states no start, over the connection or over a new one.
func checkSender(ctx context.Context, d net.Dialer, addr string, conn net.Conn) error {
	if conn == nil {
		var err error
		if conn, err = d.DialContext(ctx, "tcp", addr); err != nil {
			return err
		}
		defer conn.Close()
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, question); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, make([]byte, len(answer))); err != nil {
		return err
	}
	return send.ErrSenderUnstated
}

const (
	// question is what a process is asked, and answer what one says that lives.
	question = "?"
	answer   = "!"
)

// endReader announces each read of a body.
type endReader struct {
	body io.Reader
}

// Read reads from the body.
func (r *endReader) Read(p []byte) (int, error) {
	fmt.Println("reading")
	return r.body.Read(p)
}

// hostProcess is a process that sends one request.
type hostProcess struct {
	t   *testing.T
	cmd *exec.Cmd
	out *bufio.Reader
}

func startHost(t *testing.T, addr string) *hostProcess {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), hostAddr+"="+addr)
	out, err := cmd.StdoutPipe()
	So(err, ShouldBeNil)
	So(cmd.Start(), ShouldBeNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return &hostProcess{
		t:   t,
		cmd: cmd,
		out: bufio.NewReader(out),
	}
}

// waitFor waits until the process prints a line that contains the text, and returns the line.
func (h *hostProcess) waitFor(text string) string {
	h.t.Helper()
	for {
		line, err := h.out.ReadString('\n')
		So(err, ShouldBeNil)
		if strings.Contains(line, text) {
			return strings.TrimSpace(line)
		}
	}
}

// freeze lets the process stand still for the time while f runs.
func (h *hostProcess) freeze(d time.Duration, f func()) {
	began := time.Now()
	So(h.cmd.Process.Signal(syscall.SIGSTOP), ShouldBeNil)
	f()
	time.Sleep(d - time.Since(began))
	So(h.cmd.Process.Signal(syscall.SIGCONT), ShouldBeNil)
}

// partServer is a process that sends a part of an unframed response and dies.
type partServer struct {
	ln net.Listener
	// request is the connection of the request, and others are those on which nothing is sent.
	request net.Conn
	others  chan net.Conn
	// dead reports that the process answers nothing.
	dead atomic.Bool
}

const partOfResponse = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n"

func listenPartServer(t *testing.T, addr string) *partServer {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	So(err, ShouldBeNil)
	s := &partServer{
		ln:     ln,
		others: make(chan net.Conn, 100),
	}
	t.Cleanup(s.close)
	return s
}

// accept takes the request and then holds all further connections.
func (s *partServer) accept() {
	c, err := s.ln.Accept()
	So(err, ShouldBeNil)
	_, err = http.ReadRequest(bufio.NewReader(c))
	So(err, ShouldBeNil)
	s.request = c
	go func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.others <- c
			go s.answerQuestions(c)
		}
	}()
}

// answerQuestions answers on a connection until it ends.
func (s *partServer) answerQuestions(c net.Conn) {
	for {
		if _, err := io.ReadFull(c, make([]byte, len(question))); err != nil || s.dead.Load() {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (s *partServer) sendPart() {
	_, err := io.WriteString(s.request, partOfResponse)
	So(err, ShouldBeNil)
}

// closeOthers closes all connections but that of the request.
func (s *partServer) closeOthers() {
	for {
		select {
		case c := <-s.others:
			_ = c.Close()
		default:
			return
		}
	}
}

// close ends the process.
func (s *partServer) close() {
	s.dead.Store(true)
	_ = s.ln.Close()
	if s.request != nil {
		_ = s.request.Close()
	}
	s.closeOthers()
}

// Guards against a process that dies and starts again while the host stands still, before it has read the head of the response (rule ORDER).
func TestHostFrozenFromBeforeTheHeadConfirmsNothing(t *testing.T) {
	Convey("Given a host that stands still while its server sends a part of a response, dies and starts again", t, func() {
		s := listenPartServer(t, "127.0.0.1:0")
		addr := s.ln.Addr().String()
		host := startHost(t, addr)
		s.accept()
		host.waitFor("sent")
		host.freeze(time.Second, func() {
			s.sendPart()
			s.close()
			time.Sleep(500 * time.Millisecond)
			// The kernel accepts connections for the next process.
			listenPartServer(t, addr)
		})
		Convey("the part does not pass for the whole", func() {
			So(host.waitFor("bytes"), ShouldContainSubstring, send.ErrUnconfirmedEnd.Error())
		})
	})
}

// Guards against a host that stands still for a moment as it has read the end, while its server's kernel closes the other connections (rule ORDER).
func TestHostFrozenAfterTheEndConfirmsNothing(t *testing.T) {
	for _, frozen := range []time.Duration{0, 60 * time.Millisecond, 90 * time.Millisecond, 130 * time.Millisecond, 300 * time.Millisecond} {
		for range 3 {
			Convey(fmt.Sprintf("Given a server whose other connections end 10 ms after its response, and a host that stands still for %s", frozen), t, func() {
				s := listenPartServer(t, "127.0.0.1:0")
				host := startHost(t, s.ln.Addr().String())
				s.accept()
				s.sendPart()
				host.waitFor("reading")
				time.Sleep(100 * time.Millisecond)
				s.dead.Store(true)
				So(s.request.Close(), ShouldBeNil)
				time.Sleep(2 * time.Millisecond)
				host.freeze(frozen, func() {
					time.Sleep(8 * time.Millisecond)
					s.closeOthers()
					So(s.ln.Close(), ShouldBeNil)
				})
				Convey("the part does not pass for the whole", func() {
					So(host.waitFor("bytes"), ShouldContainSubstring, send.ErrUnconfirmedEnd.Error())
				})
			})
		}
	}
}

// Guards against whole responses that are thrown away because the host stood still.
func TestHostFrozenWithinWholeResponseConfirmsIt(t *testing.T) {
	Convey("Given a host that stands still while its server ends its response and lives on", t, func() {
		s := listenPartServer(t, "127.0.0.1:0")
		host := startHost(t, s.ln.Addr().String())
		s.accept()
		s.sendPart()
		host.waitFor("reading")
		time.Sleep(100 * time.Millisecond)
		host.freeze(time.Second, func() { So(s.request.Close(), ShouldBeNil) })
		Convey("the response is whole", func() {
			So(host.waitFor("bytes"), ShouldEndWith, "<nil>")
		})
	})
}

// Guards against a process that dies and is replaced at once while the host stands still for a moment, before it has read the head of the response (rule ORDER).
func TestHostFrozenBrieflyBeforeTheHeadConfirmsNothing(t *testing.T) {
	for _, frozen := range []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 190 * time.Millisecond} {
		for range 2 {
			Convey(fmt.Sprintf("Given a host that stands still for %s while its server sends a part of a response, dies and is replaced", frozen), t, func() {
				s := listenPartServer(t, "127.0.0.1:0")
				addr := s.ln.Addr().String()
				host := startHost(t, addr)
				s.accept()
				host.waitFor("sent")
				host.freeze(frozen, func() {
					s.sendPart()
					s.close()
					time.Sleep(4 * time.Millisecond)
					// The kernel accepts connections for the next process.
					listenPartServer(t, addr)
				})
				Convey("the part does not pass for the whole", func() {
					So(host.waitFor("bytes"), ShouldContainSubstring, send.ErrUnconfirmedEnd.Error())
				})
			})
		}
	}
}
