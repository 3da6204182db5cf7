package model

import (
	"time"

	"github.com/cornelwing/cornelwing/pkg/config"
)

// fluidLimit says which requests could be on time if work were divided at will: each pool does its work in the order of arrival at the rate of full calls, requests that it can't do in time cost it nothing, and each stage takes the time of a full call besides. Of the rooms for results it knows that those of a call are taken when it starts. It is a reference for the simulation, and close to an upper bound where requests are of similar size.
type fluidLimit struct {
	settings *Settings
	pools    map[string]*fluidPool
}

// fluidPool is the backlog of a pool.
type fluidPool struct {
	pool    *Pool
	workers float64
	// backlog is the work that waits at the time at, in seconds of one worker.
	backlog float64
	at      time.Duration
}

func newFluidLimit(s *Settings) *fluidLimit {
	f := &fluidLimit{
		settings: s,
		pools:    map[string]*fluidPool{},
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		workers := 0
		for _, n := range p.Workers {
			workers += n
		}
		f.pools[p.Name] = &fluidPool{
			pool:    p,
			workers: float64(workers),
		}
	}
	return f
}

// admit reports whether a request that arrives now could be on time, and adds its work if so.
func (f *fluidLimit) admit(now time.Duration, k *Kind, pieces []int) bool {
	work := map[string]float64{}
	shortest := k.Engine.First.D()
	stageTime := make([]time.Duration, len(k.Stages))
	var longest time.Duration
	for i, st := range k.Stages {
		if pieces[i] == 0 {
			continue
		}
		p := f.pools[st.Pool].pool
		work[st.Pool] += float64(pieces[i]) * p.secondsPerPiece(st)
		stageTime[i] = p.Call.D() + time.Duration(p.Batch)*p.Piece.D()
		var before time.Duration
		for _, a := range st.After {
			before = max(before, stageTime[a])
		}
		stageTime[i] += before
		longest = max(longest, stageTime[i])
	}
	slack := k.Objective.D() - longest - shortest
	for name, seconds := range work {
		p := f.pools[name]
		p.advance(now)
		if wait := (p.backlog + seconds) / p.workers; wait > max(0, slack.Seconds()) {
			return false
		}
	}
	for name, seconds := range work {
		f.pools[name].backlog += seconds
	}
	return true
}

func (p *fluidPool) advance(now time.Duration) {
	p.backlog = max(0, p.backlog-p.workers*(now-p.at).Seconds())
	p.at = now
}

// fetchTime is how long the results of a call are held at least, as what needs them fetches them.
const fetchTime = 50 * time.Millisecond

// secondsPerPiece returns the time of a worker that a piece takes in the best sequence of calls: full ones that begin once the results of the one before have been fetched, or ones that follow each other and leave room for those.
func (p *Pool) secondsPerPiece(st Stage) float64 {
	piece := st.Work * p.Piece.D().Seconds()
	full, half := p.Batch, p.Batch
	if st.Bytes > 0 {
		full = min(full, int(p.Room/st.Bytes))
		half = min(half, int(p.Room/st.Bytes/2))
	}
	spaced := (p.Call+config.Span(fetchTime)).D().Seconds()/float64(max(1, full)) + piece
	if half == 0 {
		return spaced
	}
	return min(spaced, p.Call.D().Seconds()/float64(half)+piece)
}
