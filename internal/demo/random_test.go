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
	soakDuration = 8 * time.Second
	// maxFaultInterval is the maximum time between two fault changes.
	maxFaultInterval = 400 * time.Millisecond
)

// injectRandomFaults changes the faults of a random stand-in or replaces a daemon, after random intervals, until ctx ends. Faults stay until the next change of the same stand-in, so several stand-ins can be faulty at the same time. It returns the number of changes.
func injectRandomFaults(ctx context.Context, t *testing.T, f *Fleet, rng *rand.Rand) int {
	t.Helper()
	changes := 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultInterval))))
		changes++
		switch rng.IntN(8) {
		case 0:
			setFaults(t, f, stand.PlatformName, randomFaults(rng))
		case 1:
			setFaults(t, f, stand.PlatformName, fault.Faults{})
		case 2:
			replaceRandomDaemon(t, f, rng, n)
		default:
			u := f.Environment.Upstreams[rng.IntN(len(f.Environment.Upstreams))]
			setFaults(t, f, u.Spec.Name, randomFaults(rng))
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

// replaceRandomDaemon starts a new daemon and stops a random old one in the same failure domain. The platform may be down meanwhile.
func replaceRandomDaemon(t *testing.T, f *Fleet, rng *rand.Rand, n int) {
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
			f := newRunningFleet(t, 3, Document())
			recorder := NewRecorder()
			load := Load{
				BaseURLs: f.Callers,
				Rate:     100,
				Length:   soakDuration,
				Seed:     seed,
				Recorder: recorder,
			}
			ctx, cancel := context.WithTimeout(context.Background(), soakDuration)
			defer cancel()
			changes := make(chan int)
			go func() { changes <- injectRandomFaults(ctx, t, f, rand.New(rand.NewPCG(seed, 6))) }()
			load.Run(context.Background())
			n := <-changes
			r := recorder.Close(f.Environment.RunLog)
			t.Logf("%d fault changes, %d requests sent: %d answered, %d not run, %d failed, %d unknown", n, r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown)
			if err := r.Check(); err != nil {
				t.Error(err)
			}
			setFaults(t, f, stand.PlatformName, fault.Faults{})
			for _, u := range f.Environment.Upstreams {
				setFaults(t, f, u.Spec.Name, fault.Faults{})
			}
			eventually(t, 10*time.Second, "the fleet is back to normal", func() bool { return allHostsAnswer(f) })
		})
	}
}

// allHostsAnswer reports whether every daemon answers one request to each of three pipelines.
func allHostsAnswer(f *Fleet) bool {
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
