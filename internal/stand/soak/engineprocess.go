package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

// errNoEngine is the error of an engine that ended before it served.
var errNoEngine = errors.New("engine ended before it served")

// engineProcess is an engine in a process of its own. What it has reported outlives it.
type engineProcess struct {
	cmd           *exec.Cmd
	registrations map[string]json.RawMessage
	addr          string
	// done is closed once the process has ended and all of its reports are read.
	done chan struct{}

	mu       sync.Mutex
	state    engineState
	states   *json.Encoder
	arrivals []serv.Arrival
	runs     []serv.Run
}

// startEngine starts the program as an engine, which logs to a file, and waits until it serves.
func startEngine(binary, logPath string, c engineConfig) (*engineProcess, error) {
	config, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode engine config: %w", err)
	}
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log of engine: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), EngineEnv+"="+string(config), "GORACE=atexit_sleep_ms=0")
	cmd.Stderr = log
	states, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("open input of engine: %w", err)
	}
	reports, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("open output of engine: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start engine: %w", err)
	}
	e := &engineProcess{
		cmd:    cmd,
		done:   make(chan struct{}),
		states: json.NewEncoder(states),
	}
	return e, e.await(reports)
}

// await waits until the engine serves, and keeps reading its reports.
func (e *engineProcess) await(reports io.Reader) error {
	in := json.NewDecoder(reports)
	var first engineReport
	err := in.Decode(&first)
	e.registrations = first.Registrations
	e.addr = first.Addr
	go e.read(in)
	if err != nil {
		<-e.done
		return fmt.Errorf("%w: %w", errNoEngine, err)
	}
	return nil
}

// read records the reports until the process has ended.
func (e *engineProcess) read(in *json.Decoder) {
	defer close(e.done)
	for {
		var r engineReport
		if in.Decode(&r) != nil {
			break
		}
		e.mu.Lock()
		if r.Arrival != nil {
			e.arrivals = append(e.arrivals, *r.Arrival)
		}
		if r.Run != "" {
			e.runs = append(e.runs, serv.Run{
				ID: r.Run,
			})
		}
		e.mu.Unlock()
	}
	// A signal ends most engines, so an error is normal.
	_ = e.cmd.Wait()
}

// Addr returns the address that the engine listens on.
func (e *engineProcess) Addr() string {
	return e.addr
}

// RegistrationJSON returns the row by which the engine registers itself with the state.
func (e *engineProcess) RegistrationJSON(state string) []byte {
	return e.registrations[state]
}

// SetDefaultBehavior sets the behavior for all requests.
func (e *engineProcess) SetDefaultBehavior(b serv.Behavior) {
	e.change(func(s *engineState) { s.Behavior = b })
}

// SetPause sets the Retry-After text with which the engine turns away all requests. An empty text ends that.
func (e *engineProcess) SetPause(retryAfter string) {
	e.change(func(s *engineState) { s.Pause = retryAfter })
}

// SetLimit sets the value of the header Server-Limit in all responses. Empty means none.
func (e *engineProcess) SetLimit(perSecond string) {
	e.change(func(s *engineState) { s.Limit = perSecond })
}

// SetLeaving sets whether the engine states in all its responses that it is leaving.
func (e *engineProcess) SetLeaving(leaving bool) {
	e.change(func(s *engineState) { s.Leaving = leaving })
}

// change changes the state and sends it to the engine.
func (e *engineProcess) change(f func(*engineState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.state)
	// An engine that has ended needs no state.
	_ = e.states.Encode(e.state)
}

// ArrivalLog returns the requests that have arrived, oldest first.
func (e *engineProcess) ArrivalLog() []serv.Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// Runs returns the requests that began to run, of which only the IDs are known, oldest first.
func (e *engineProcess) Runs() []serv.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Stopped returns a channel that is closed once the process has ended.
func (e *engineProcess) Stopped() <-chan struct{} {
	return e.done
}

// Close ends the process with SIGKILL, also while it is stopped.
func (e *engineProcess) Close() error {
	e.signal(syscall.SIGKILL)
	<-e.done
	return nil
}

// signal sends a signal to the process unless it has ended.
func (e *engineProcess) signal(s syscall.Signal) {
	// os.Process sends nothing to a process that has ended.
	_ = e.cmd.Process.Signal(s)
}
