package serv

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// fallWindow is the time in which a brittle server counts what it turned away.
	fallWindow = time.Second
	// brittleGrace is how long a server that has become brittle does not fall over yet.
	brittleGrace = 3 * time.Second
	// fallTime is how long a server that fell over is away.
	fallTime = time.Second
)

// SetBrittle sets how many requests a second the server may turn away for want of room from now on without falling over. It states that in all its responses. 0 means any number.
func (s *Server) SetBrittle(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle = perSecond
	s.brittleSince = time.Now()
}

// Falls returns how often the server fell over.
func (s *Server) Falls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falls
}

// TurnedAwayFull returns how many requests the server turned away for want of room.
func (s *Server) TurnedAwayFull() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.full)
}

// enter takes room for a request. It returns false after it has turned the request away. A server that fell over breaks all connections for a while.
func (s *Server) enter(w http.ResponseWriter) bool {
	s.mu.Lock()
	now := time.Now()
	if now.Before(s.downUntil) {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if s.Room == 0 || s.running < s.Room {
		s.running++
		s.mu.Unlock()
		return true
	}
	s.full = append(s.full, now)
	s.fallIfBrittle(now)
	s.mu.Unlock()
	s.stateLoad(w)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// fallIfBrittle lets a brittle server fall over that has turned away too many requests. The caller holds the lock.
func (s *Server) fallIfBrittle(now time.Time) {
	recent := 0
	for _, at := range s.full {
		if now.Sub(at) < fallWindow {
			recent++
		}
	}
	if s.brittle > 0 && now.Sub(s.brittleSince) > brittleGrace && recent > s.brittle {
		s.falls++
		s.full = nil
		s.downUntil = now.Add(fallTime)
	}
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// stateLoad adds the load to a response of a server that has bounded room, and a small one to that of others.
func (s *Server) stateLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := "1,0,8"
	if s.Room > 0 {
		load = fmt.Sprintf("%d,0,%d", s.running, s.Room)
	}
	w.Header().Set("Server-Load", load)
}
