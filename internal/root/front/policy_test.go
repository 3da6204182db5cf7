package front

import (
	"testing"
	"testing/synctest"
	"time"
)

func three() []string { return []string{"centro-1", "centro-2", "centro-3"} }

func steady(load float64) rig {
	return rig{
		seed:   1,
		load:   load,
		length: 60 * time.Second,
		lag:    100 * time.Millisecond,
		domain: three(),
	}
}

// scenarios are the loads and faults that the policies are measured under.
func scenarios() []struct {
	name string
	rig  rig
} {
	with := func(r rig, change func(*rig)) rig {
		change(&r)
		return r
	}
	return []struct {
		name string
		rig  rig
	}{
		{name: "x1", rig: steady(1)},
		{name: "x1.5", rig: steady(1.5)},
		{name: "x2", rig: steady(2)},
		{name: "x3", rig: steady(3)},
		{name: "burst to x4 for 5 s", rig: with(steady(0.8), func(r *rig) {
			r.loads = func(at time.Duration) float64 {
				if at > 20*time.Second && at < 25*time.Second {
					return 4
				}
				return 0.8
			}
			r.events = []event{{at: 25 * time.Second, do: func(*fleetModel) {}}}
		})},
		{name: "rerankers at a third", rig: with(steady(0.8), func(r *rig) {
			r.events = []event{
				{at: 15 * time.Second, do: func(f *fleetModel) { f.each(inPool("rerankers"), setSlow(3)) }},
				{at: 35 * time.Second, do: func(f *fleetModel) { f.each(inPool("rerankers"), setSlow(1)) }},
			}
		})},
		{name: "rerankers choke", rig: with(steady(0.8), func(r *rig) {
			r.events = []event{
				{at: 15 * time.Second, do: func(f *fleetModel) { f.each(inPool("rerankers"), setSlow(20)) }},
				{at: 35 * time.Second, do: func(f *fleetModel) { f.each(inPool("rerankers"), setSlow(1)) }},
			}
		})},
		{name: "engines at a third", rig: with(steady(0.8), func(r *rig) {
			r.events = []event{
				{at: 15 * time.Second, do: func(f *fleetModel) { f.each(inPool("engines"), setSlow(3)) }},
				{at: 35 * time.Second, do: func(f *fleetModel) { f.each(inPool("engines"), setSlow(1)) }},
			}
		})},
		{name: "one engine ten times slower", rig: with(steady(0.8), func(r *rig) {
			one := func(u *upModel) bool { return u.up.Name == "engines-00" }
			r.events = []event{
				{at: 15 * time.Second, do: func(f *fleetModel) { f.each(one, setSlow(10)) }},
				{at: 35 * time.Second, do: func(f *fleetModel) { f.each(one, setSlow(1)) }},
			}
		})},
		{name: "a domain lost and back", rig: with(steady(0.6), func(r *rig) {
			r.events = []event{
				{at: 15 * time.Second, do: func(f *fleetModel) { f.each(inDomain("centro-2"), goAway) }},
				{at: 35 * time.Second, do: func(f *fleetModel) { f.each(inDomain("centro-2"), comeBack) }},
			}
		})},
		{name: "reports 1 s old", rig: with(steady(0.9), func(r *rig) { r.lag = time.Second })},
		{name: "reports 5 s old", rig: with(steady(0.9), func(r *rig) { r.lag = 5 * time.Second })},
	}
}

func measure(t *testing.T, r rig, p policy) measured {
	t.Helper()
	var m measured
	synctest.Test(t, func(*testing.T) {
		m = r.run(p)
	})
	return m
}

// Targets of issue 5.
const (
	wantNormal   = 0.995
	wantUrgentX2 = 0.97
	wantGoodput  = 0.95
	mostWasted   = 0.03
	wantSmall    = 0.99
)

func TestPolicyMeetsItsTargets(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			m := measure(t, sc.rig, ours())
			t.Log(m)
			if m.wasted > mostWasted {
				t.Errorf("wasted %.3f of the cost", m.wasted)
			}
			overload := sc.rig.loads == nil && sc.rig.load > 1
			if !overload && m.recovered < wantNormal {
				t.Errorf("urgent attainment %.4f later than ten seconds after the trouble", m.recovered)
			}
			switch sc.name {
			case "x1":
				if min(m.urgent.attainment(), m.patient.attainment()) < wantNormal {
					t.Errorf("attainment below the target: %s", m)
				}
			case "x2":
				if m.urgent.attainment() < wantUrgentX2 || m.goodput < wantGoodput {
					t.Errorf("attainment or goodput below the target: %s", m)
				}
			}
		})
	}
}

func TestASmallAccountBesideATenfoldOne(t *testing.T) {
	small := rig{
		seed:     1,
		load:     0.15,
		length:   60 * time.Second,
		lag:      100 * time.Millisecond,
		domain:   three(),
		accounts: []float64{1},
	}
	both := small
	both.load = 0.15 * 11
	both.accounts = []float64{1, 10}
	alone := measure(t, small, ours())
	beside := measure(t, both, ours())
	t.Logf("alone %.2f %%, beside a tenfold account %.2f %%, which itself has %.2f %%",
		100*alone.accounts[0].attainment(), 100*beside.accounts[0].attainment(), 100*beside.accounts[1].attainment())
	if beside.accounts[0].attainment() < wantSmall*alone.accounts[0].attainment() {
		t.Errorf("the small account keeps %.4f of what it has alone", beside.accounts[0].attainment()/alone.accounts[0].attainment())
	}
}

// BenchmarkPolicies gives the table of docs/BENCHMARKS.md; its times mean nothing.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range scenarios() {
		for _, p := range []policy{ours(), naive(), roundRobin()} {
			b.Run(sc.name+"/"+p.name, func(b *testing.B) {
				var m measured
				for b.Loop() {
					synctest.Test(&testing.T{}, func(*testing.T) { m = sc.rig.run(p) })
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*m.urgent.attainment(), "urgent_%")
				b.ReportMetric(100*m.patient.attainment(), "patient_%")
				b.ReportMetric(100*m.goodput, "goodput_%")
				b.ReportMetric(100*m.wasted, "wasted_%")
				b.ReportMetric(100*m.recovered, "after_%")
			})
		}
	}
}
