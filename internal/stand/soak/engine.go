package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

// EngineEnv is the environment variable that makes a program an engine. Its value is the argument of ServeEngine.
const EngineEnv = "SOAK_ENGINE"

// engineConfig describes an engine that runs in a process of its own.
type engineConfig struct {
	ID       string
	Zone     string
	Version  string
	Unframed bool
	// Addr is the address that the engine listens on, or empty for a free one.
	Addr string
}

// engineState is what faults set at an engine. The soak sends it as a line of JSON whenever it changes.
type engineState struct {
	Behavior serv.Behavior
	Pause    string
	Limit    string
	Leaving  bool
}

// engineReport is one line of JSON that an engine sends. Each line holds one of the fields.
type engineReport struct {
	// Registrations holds the engine's row in the store by state, and Addr its address. They are the first line, and say that the engine serves.
	Registrations map[string]json.RawMessage `json:",omitempty"`
	Addr          string                     `json:",omitempty"`
	Arrival       *serv.Arrival              `json:",omitempty"`
	// Run is the ID of a request that begins to run.
	Run string `json:",omitempty"`
}

// reporter writes the reports of an engine, each with one call, so that no report before the end of the process is lost.
type reporter struct {
	mu  sync.Mutex
	out *json.Encoder
}

// report writes one report. An engine that nobody listens to ends.
func (r *reporter) report(e engineReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Encode(e); err != nil {
		killSelf()
	}
}

// killSelf ends this process as SIGKILL from outside does.
func killSelf() {
	// A process may always send a signal to itself.
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// ServeEngine serves as the engine that config describes, follows the states that it reads, and writes its reports. It returns once the states end.
func ServeEngine(config string, states io.Reader, reports io.Writer) error {
	var c engineConfig
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		return fmt.Errorf("decode engine config: %w", err)
	}
	r := &reporter{
		out: json.NewEncoder(reports),
	}
	s := newEngine(c, r)
	if err := s.Start(); err != nil {
		return fmt.Errorf("start engine: %w", err)
	}
	r.report(engineReport{
		Registrations: map[string]json.RawMessage{
			"ready":    s.RegistrationJSON("ready"),
			"draining": s.RegistrationJSON("draining"),
		},
		Addr: s.Addr(),
	})
	follow(s, json.NewDecoder(states))
	return nil
}

// newEngine returns an engine that reports what reaches it.
func newEngine(c engineConfig, r *reporter) *serv.Server {
	s := &serv.Server{
		ID:          c.ID,
		Service:     "engine",
		Zone:        c.Zone,
		Version:     c.Version,
		ListenAddr:  c.Addr,
		StartedAtMS: time.Now().UnixMilli(),
		Events:      streamEvents,
		EventDelay:  eventDelay,
		EventSuffix: eventSuffix(c.Version),
		Unframed:    c.Unframed,
		OnArrival:   func(a serv.Arrival) { r.report(engineReport{Arrival: &a}) },
		OnRun:       func(run serv.Run) { r.report(engineReport{Run: run.ID}) },
		End:         killSelf,
	}
	s.CrashOnPart(crashingPart)
	return s
}

// follow puts each state into force until the states end, as the soak then has ended.
func follow(s *serv.Server, states *json.Decoder) {
	for {
		var st engineState
		if err := states.Decode(&st); err != nil {
			return
		}
		s.SetDefaultBehavior(st.Behavior)
		s.SetPause(st.Pause)
		s.SetLimit(st.Limit)
		s.SetLeaving(st.Leaving)
	}
}
