package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopGrace is the time from SIGTERM until SIGKILL.
const stopGrace = 3 * time.Second

// process is an entry host that can be started again after it has ended.
type process struct {
	binary   string
	settings string
	logPath  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// starts counts the starts.
	starts int
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of host: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "-settings", p.settings)
	// The race detector would otherwise sleep for a second before each exit.
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The exit status is in cmd.ProcessState.
		_ = cmd.Wait()
	}()
	p.cmd = cmd
	p.done = done
	p.starts++
	return nil
}

// signal sends a signal to the process. It does nothing if the process has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		// The process may end at any moment.
		_ = p.cmd.Process.Signal(s)
	}
}

// hangUp sends SIGHUP to the process, unless it has just been started and would still be ended by it.
func (p *process) hangUp() {
	if p.catches(syscall.SIGHUP) {
		p.signal(syscall.SIGHUP)
	}
}

// catches reports whether the process has a handler for the signal.
func (p *process) catches(s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(status), "SigCgt:")
	line, _, _ := strings.Cut(rest, "\n")
	mask, err := strconv.ParseUint(strings.TrimSpace(line), 16, 64)
	return err == nil && mask&(1<<(s-1)) != 0
}

// pid returns the ID of the process of the latest start, or 0 before the first one.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// ended returns a channel that is closed when the process of the latest start has ended.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// terminate sends SIGTERM, and SIGKILL after stopGrace. It returns once the process has ended, and reports whether SIGTERM was enough.
func (p *process) terminate() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended():
		return true
	case <-time.After(stopGrace):
		p.kill()
		return false
	}
}

// kill ends the process at once, also while it is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended()
}

// exitCode returns the exit code of the latest start, or -1 if a signal ended it.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}
