package soak

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/rows"
	"github.com/cornelwing/cornelwing/internal/stand/serv"
)

const (
	// crashingPart is the part of a prompt that crashes each engine.
	crashingPart = "bad00bad"
	// restartTime is the time after which a crashed server is replaced, and leaveTime that for which a leaving one goes on serving.
	restartTime = time.Second
	leaveTime   = 2500 * time.Millisecond
	// streamEvents is the number of events in a stream, and eventDelay the pause before each. The ends of processes must fall between two events.
	streamEvents = 6
	eventDelay   = 40 * time.Millisecond
)

// enginesPerUnframed is among how many engines one sends unframed responses.
const enginesPerUnframed = 2

// sizes holds the number of servers of each service.
var sizes = map[string]int{
	"plain":  4,
	"engine": 6,
	"worker": 3,
}

// backend is what faults and checks need of a server, which runs in this process or in one of its own.
type backend interface {
	RegistrationJSON(state string) []byte
	SetDefaultBehavior(b serv.Behavior)
	SetPause(retryAfter string)
	SetLimit(perSecond string)
	SetLeaving(leaving bool)
	ArrivalLog() []serv.Arrival
	Runs() []serv.Run
	Stopped() <-chan struct{}
	Close() error
	Addr() string
}

// server is one server of the fleet.
type server struct {
	backend
	ID      string
	Service string
	Zone    string
	// Unframed reports that responses have neither a length nor chunks.
	Unframed bool
	// At is the address at which the server starts, or empty for a free one.
	At string
	// Restarts counts the servers that had the ID and the address before this one.
	Restarts int
}

// logName returns the name of the server in checks, which no other server has.
func (s *server) logName() string {
	if s.Restarts == 0 {
		return s.ID
	}
	return fmt.Sprintf("%s/%d", s.ID, s.Restarts)
}

// holding is a fault of a kind that holds a server.
type holding struct {
	server *server
	kind   string
}

// fleet runs the servers, and replaces those that end.
type fleet struct {
	store *rows.Store
	// engineBinary is the program of an engine, and dir holds the logs of engines.
	engineBinary string
	dir          string

	mu sync.Mutex
	// all holds every server that was ever started, and states the state that each that is up has written.
	all    []*server
	states map[*server]string
	// held holds the kinds of faults that hold each server.
	held   map[holding]bool
	closed bool
	// releases counts the software versions that were released after the first one. Engines that start have the latest.
	releases int
	// superseded holds the engines for which a release has started another one.
	superseded map[*server]bool
	// restarted holds the engines that are started again under their ID and address.
	restarted map[*server]bool
	// engines counts the engines that were ever started.
	engines int
}

func newFleet(store *rows.Store, engineBinary, dir string) *fleet {
	return &fleet{
		store:        store,
		engineBinary: engineBinary,
		dir:          dir,
		superseded:   map[*server]bool{},
		restarted:    map[*server]bool{},
		states:       map[*server]string{},
		held:         map[holding]bool{},
	}
}

// start starts all services.
func (f *fleet) start() error {
	for service, n := range sizes {
		for range n {
			if err := f.add(service); err != nil {
				return err
			}
		}
	}
	return nil
}

// add starts one more server of a service.
func (f *fleet) add(service string) error {
	_, err := f.addAt(service, "")
	return err
}

// addAt starts one more server of a service at an address, or at a free one if it is empty. It returns nil if the fleet is closed.
func (f *fleet) addAt(service, addr string) (*server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, nil
	}
	s := &server{
		ID:      fmt.Sprintf("%s-%d", service, len(f.all)),
		Service: service,
		At:      addr,
	}
	if len(f.all)%serversPerEvacuable == 0 {
		s.Zone = evacuableZone
	}
	if service == "engine" {
		f.engines++
		s.Unframed = f.engines%enginesPerUnframed == 0
	}
	if err := f.startBackend(s); err != nil {
		return nil, fmt.Errorf("start server %s: %w", s.ID, err)
	}
	f.all = append(f.all, s)
	f.states[s] = "ready"
	f.store.Put("servers", s.ID, s.RegistrationJSON("ready"))
	go f.replace(s)
	return s, nil
}

// startBackend starts the process of an engine, or another server in this process.
func (f *fleet) startBackend(s *server) error {
	if s.Service == "engine" {
		e, err := startEngine(f.engineBinary, filepath.Join(f.dir, s.ID+".log"), engineConfig{
			ID:       s.ID,
			Zone:     s.Zone,
			Version:  f.version(),
			Unframed: s.Unframed,
			Addr:     s.At,
		})
		if err != nil {
			return err
		}
		s.backend = e
		return nil
	}
	local := &serv.Server{
		ID:         s.ID,
		Service:    s.Service,
		Zone:       s.Zone,
		ListenAddr: s.At,
	}
	if err := local.Start(); err != nil {
		return fmt.Errorf("start in this process: %w", err)
	}
	s.backend = local
	return nil
}

// replace waits until the server ends, and starts another one in its place.
func (f *fleet) replace(s *server) {
	<-s.Stopped()
	f.mu.Lock()
	delete(f.states, s)
	closed := f.closed
	superseded := f.superseded[s]
	restarted := f.restarted[s]
	f.mu.Unlock()
	if closed || restarted {
		return
	}
	time.Sleep(restartTime)
	f.store.Remove("servers", s.ID)
	if superseded {
		return
	}
	// Without a free port there is one server less, which the checks of the end notice.
	_ = f.add(s.Service)
}

// leave makes a server state that it is leaving, in its row and in its responses, and ends it after leaveTime.
func (f *fleet) leave(s *server) {
	f.mu.Lock()
	if f.states[s] != "ready" {
		f.mu.Unlock()
		return
	}
	f.states[s] = "draining"
	f.mu.Unlock()
	s.SetLeaving(true)
	f.store.Put("servers", s.ID, s.RegistrationJSON("draining"))
	time.Sleep(leaveTime)
	// The server is replaced either way.
	_ = s.Close()
}

// registerAll writes the rows of all servers that are up again.
func (f *fleet) registerAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, state := range f.states {
		f.store.Put("servers", s.ID, s.RegistrationJSON(state))
	}
}

// hold returns a random server of a service that is up, not leaving and not held by a fault of the kind, or nil. The end of one fault would otherwise end the other.
func (f *fleet) hold(rng *rand.Rand, service, kind string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*server
	for _, s := range f.all {
		held := f.held[holding{server: s, kind: kind}]
		if s.Service == service && f.states[s] == "ready" && !held {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return nil
	}
	s := out[rng.IntN(len(out))]
	f.held[holding{server: s, kind: kind}] = true
	return s
}

// letGo ends the holding of a server by a fault of the kind.
func (f *fleet) letGo(s *server, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, holding{server: s, kind: kind})
}

// logs returns what every server that was ever started has seen.
func (f *fleet) logs() []serverLog {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []serverLog
	for _, s := range f.all {
		l := serverLog{
			ID:       s.logName(),
			Service:  s.Service,
			Zone:     s.Zone,
			Arrivals: s.ArrivalLog(),
		}
		for _, run := range s.Runs() {
			l.Runs = append(l.Runs, run.ID)
		}
		out = append(out, l)
	}
	return out
}

// close ends all servers.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, s := range all {
		// A server that has crashed is closed already.
		_ = s.Close()
	}
}
