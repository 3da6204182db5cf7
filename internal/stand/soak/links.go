package soak

import (
	"sync"

	"github.com/cornelwing/cornelwing/internal/stand/link"
)

// linkedHost is the host that has links to the servers, which a fault can cut. The others reach them directly.
const linkedHost = 0

// links are the paths of one host to the servers. It is safe for concurrent use.
type links struct {
	mu   sync.Mutex
	mode link.Mode
	// byTarget holds the links by the address of their server.
	byTarget map[string]*link.Link
}

func newLinks() *links {
	return &links{
		byTarget: map[string]*link.Link{},
	}
}

// addrOf returns the address of the link to the server at the target address, whose row is being sent: it may be up again.
func (l *links) addrOf(target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.byTarget[target]; ok {
		if err := known.Reopen(); err != nil {
			panic(err)
		}
		return known.Addr()
	}
	added, err := link.New(target)
	if err != nil {
		panic(err)
	}
	added.FollowEnd()
	setLinkMode(added, l.mode)
	l.byTarget[target] = added
	return added.Addr()
}

// setMode sets the mode of all links, also of those that are added later.
func (l *links) setMode(m link.Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for _, each := range l.byTarget {
		setLinkMode(each, m)
	}
}

// setLinkMode sets the mode of one link. A link that can't be set would make the run void.
func setLinkMode(l *link.Link, m link.Mode) {
	if err := l.SetMode(m); err != nil {
		panic(err)
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, each := range l.byTarget {
		// The run has ended, so nothing uses the link any more.
		_ = each.Close()
	}
}
