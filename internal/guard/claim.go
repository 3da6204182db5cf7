package guard

import "time"

// Claim is what one request holds of a Memory. A nil claim gets all that it asks for.
type Claim struct {
	memory *Memory
	evict  func()

	// The lock of memory guards the fields below.
	held     int64
	arriving bool
	busy     bool
	progress time.Time
	evicted  bool
}

// isLarge reports whether the claim counts as a large request that is still arriving. The caller holds the lock.
func (c *Claim) isLarge() bool {
	return c.arriving && c.held > smallBytes
}

// Grow asks for n more bytes, and reports whether the request may hold them.
func (c *Claim) Grow(n int64) bool {
	if c == nil {
		return true
	}
	granted, evicted := c.grow(n)
	for _, o := range evicted {
		o.evict()
	}
	return granted
}

func (c *Claim) grow(n int64) (granted bool, evicted []*Claim) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.evicted {
		return false, nil
	}
	now := m.now()
	ask := Ask{
		Held:     c.held,
		More:     n,
		Arriving: c.arriving,
	}
	if all, large := m.room.missing(ask); all > 0 || large > 0 {
		others, holders := m.others(c)
		switch a := DecideMemory(now, m.room, ask, holders).(type) {
		case Refuse:
			m.stats.Refused++
			return false, nil
		case Evict:
			for _, i := range a.Holders {
				evicted = append(evicted, others[i])
				others[i].drop()
			}
		}
	}
	c.add(n)
	c.progress = now
	return true, evicted
}

// Hold records n more bytes of a response that its upstream has sent already, so that it can't be refused. Others give way where they can.
func (c *Claim) Hold(n int64) {
	if c == nil || c.Grow(n) {
		return
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !c.evicted {
		c.add(n)
	}
}

// add records n more bytes. The caller holds the lock.
func (c *Claim) add(n int64) {
	m := c.memory
	if c.isLarge() {
		m.room.HeldLarge -= c.held
	}
	c.held += n
	m.room.Held += n
	if c.isLarge() {
		m.room.HeldLarge += c.held
	}
	m.claims[c] = struct{}{}
}

// drop takes away what the claim holds. The caller holds the lock.
func (c *Claim) drop() {
	c.memory.remove(c)
	c.memory.stats.Evicted++
	c.evicted = true
}

// Arrived records that the request has arrived whole, and that its caller now waits for this host.
func (c *Claim) Arrived() {
	if c == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.isLarge() {
		c.memory.room.HeldLarge -= c.held
	}
	c.arriving = false
	c.busy = true
}

// Waiting records whether this host waits for the caller, which has made progress now.
func (c *Claim) Waiting(waiting bool) {
	if c == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.busy = !waiting
	c.progress = c.memory.now()
}

// Evicted reports whether the claim has lost what it held.
func (c *Claim) Evicted() bool {
	if c == nil {
		return false
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.evicted
}

// Release ends the claim.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.memory.remove(c)
}
