package soak

import (
	"fmt"
	"sync"
	"time"
)

// version returns the software version of engines that start. The caller holds the lock.
func (f *fleet) version() string {
	return fmt.Sprintf("v%d", f.releases+1)
}

// release starts an engine of a new software version for each one that is up, with the gap between two, and lets the old ones leave. It returns once the old ones have ended.
func (f *fleet) release(gap time.Duration) {
	var leaving sync.WaitGroup
	for _, old := range f.supersede() {
		// Without a free port there is one engine less, which the checks of the end notice.
		_ = f.add(old.Service)
		leaving.Go(func() { f.leave(old) })
		time.Sleep(gap)
	}
	leaving.Wait()
}

// supersede begins a new software version, and returns the engines that are up, for which the release starts others.
func (f *fleet) supersede() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	var out []*server
	for _, s := range f.all {
		if s.Service == "engine" && f.states[s] == "ready" {
			f.superseded[s] = true
			out = append(out, s)
		}
	}
	return out
}

// releaseInPlace replaces the engines that are up, with the gap between two, by ones of a new software version under the same IDs and addresses. Each writes its row only after the delay.
func (f *fleet) releaseInPlace(gap, rowDelay time.Duration) {
	var rows sync.WaitGroup
	for _, old := range f.beginRelease() {
		rows.Go(func() { f.rebirth(old, rowDelay) })
		time.Sleep(gap)
	}
	rows.Wait()
}

// beginRelease begins a new software version, and returns the engines that are up.
func (f *fleet) beginRelease() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	var out []*server
	for _, s := range f.all {
		if s.Service == "engine" && f.states[s] == "ready" {
			out = append(out, s)
		}
	}
	return out
}

// rebirth kills an engine and starts one of the current software version under its ID and address, which writes its row after the delay.
func (f *fleet) rebirth(old *server, rowDelay time.Duration) {
	e, ok := old.backend.(*engineProcess)
	if !ok {
		panic(fmt.Sprintf("server %s has no process", old.ID))
	}
	f.mu.Lock()
	if f.states[old] != "ready" || f.closed {
		f.mu.Unlock()
		return
	}
	f.reborn[old] = true
	delete(f.states, old)
	f.mu.Unlock()
	// The engine is killed.
	_ = old.Close()
	s := &server{
		ID:       old.ID,
		Service:  old.Service,
		Zone:     old.Zone,
		Unframed: old.Unframed,
		Addr:     e.addr,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	if err := f.startBackend(s); err != nil {
		// There is one engine less, which the checks of the end notice.
		f.store.Remove("servers", s.ID)
		return
	}
	f.all = append(f.all, s)
	f.states[s] = "ready"
	time.AfterFunc(rowDelay, func() { f.register(s) })
	go f.replace(s)
}

// register writes the row of a server that is up.
func (f *fleet) register(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, ok := f.states[s]; ok {
		f.store.Put("servers", s.ID, s.RegistrationJSON(state))
	}
}
