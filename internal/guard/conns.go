package guard

import "sync"

// Conn is a connection that can be closed for the sake of another.
type Conn interface {
	// Holder returns the progress of the connection.
	Holder() Holder
	// Evict closes the connection. It must not block.
	Evict()
}

// ConnStats counts what Conns has done.
type ConnStats struct {
	Open int `json:"open"`
	// Refused counts the connections that were closed at once, and Evicted those that gave way to another.
	Refused int64 `json:"refused"`
	Evicted int64 `json:"evicted"`
}

// TurnedAway returns how many connections were closed for the bound.
func (s ConnStats) TurnedAway() int64 {
	return s.Refused + s.Evicted
}

// Conns bounds the connections of a listener. It is safe for concurrent use.
type Conns struct {
	limit int

	mu    sync.Mutex
	open  map[Conn]struct{}
	stats ConnStats
}

// NewConns returns a bound of limit connections.
func NewConns(limit int) *Conns {
	return &Conns{
		limit: limit,
		open:  map[Conn]struct{}{},
	}
}

// Admit reports whether the new connection may stay open. Another may be closed for it.
func (c *Conns) Admit(conn Conn) bool {
	admitted, evicted := c.admit(conn)
	if evicted != nil {
		evicted.Evict()
	}
	return admitted
}

func (c *Conns) admit(conn Conn) (admitted bool, evicted Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.limit {
		conns, holders := c.holders()
		switch a := DecideConn(c.limit, holders).(type) {
		case Refuse:
			c.stats.Refused++
			return false, nil
		case Evict:
			evicted = conns[a.Holders[0]]
			delete(c.open, evicted)
			c.stats.Evicted++
		}
	}
	c.open[conn] = struct{}{}
	return true, evicted
}

// holders returns the open connections with their progress. The caller holds the lock.
func (c *Conns) holders() ([]Conn, []Holder) {
	conns := make([]Conn, 0, len(c.open))
	holders := make([]Holder, 0, len(c.open))
	for o := range c.open {
		conns = append(conns, o)
		holders = append(holders, o.Holder())
	}
	return conns, holders
}

// Remove records that the connection is closed.
func (c *Conns) Remove(conn Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// Stats returns what the bound has done so far.
func (c *Conns) Stats() ConnStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Open = len(c.open)
	return s
}
