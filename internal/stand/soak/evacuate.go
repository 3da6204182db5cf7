package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// evacuableZone is the zone of some servers, which an operator evacuates once in each run.
	evacuableZone = "z1"
	// serversPerEvacuable is among how many servers one is in evacuableZone.
	serversPerEvacuable = 4
	// evacuateTime is the time within which hosts must stop sending to an evacuated zone.
	evacuateTime = 2 * time.Second
	// minEvacuation and maxEvacuation bound the time for which the zone is evacuated.
	minEvacuation = 2 * evacuateTime
	maxEvacuation = 4 * evacuateTime
)

// evacuation is a time in which evacuableZone was evacuated.
type evacuation struct {
	From, To time.Time
}

// evacuate evacuates the zone once, beside the faults, and records when.
func (r *run) evacuate(ctx context.Context, faults time.Duration) {
	rng := rand.New(rand.NewPCG(r.seed, 11))
	if !wait(ctx, time.Duration(rng.Int64N(int64(faults/2)+1))) {
		return
	}
	r.world.setEvacuated(true)
	from := time.Now()
	wait(ctx, minEvacuation+time.Duration(rng.Int64N(int64(maxEvacuation-minEvacuation))))
	to := time.Now()
	r.world.setEvacuated(false)
	r.history.addEvacuation(evacuation{
		From: from,
		To:   to,
	})
}

// setEvacuated writes or removes the order to evacuate the zone.
func (w *world) setEvacuated(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = evacuated
	w.writeEvacuation()
}

// writeEvacuation makes the store hold what the operator wants. The caller holds the lock.
func (w *world) writeEvacuation() {
	if w.evacuated {
		w.store.Put("op", "evacuate/"+evacuableZone, []byte("{}"))
		return
	}
	w.store.Remove("op", "evacuate/"+evacuableZone)
}

func (h *history) addEvacuation(e evacuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, e)
}

// checkEvacuations checks that hosts without a fault send nothing to an evacuated zone.
func (h *history) checkEvacuations(servers []serverLog) {
	byID := h.requestsByID()
	for _, s := range servers {
		if s.Zone != evacuableZone {
			continue
		}
		for _, a := range s.Arrivals {
			q, ok := byID[a.ID]
			for _, e := range h.evacuations {
				if ok && a.At.Sub(e.From) > evacuateTime && a.At.Before(e.To) && !h.disturbedSince(q.Host, e.From) {
					h.addViolationf("EVAC", "request %s of host %d reached %s %s after its zone was evacuated", q.ID, q.Host, s.ID, a.At.Sub(e.From))
				}
			}
		}
	}
}
