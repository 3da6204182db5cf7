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
	out := f.enginesUp()
	for _, s := range out {
		f.superseded[s] = true
	}
	return out
}

// enginesUp returns the engines that are up and not leaving. The caller holds the lock.
func (f *fleet) enginesUp() []*server {
	var out []*server
	for _, s := range f.all {
		if s.Service == "engine" && f.states[s] == "ready" {
			out = append(out, s)
		}
	}
	return out
}

// releaseInPlace begins a new software version, and starts each engine that is up again with it, with the gap between two. Each writes its row only after the delay.
func (f *fleet) releaseInPlace(gap, rowDelay time.Duration) {
	f.mu.Lock()
	f.releases++
	engines := f.enginesUp()
	f.mu.Unlock()
	var restarts sync.WaitGroup
	for _, s := range engines {
		restarts.Go(func() { f.restartInPlace(s, rowDelay) })
		time.Sleep(gap)
	}
	restarts.Wait()
}

// restartInPlace kills an engine that is up, and starts one of the current software version under its ID and address, which writes its row after the delay.
func (f *fleet) restartInPlace(old *server, rowDelay time.Duration) {
	if !f.takeDown(old) {
		return
	}
	// The engine is killed, so an error does not matter.
	_ = old.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	s := &server{
		ID:       old.ID,
		Service:  old.Service,
		Zone:     old.Zone,
		Unframed: old.Unframed,
		At:       old.Addr(),
		Restarts: old.Restarts + 1,
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

// takeDown records that a server is about to be started again in its place, and returns false if it is not up.
func (f *fleet) takeDown(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states[s] != "ready" || f.closed {
		return false
	}
	f.restarted[s] = true
	delete(f.states, s)
	return true
}

// register writes the row of a server that is up.
func (f *fleet) register(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, ok := f.states[s]; ok {
		f.store.Put("servers", s.ID, s.RegistrationJSON(state))
	}
}
