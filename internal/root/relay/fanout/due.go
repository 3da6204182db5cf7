package fanout

import "time"

// Meanwhile returns whom to ask as well while answers are awaited although what this host knows is late, or GiveUp if there is nobody.
func (c *Chooser) Meanwhile(now time.Duration, v View) Action {
	if c.isDue(now, v) {
		return c.turn(now)
	}
	if name, ok := c.candidate(now, v); ok {
		return AskHost{
			Name:  name,
			Brief: true,
		}
	}
	if v.Calling || c.storeFailed {
		if name, ok := c.other(now, v); ok {
			return AskHost{
				Name:  name,
				Heard: true,
			}
		}
	}
	return GiveUp{}
}

// NextStep returns when Meanwhile is to be called if nothing is answered from now on, or false if there is no time limit.
func (c *Chooser) NextStep(now time.Duration, v View) (time.Duration, bool) {
	if !v.Confirmed {
		return 0, false
	}
	at := max(v.ConfirmedAt+c.limits.LateAge(), c.newsAt+newsGrace/2, now+hedgePause/2+c.within(hedgePause))
	if turnAt := c.turnAt(v); turnAt > now && !v.Calling {
		at = min(at, turnAt)
	}
	return at, true
}

// turnAt returns when this host asks the store at the latest, whatever the others say.
func (c *Chooser) turnAt(v View) time.Duration {
	if c.earlierFor != v.ConfirmedAt {
		c.earlierFor = v.ConfirmedAt
		c.earlier = c.within(min(c.limits.turnSpread(), perHost(v.Hosts, fallbackRate)))
	}
	return max(v.ConfirmedAt+c.limits.TurnAge()-c.earlier, c.newsAt+newsGrace)
}

// isDue reports whether the store is to be asked whatever the others say. It is not if it is known to fail, or while a host that reads the table is receiving many rows from it.
func (c *Chooser) isDue(now time.Duration, v View) bool {
	if !v.Confirmed || v.Calling || v.Arriving || now < max(c.turnAt(v), c.slowUntil) {
		return false
	}
	if c.failedNow(now, v) {
		return false
	}
	_, reads := c.reading(now, v)
	return !reads
}

// turn returns that the store is asked at once, as what is known is about to become too old.
func (c *Chooser) turn(now time.Duration) Action {
	c.startRound()
	c.noteTurn(now)
	return AskStore{
		Probe: true,
		Due:   true,
	}
}

// noteTurn records that this host turns to the store.
func (c *Chooser) noteTurn(now time.Duration) {
	c.fallbacks++
	c.turning = true
	c.triedAt = now
	c.nextProbe = now + c.within(c.probePause()) + minProbePause/2
}
