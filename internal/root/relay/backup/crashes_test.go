package backup

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
)

func crashesOf(n, requests int) blame.Update {
	now := time.Now()
	var list []blame.Crash
	for i := range n {
		c := blame.Crash{
			Upstream: fmt.Sprintf("u%d/1", i),
			At:       now.Add(-time.Duration(i) * time.Second),
		}
		for r := range requests {
			c.Requests = append(c.Requests, blame.Request{
				Own: crash.Fingerprint(1<<60 + r),
			})
		}
		list = append(list, c)
	}
	return blame.NewUpdate(now, list, []blame.Survival{{Fingerprint: 9, At: now.Add(-time.Minute)}})
}

// Guards against requests that crash upstreams anew after all hosts were lost.
func TestCrashesSavedByOneProcessAreRestoredByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := start(t, table, "a", true, noVersions)
		time.Sleep(time.Second)
		table.setFailing(true)
		p.SaveCrashes(crashesOf(2, 1))
		time.Sleep(3 * time.Second)
		p.SaveCrashes(crashesOf(3, 1))
		time.Sleep(3 * time.Second)
		table.setFailing(false)
		time.Sleep(2 * time.Second)
		p.kill()
		var got blame.Update
		next := start(t, table, "a", true, noVersions, func(b *Backup) {
			b.OnCrashes(func(u blame.Update) { got = u })
		})
		time.Sleep(time.Second)
		next.kill()
		if len(got.Crashes) != 3 || len(got.Survivals) != 1 {
			t.Fatalf("got %+v", got)
		}
		if age := got.Crashes[0].AgeMS; age < 5000 || age > 5100 {
			t.Errorf("the crash of 5 s ago is %d ms old", age)
		}
		if age := got.Survivals[0].AgeMS; age < 65000 || age > 65100 {
			t.Errorf("the survival of 65 s ago is %d ms old", age)
		}
	})
}

func TestRowOfCrashesKeepsNewestWithinItsSize(t *testing.T) {
	full := crashesRow{
		Evidence: crashesOf(256, 64),
	}
	got := full.fitting().Evidence.Crashes
	if len(got) == 0 || len(got) >= 256 {
		t.Fatalf("%d crashes are left", len(got))
	}
	for i, c := range got {
		if want := int64(i) * 1000; c.AgeMS != want {
			t.Errorf("crash %d is %d ms old", i, c.AgeMS)
		}
	}
	few := crashesRow{
		Evidence: crashesOf(10, 4),
	}
	if got := len(few.fitting().Evidence.Crashes); got != 10 {
		t.Errorf("%d of 10 crashes are left", got)
	}
}

func TestDamagedRowsOfCrashesAreIgnored(t *testing.T) {
	values := []string{
		``,
		`[]`,
		`{"at_ms":99999999,"evidence":{"crashes":[{"upstream":"u","age_ms":0,"requests":[]}]}}`,
		`{"at_ms":1,"evidence":{"crashes":[{"upstream":"","age_ms":0}]}}`,
		`{"at_ms":1,"evidence":{"crashes":[{"upstream":"u","age_ms":-1}]}}`,
		`{"at_ms":1,"evidence":{"survivals":[{"print":1,"age_ms":-1}]}}`,
	}
	for _, v := range values {
		synctest.Test(t, func(t *testing.T) {
			table := newMemoryTable()
			table.rows[crashesKey] = []byte(v)
			p := start(t, table, "a", false, noVersions, func(b *Backup) {
				b.OnCrashes(func(u blame.Update) { t.Errorf("%s: got %+v", v, u) })
			})
			time.Sleep(time.Second)
			p.kill()
		})
	}
}
