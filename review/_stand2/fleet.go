package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/rows"
)

// restartTime is how long after a crash a server is back, which is before its entry would be removed.
const restartTime = 2 * time.Second

// seenEvent is an event of a server, as its parent read it.
type seenEvent struct {
	serverEvent
	Server string
	At     time.Time
}

// fleet runs the servers, each in a process of its own, keeps their entries in the store, and starts those again that crash.
type fleet struct {
	record *record
	site   site
	store  *rows.Store

	mu     sync.Mutex
	closed bool
	// readers counts the servers that have not ended.
	readers sync.WaitGroup
	// storeDown reports that the store takes no writes.
	storeDown bool
	// addrs and born hold the addresses and starts of servers, by id.
	addrs map[string]string
	born  map[string]int64
	// cold holds until when each server is cold, by id, as its entry tells it.
	cold   map[string]time.Time
	procs  map[string]*exec.Cmd
	events []seenEvent
}

func newFleet(r *record, s site, store *rows.Store) *fleet {
	return &fleet{
		record: r,
		site:   s,
		store:  store,
		procs:  map[string]*exec.Cmd{},
		cold:   map[string]time.Time{},
		addrs:  map[string]string{},
		born:   map[string]int64{},
	}
}

// add starts a server at a free address and writes its entry.
func (f *fleet) add(o serverOptions) error {
	addr, err := stand.FreeAddr()
	if err != nil {
		return fmt.Errorf("find an address: %w", err)
	}
	o.Addr = addr
	return f.start(o)
}

func (f *fleet) start(o serverOptions) error {
	o.Born = time.Now().UnixMilli()
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	cmd := exec.Command(self, o.args()...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open output of server: %w", err)
	}
	cmd.Stderr = os.Stderr
	k, err := newKeeper()
	if err != nil {
		return fmt.Errorf("make keeper: %w", err)
	}
	defer k.given.Close()
	cmd.ExtraFiles = []*os.File{k.given}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start server: %w", err)
	}
	f.procs[o.ID] = cmd
	f.addrs[o.ID] = o.Addr
	f.born[o.ID] = o.Born
	up := make(chan struct{})
	ended := make(chan struct{})
	f.readers.Go(func() { f.read(o.ID, bufio.NewScanner(out), up, ended, cmd) })
	go f.keepEntry(o, up, ended)
	return nil
}

// read takes over what a server writes, until it ends.
func (f *fleet) read(id string, lines *bufio.Scanner, up, ended chan struct{}, cmd *exec.Cmd) {
	defer close(ended)
	for lines.Scan() {
		var e serverEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		seen := seenEvent{
			serverEvent: e,
			Server:      id,
			At:          time.UnixMicro(e.AtUS),
		}
		if e.What == "started" {
			close(up)
		}
		f.record.noteAt(seen.At, "server %s: %s %s %s", id, e.What, e.ID, e.Detail)
		f.mu.Lock()
		f.events = append(f.events, seen)
		f.mu.Unlock()
	}
	// How the process ended does not matter.
	_ = cmd.Wait()
}

// keepEntry writes the entry of a server at each heartbeat until the server ends. The server is then started again under its id, after restartTime.
func (f *fleet) keepEntry(o serverOptions, up, ended chan struct{}) {
	select {
	case <-up:
	case <-ended:
		return
	}
	ticker := time.NewTicker(f.site.heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		f.write(o, sequence)
		select {
		case <-ticker.C:
			continue
		case <-ended:
		}
		break
	}
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return
	}
	time.Sleep(restartTime)
	if err := f.start(o); err != nil {
		f.record.note("server %s: not started again: %v", o.ID, err)
	}
}

// write writes the entry of a server, unless the store is down.
func (f *fleet) write(o serverOptions, sequence int) {
	f.mu.Lock()
	cold := max(0, time.Until(f.cold[o.ID]))
	down := f.storeDown
	f.mu.Unlock()
	if !down {
		f.store.Put("servers", o.ID, entryOf(o, sequence, cold))
	}
}

// setStoreDown has servers write nothing while the store is down.
func (f *fleet) setStoreDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
}

// makeCold makes a server cold again, which tells that in its entry at once if it can.
func (f *fleet) makeCold(o serverOptions) {
	f.mu.Lock()
	f.cold[o.ID] = time.Now().Add(o.ColdFor)
	cmd := f.procs[o.ID]
	addr := f.addrs[o.ID]
	born := f.born[o.ID]
	f.mu.Unlock()
	// It may have ended by itself.
	_ = cmd.Process.Signal(syscall.SIGUSR1)
	o.Addr, o.Born = addr, born
	f.write(o, coldSequence)
}

// coldSequence is the sequence in the entry of a server that has just become cold again.
const coldSequence = 1000

// entryOf returns the entry of a server.
func entryOf(o serverOptions, sequence int, cold time.Duration) []byte {
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":%d,"sequence":%d,"born":%d}`, o.Service, o.Addr, o.Slots, cold.Milliseconds(), sequence, o.Born))
}

// kill ends a server like a crash. It is started again after restartTime.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	cmd := f.procs[id]
	f.mu.Unlock()
	f.record.note("server %s: killed", id)
	// It may have ended by itself.
	_ = cmd.Process.Kill()
}

// seen returns what the servers did so far.
func (f *fleet) seen() []seenEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seenEvent(nil), f.events...)
}

// close ends all servers, and waits until they have ended.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	for _, cmd := range f.procs {
		// It may have ended by itself.
		_ = cmd.Process.Kill()
	}
	f.mu.Unlock()
	f.readers.Wait()
}
