package backup

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
)

// ledgerOf lets a process keep what is known of suspects in a ledger of its own.
func ledgerOf(l *blame.Ledger) func(b *Backup) {
	return func(b *Backup) {
		b.KeepSuspects(func() blame.Update { return l.Suspects(time.Now()) })
		b.OnCrashes(func(u blame.Update) {
			l.Merge(time.Now(), u)
			l.Assess(time.Now())
		})
	}
}

func mergeCrash(l *blame.Ledger, upstream string, own int) {
	c := blame.Crash{
		Upstream: upstream,
		At:       time.Now(),
		Requests: crashesOf(1, own).Crashes[0].Requests,
	}
	l.Merge(time.Now(), blame.NewUpdate(time.Now(), []blame.Crash{c}, nil))
	l.Assess(time.Now())
}

// Guards against crashes below the limit that are forgotten with all hosts, also those that another host has written (rule BUDGET, case review/10).
func TestCrashesBelowTheLimitAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		// Each process learns of one crash only, and the second one while the store fails for a while.
		for i := range 3 {
			l := blame.NewLedger()
			p := start(t, table, fmt.Sprintf("h%d", i), true, noVersions, ledgerOf(l))
			time.Sleep(time.Second)
			table.setFailing(i == 1)
			mergeCrash(l, fmt.Sprintf("u%d/1", i), 1)
			if got := len(l.Blocked()) == 1; got != (i == 2) {
				t.Errorf("the request is blocked after crash %d: %t", i+1, got)
			}
			p.SaveSuspects()
			time.Sleep(3 * time.Second)
			table.setFailing(false)
			time.Sleep(2 * time.Second)
			p.kill()
		}
	})
}

// Guards against a row that forgets what another host has written since this one read it.
func TestSuspectsOfTwoHostsAreMergedInTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		ledgers := []*blame.Ledger{blame.NewLedger(), blame.NewLedger()}
		var processes []*process
		for i, l := range ledgers {
			processes = append(processes, start(t, table, fmt.Sprintf("h%d", i), true, noVersions, ledgerOf(l)))
		}
		time.Sleep(time.Second)
		for i, l := range ledgers {
			mergeCrash(l, fmt.Sprintf("u%d/1", i), 1)
			processes[i].SaveSuspects()
			time.Sleep(2 * time.Second)
		}
		for _, p := range processes {
			p.kill()
		}
		l := blame.NewLedger()
		next := start(t, table, "next", true, noVersions, ledgerOf(l))
		time.Sleep(time.Second)
		if got := l.Suspects(time.Now()).Crashes; len(got) != 2 {
			t.Errorf("%d crashes are known, 2 expected", len(got))
		}
		next.kill()
	})
}

// Guards against a storm of crashes that becomes a storm of writes, and against rows that are too large.
func TestCrashesInSeriesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &countingTable{
			memoryTable: newMemoryTable(),
		}
		l := blame.NewLedger()
		p := start(t, table, "a", true, noVersions, ledgerOf(l))
		time.Sleep(time.Second)
		const (
			seconds   = 20
			perSecond = 50
		)
		for i := range seconds * perSecond {
			mergeCrash(l, fmt.Sprintf("u%d/1", i), blame.MaxRequests)
			if l.TakeSuspectsChange(time.Now()) {
				p.SaveSuspects()
			}
			time.Sleep(time.Second / perSecond)
		}
		sizes := table.written(suspectsKey)
		if len(sizes) == 0 || len(sizes) > seconds+1 {
			t.Errorf("%d writes in %d s", len(sizes), seconds)
		}
		if largest := slices.Max(sizes); largest > maxRowBytes {
			t.Errorf("a row of %d bytes", largest)
		}
		p.kill()
	})
}

// countingTable records the sizes of the rows that are written.
type countingTable struct {
	*memoryTable
	mu    sync.Mutex
	sizes map[string][]int
}

// Put writes a row.
func (c *countingTable) Put(ctx context.Context, key string, value []byte) error {
	c.mu.Lock()
	if c.sizes == nil {
		c.sizes = map[string][]int{}
	}
	c.sizes[key] = append(c.sizes[key], len(value))
	c.mu.Unlock()
	return c.memoryTable.Put(ctx, key, value)
}

func (c *countingTable) written(key string) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sizes[key]
}
