package hosts

import "time"

// longTransfer is the time after which an answer of the store counts as one with many rows.
const longTransfer = 200 * time.Millisecond

// transfer is an answer of the store that is arriving.
type transfer struct {
	// began is when its first bytes arrived, or 0 before that, since boot.
	began time.Duration
	// long reports that it has taken for long, and longSince since when that is so.
	long      bool
	longSince time.Duration
	// unconfirmed reports that the answer before took long, so that what is known is as old as that until this one has arrived.
	unconfirmed bool
}

// next returns the transfer after this one.
func (x transfer) next() transfer {
	return transfer{
		unconfirmed: x.long,
	}
}

// active reports whether rows are arriving, or a confirmation of those that have just arrived.
func (x transfer) active() bool {
	return x.long || x.unconfirmed
}

// noteTransfer records that a part of an answer of the store has arrived, and tells waiting hosts once that takes long, so that they ask others as well.
func (t *Table) noteTransfer() {
	now := t.tables.sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.transfer.began == 0:
		t.transfer.began = now
	case !t.transfer.long && now-t.transfer.began >= longTransfer:
		t.transfer.long = true
		t.transfer.longSince = now
		t.notify()
	}
}

// storeWait returns how long a call to the store may wait for changes. Rows that took long to arrive are confirmed at once.
func (t *Table) storeWait(wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.transfer.unconfirmed {
		return 0
	}
	return wait
}
