package hosts

import "sync/atomic"

// blockCounts counts what happened to blocks.
type blockCounts struct {
	read, stalled, readBytes, sentBytes, busy atomic.Int64
}

// stats returns the counts for the metrics.
func (c *blockCounts) stats() BlockStats {
	return BlockStats{
		Read:      c.read.Load(),
		Stalled:   c.stalled.Load(),
		ReadBytes: c.readBytes.Load(),
		SentBytes: c.sentBytes.Load(),
		Busy:      c.busy.Load(),
	}
}

// BlockStats returns what the metrics tell of large contents of messages.
func (p *Peers) BlockStats() BlockStats {
	return p.blocks.counts.stats()
}
