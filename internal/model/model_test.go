package model

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	// minShareOfLimit is how much of the fluid limit must be on time, and maxLateShare how much of what was accepted may be late.
	minShareOfLimit = 0.9
	maxLateShare    = 0.05
	// playedLength is the length of the runs, in which the first burst of each deployment ends.
	playedLength = 13 * time.Second
	examples     = "../../examples/stages"
)

// deployments returns the settings in the examples, shortened.
func deployments(t *testing.T) []*Settings {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(examples, "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no settings found: %v", err)
	}
	var out []*Settings
	for _, p := range paths {
		s, err := Load(p)
		if err != nil {
			t.Fatal(err)
		}
		s.Length = config.Span(playedLength)
		out = append(out, s)
	}
	return out
}

func played(s *Settings, load float64) *Result {
	return Run(s, Options{
		Load:         load,
		Seed:         1,
		ReleaseAfter: ReleaseTime,
	})
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	s := deployments(t)[0]
	if a, b := played(s, 0.3), played(s, 0.3); !reflect.DeepEqual(a.Kind, b.Kind) || !reflect.DeepEqual(a.Pool, b.Pool) {
		t.Error("two runs with the same seed differ")
	}
}

// The opposite of TestOverloadIsServedUpToTheLimit: nothing is refused while there is room for all.
func TestHalfLoadIsServed(t *testing.T) {
	for _, s := range deployments(t) {
		t.Run(s.Name, func(t *testing.T) {
			sum := played(s, 0.5).Sum()
			if sum.Refused > 0 || share(sum.OnTime, sum.Offered) < 0.97 {
				t.Errorf("%d of %d requests were on time, %d refused", sum.OnTime, sum.Offered, sum.Refused)
			}
		})
	}
}

// Guards against overload in which most of what is accepted comes late, as each stage admits by its own view (patterns: a burst of requests with several stages, and a load that lasts).
func TestOverloadIsServedUpToTheLimit(t *testing.T) {
	for _, s := range deployments(t) {
		for _, load := range []float64{1, 1.5, 2, 3} {
			steady := *s
			steady.Bursts = nil
			d, name := &steady, fmt.Sprintf("%s, steady load %.1f", s.Name, load)
			if load == 1 {
				d, name = s, s.Name+", bursts"
			}
			t.Run(name, func(t *testing.T) {
				sum := played(d, load).Sum()
				if got := share(sum.OnTime, sum.Limit); got < minShareOfLimit {
					t.Errorf("on time: %.3f of what could be", got)
				}
				if got := share(sum.Late, sum.OnTime+sum.Late); got > maxLateShare {
					t.Errorf("late: %.3f of what was accepted", got)
				}
			})
		}
	}
}

func TestFaultsOfSettingsAreNamed(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join(examples, "dsf-grown.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		name    string
		old     string
		changed string
		want    string
	}{
		{name: "no hosts", old: "hosts: 66", changed: "hosts: 0", want: "hosts"},
		{name: "a time without a unit", old: "hop: 2ms", changed: "hop: 2", want: "not a duration"},
		{name: "an unknown field", old: "clump: 3", changed: "clumps: 3", want: "clumps"},
		{name: "workers for too few domains", old: "workers: [4, 4, 4, 4, 3]", changed: "workers: [4, 4]", want: "pools[0].workers"},
		{name: "an empty batch", old: "batch: 16", changed: "batch: 0", want: "pools[0].batch"},
		{name: "no room", old: "room: 36000000", changed: "room: 0", want: "pools[0].room"},
		{name: "a pool that is not there", old: "{pool: second, after: [1]", changed: "{pool: other, after: [1]", want: `no pool "other"`},
		{name: "a stage that follows itself", old: "{pool: second, after: [1]", changed: "{pool: second, after: [2]", want: "no earlier stage"},
		{name: "a deadline before the objective", old: "deadline: 6s", changed: "deadline: 1s", want: "deadline"},
		{name: "a negative factor", old: "factor: 2.12", changed: "factor: -1", want: "bursts[2]"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			text := strings.Replace(string(valid), sc.old, sc.changed, 1)
			if text == string(valid) {
				t.Fatalf("the settings do not contain %q", sc.old)
			}
			path := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Load(path); err == nil || !strings.Contains(err.Error(), sc.want) {
				t.Errorf("error %v, want one that contains %q", err, sc.want)
			}
		})
	}
}

func TestFluidLimitOfOnePool(t *testing.T) {
	s := &Settings{
		Hosts:   1,
		Domains: []string{"a"},
		Pools:   []Pool{{Name: "p", Workers: []int{2}, Batch: 10, Call: config.Span(200 * time.Millisecond), Piece: config.Span(10 * time.Millisecond), Room: 1 << 30}},
		Kinds:   []Kind{{Name: "k", Objective: config.Span(time.Second), Deadline: config.Span(2 * time.Second), Stages: []Stage{{Pool: "p", Work: 1}}}},
	}
	f := newFluidLimit(s)
	admitted := 0
	for range 1000 {
		if f.admit(0, &s.Kinds[0], []int{1}) {
			admitted++
		}
	}
	// A full call takes 300 ms, so that 700 ms are left to wait; in that time two workers do 700 ms of work each. The results of a call are fetched for 50 ms, or wait beside those of the next.
	if perPiece := s.Pools[0].secondsPerPiece(s.Kinds[0].Stages[0]); admitted != int(2*0.7/perPiece+1e-9) {
		t.Errorf("%d requests could be on time at %.3f s a piece", admitted, perPiece)
	}
}
