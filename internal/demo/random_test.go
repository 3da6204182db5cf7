package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

const (
	soakLength = 8 * time.Second
	// soakPause is the longest time between two changes of the faults.
	soakPause = 400 * time.Millisecond
)

// injectRandomFaults changes the faults of the fleet at random, two or three of them at once, until ctx ends.
func injectRandomFaults(ctx context.Context, t *testing.T, f *Fleet, rng *rand.Rand) int {
	t.Helper()
	changes := 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(soakPause))))
		changes++
		switch rng.IntN(8) {
		case 0:
			faults(t, f, stand.PlatformName, randomFaults(rng))
		case 1:
			faults(t, f, stand.PlatformName, fault.Faults{})
		case 2:
			replaceOne(t, f, rng, n)
		default:
			u := f.Environment.Upstreams[rng.IntN(len(f.Environment.Upstreams))]
			faults(t, f, u.Spec.Name, randomFaults(rng))
		}
	}
	return changes
}

func randomFaults(rng *rand.Rand) fault.Faults {
	all := []fault.Faults{
		{},
		{},
		{Down: true},
		{Frozen: true},
		{SlowMS: 50 + rng.IntN(400)},
		{Chaos: rng.Float64() / 2},
		{Refuse: true},
		{Leaving: true},
		{LoseAnswers: true},
		{StaleMS: 3000},
	}
	return all[rng.IntN(len(all))]
}

// replaceOne starts a new daemon and stops an old one, while the platform may be out.
func replaceOne(t *testing.T, f *Fleet, rng *rand.Rand, n int) {
	t.Helper()
	old := f.Daemons()[rng.IntN(len(f.Daemons()))]
	next, err := f.Start(fmt.Sprintf("%s-%d", old.Domain, n), old.Domain)
	if err != nil {
		t.Error(err)
		return
	}
	eventually(t, 5*time.Second, "the new host learns from the platform or its peers", next.Ready)
	if err := f.Stop(old); err != nil {
		t.Errorf("stop %s: %v", old.Name, err)
	}
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := startedFleet(t, 3, Document())
			recorder := NewRecorder()
			load := Load{
				Hosts:    f.Callers,
				Rate:     100,
				For:      soakLength,
				Seed:     seed,
				Recorder: recorder,
			}
			ctx, cancel := context.WithTimeout(context.Background(), soakLength)
			defer cancel()
			changes := make(chan int)
			go func() { changes <- injectRandomFaults(ctx, t, f, rand.New(rand.NewPCG(seed, 6))) }()
			load.Run(context.Background())
			n := <-changes
			r := recorder.Close(f.Environment.RunLog)
			t.Logf("%d changes of faults: %d sent, %d answered, %d not run, %d failed, %d unknown", n, r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown)
			if err := r.Check(); err != nil {
				t.Error(err)
			}
			faults(t, f, stand.PlatformName, fault.Faults{})
			for _, u := range f.Environment.Upstreams {
				faults(t, f, u.Spec.Name, fault.Faults{})
			}
			eventually(t, 10*time.Second, "the fleet is back to normal", func() bool { return answersAll(f) })
		})
	}
}

// answersAll reports whether every host answers a request of each kind.
func answersAll(f *Fleet) bool {
	for i, d := range f.Daemons() {
		for _, p := range []string{pipeAssistant, pipeAvailability, pipeBooking} {
			input := fmt.Sprintf("normal-%d-%s-%d", i, p, time.Now().UnixNano())
			if _, err := sendOnce(d, p, input, input); err != nil {
				return false
			}
		}
	}
	return true
}
