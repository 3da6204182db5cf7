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
