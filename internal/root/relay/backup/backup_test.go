package backup

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/origin"
)

func noVersions() []string { return nil }

func twoVersions() []string { return []string{"v1", "v2"} }

// Guards against streams that are lost with all hosts, or that are found after their time.
func TestStreamsSavedByOneProcessAreFoundByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := start(t, table, "a", true, twoVersions)
		time.Sleep(time.Second)
		const streams = 2*maxStreamsPerRow + 1
		for k := range origin.Key(streams) {
			p.Save(k, originAt("v"+strconv.Itoa(int(k))), 10*time.Second)
		}
		time.Sleep(mixedWriteDelay + 10*callTime)
		p.kill()
		time.Sleep(5 * time.Second)
		next := start(t, table, "a", true, twoVersions)
		for k := range origin.Key(streams) {
			o, found, _ := next.Find(t.Context(), k)
			if !found || o.Version != "v"+strconv.Itoa(int(k)) {
				t.Fatalf("stream %d: found %t at %q", k, found, o.Version)
			}
			if age := time.Since(o.SentAt).Round(time.Second); age != 5*time.Second {
				t.Fatalf("stream %d was sent %s ago", k, age)
			}
		}
		if _, found, _ := next.Find(t.Context(), streams); found {
			t.Error("a stream that nobody saved was found")
		}
		time.Sleep(6 * time.Second)
		if _, found, _ := next.Find(t.Context(), 0); found {
			t.Error("a stream was found after its caller's time")
		}
		next.kill()
	})
}

func TestStreamOfTwoVersionsInTheStoreIsNotSure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		for _, v := range twoVersions() {
			p := start(t, table, v, false, twoVersions)
			p.Save(7, originAt(v), time.Minute)
			time.Sleep(3 * time.Second)
			p.kill()
		}
		next := start(t, table, "c", false, twoVersions)
		if o, found, _ := next.Find(t.Context(), 7); !found || o.Known() {
			t.Errorf("found %t at %q", found, o.Version)
		}
		next.kill()
	})
}

// Guards against streams that are taken for unknown because another host wrote them after this host's last read (review/3, rule ORDER).
func TestStreamThatAnotherHostWroteJustNowIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		reader := start(t, table, "a", true, twoVersions)
		writer := start(t, table, "b", false, twoVersions)
		time.Sleep(time.Second)
		const streams = 20
		for k := range origin.Key(streams) {
			if _, found, err := reader.Find(t.Context(), k); found || err != nil {
				t.Fatalf("stream %d before it began: found %t, error %v", k, found, err)
			}
			writer.Save(k, originAt("v2"), time.Minute)
			time.Sleep(mixedWriteDelay + checkInterval)
			if o, found, err := reader.Find(t.Context(), k); !found || o.Version != "v2" {
				t.Fatalf("stream %d: found %t at %q, error %v", k, found, o.Version, err)
			}
		}
		if got := table.counts().reads; got > 2+streams*2/int(cleanInterval/time.Second) {
			t.Errorf("%d reads of the whole table", got)
		}
		table.setFailing(true)
		if _, found, err := reader.Find(t.Context(), streams); found || err == nil {
			t.Errorf("while the store fails: found %t, error %v", found, err)
		}
		reader.kill()
		writer.kill()
	})
}

// Guards against streams that are not written in time because the host that writes them for others learned of the second version after them.
func TestStreamsAreWrittenSoonWhenASecondVersionComesMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		var versions atomic.Pointer[[]string]
		versions.Store(&[]string{"v1"})
		p := start(t, table, "a", false, func() []string { return *versions.Load() })
		time.Sleep(5 * time.Second)
		for k := range origin.Key(3) {
			p.Save(k, originAt("v1"), time.Minute)
		}
		time.Sleep(20 * time.Millisecond)
		two := twoVersions()
		versions.Store(&two)
		p.history.Sync(time.Now(), upstreams(two))
		p.Wake()
		time.Sleep(mixedWriteDelay + 2*callTime)
		if got := table.counts().rows; got != 1 {
			t.Errorf("%d rows are written", got)
		}
		p.kill()
	})
}

// Guards against streams that are refused for long after the first read of the table failed once.
func TestLookupReadsTheTableAgainSoonAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		first := start(t, table, "a", true, twoVersions)
		time.Sleep(time.Second)
		first.Save(7, originAt("v1"), time.Minute)
		time.Sleep(time.Second)
		first.kill()
		table.setFailing(true)
		next := start(t, table, "a", true, twoVersions)
		time.Sleep(10 * time.Second)
		table.setFailing(false)
		time.Sleep(lookupReadPause)
		if _, found, err := next.Find(t.Context(), 7); !found || err != nil {
			t.Errorf("found %t, error %v", found, err)
		}
		next.kill()
	})
}

// Guards against a herd of taken-up streams of which each reads the table.
func TestManyLookupsShareOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := start(t, table, "a", false, noVersions)
		time.Sleep(time.Second)
		// The store has dropped the history of this change by the time of the lookups, so that the table must be read whole.
		_ = table.Put(t.Context(), "streams/b/1", []byte(`{}`))
		time.Sleep(historyTime + time.Second)
		before := table.counts()
		var wg sync.WaitGroup
		for k := range origin.Key(500) {
			wg.Go(func() { _, _, _ = p.Find(t.Context(), k) })
		}
		wg.Wait()
		after := table.counts()
		if got := after.reads - before.reads; got != 1 {
			t.Errorf("%d reads of the whole table", got)
		}
		if got := after.changeReads - before.changeReads; got > 2 {
			t.Errorf("%d reads of changes", got)
		}
		p.kill()
	})
}

// Guards against reads of the whole table that fill the links of small hosts while callers take up streams of which nobody knows.
func TestLookupsOfUnknownStreamsSeldomReadTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := start(t, table, "a", false, noVersions)
		const (
			minutes        = 2
			readsPerMinute = 2
			lookups        = minutes * 600
		)
		for k := range origin.Key(lookups) {
			_, _, _ = p.Find(t.Context(), k)
			time.Sleep(100 * time.Millisecond)
		}
		if got, limit := table.counts().reads, minutes*readsPerMinute+1; got > limit {
			t.Errorf("%d reads, at most %d expected", got, limit)
		}
		p.kill()
	})
}

// Guards against a host on a slow link that reads the whole table again and again because each read takes longer than a call may.
func TestFailedFirstReadIsTriedAgainSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		table.setFailing(true)
		p := start(t, table, "a", false, twoVersions)
		const (
			minutes  = 2
			maxReads = 10
		)
		for k := range origin.Key(minutes * 600) {
			p.Save(k, originAt("v1"), time.Minute)
			time.Sleep(100 * time.Millisecond)
		}
		if got := table.counts().reads; got > maxReads {
			t.Errorf("%d reads in %d minutes, at most %d expected", got, minutes, maxReads)
		}
		table.setFailing(false)
		time.Sleep(maxReadPause + time.Second)
		if _, known := p.clock.now(); !known {
			t.Error("the table was not read once it could be")
		}
		p.kill()
	})
}

func TestLookupEndsWithItsContextWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(common.NewQuietDeps("a", "d"), slowTable{newMemoryTable()}, origin.NewHistory(), func() time.Duration { return 0 }, func() bool { return true })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		if _, found, err := b.Find(ctx, 7); found || err == nil || time.Since(began) != 100*time.Millisecond {
			t.Errorf("found %t, error %v after %s", found, err, time.Since(began))
		}
		time.Sleep(slowReadTime)
	})
}

func TestStreamsWaitWhileTheStoreTakesNoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := start(t, table, "a", true, twoVersions)
		time.Sleep(time.Second)
		table.setFailing(true)
		before := table.counts().writes
		for k := range origin.Key(maxPending + 10) {
			p.Save(k, originAt("v1"), time.Hour)
		}
		time.Sleep(10 * time.Second)
		if got := table.counts().writes - before; got > 25 {
			t.Errorf("%d writes in 10 s of failures", got)
		}
		table.setFailing(false)
		time.Sleep(5 * time.Second)
		p.kill()
		next := start(t, table, "a", true, twoVersions)
		for k := range origin.Key(maxPending + 10) {
			if _, found, _ := next.Find(t.Context(), k); found != (k >= 10) {
				t.Fatalf("stream %d: found %t", k, found)
			}
		}
		next.kill()
	})
}

// At rest a fleet writes one row each confirmInterval, whatever its size, and reads once each cleanInterval.
func TestOnlyOneHostWritesAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		const hosts, minutes = 36, 10
		for i := range hosts {
			p := start(t, table, strconv.Itoa(i), i == 0, func() []string { return []string{"v1"} })
			defer p.kill()
		}
		time.Sleep(minutes * time.Minute)
		if limit := int(minutes*time.Minute/confirmInterval) + 2; table.counts().writes > limit {
			t.Errorf("%d writes, at most %d expected", table.counts().writes, limit)
		}
		if limit := hosts + int(minutes*time.Minute/cleanInterval) + 1; table.counts().reads > limit {
			t.Errorf("%d reads, at most %d expected", table.counts().reads, limit)
		}
	})
}

func TestExpiredRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := start(t, table, "a", true, twoVersions)
		const rows = 3 * maxRemoved
		for k := range origin.Key(rows) {
			p.Save(k, originAt("v1"), 20*time.Second)
			time.Sleep(2 * mixedWriteDelay)
		}
		p.Save(rows, originAt("v1"), time.Hour)
		time.Sleep(2*cleanInterval + time.Minute)
		got := table.counts()
		if got.rows != 2 {
			t.Errorf("%d rows are left, of versions and of one stream expected", got.rows)
		}
		if got.mostRemoved > maxRemoved {
			t.Errorf("%d rows removed by one call", got.mostRemoved)
		}
		p.kill()
	})
}

func TestDamagedRowsAreIgnored(t *testing.T) {
	values := []struct {
		key, value string
	}{
		{key: "versions", value: `{"at_ms":1,"pools":{"p":{"version":"v1","since_ms":2}}}`},
		{key: "versions", value: `{"at_ms":99999999,"pools":{"p":{"version":"v1","since_ms":-99999999}}}`},
		{key: "versions", value: `{"at_ms":"x"}`},
		{key: "versions", value: ``},
		{key: "streams/a/1", value: `{"streams":[{"key":7,"origin":{"pool":"p","version":"v1"},"sent_ms":9,"until_ms":1}]}`},
		{key: "streams/a/1", value: `{"streams":[{"key":7,"origin":{"pool":"p"},"sent_ms":0,"until_ms":99999999}]}`},
		{key: "streams/a/1", value: `{"streams":[{"key":-7}]}`},
		{key: "streams/a/1", value: `[`},
		{key: "unknown", value: `{"streams":[{"key":7,"origin":{"pool":"p","version":"v1"},"sent_ms":0,"until_ms":99999999}]}`},
	}
	for _, v := range values {
		synctest.Test(t, func(t *testing.T) {
			table := newMemoryTable()
			table.rows[v.key] = []byte(v.value)
			p := start(t, table, "a", false, func() []string { return []string{"v1"} })
			time.Sleep(time.Second)
			if _, found, _ := p.Find(t.Context(), 7); found {
				t.Errorf("%s: a stream was found", v.value)
			}
			if p.history.Settled(time.Now(), origin.Scope{Pools: []string{"p"}, Lifetime: 5 * time.Second}) {
				t.Errorf("%s: the version counts as the only one for long", v.value)
			}
			p.kill()
		})
	}
}

// slowReadTime is how long a read of a slowTable takes.
const slowReadTime = 10 * time.Second

// slowTable is a table of a slow store.
type slowTable struct {
	*memoryTable
}

func (s slowTable) Read(ctx context.Context) (Contents, error) {
	time.Sleep(slowReadTime)
	return s.memoryTable.Read(ctx)
}
