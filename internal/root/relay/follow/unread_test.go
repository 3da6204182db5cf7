package follow

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

// unreadInterval is the time between two reads in these tests.
const unreadInterval = 50 * time.Millisecond

func everyInterval() time.Duration { return unreadInterval }

// feedTable is a table of a store whose calls take 5 ms.
type feedTable struct {
	mu    sync.Mutex
	keys  []string
	era   Era
	err   error
	calls int
	// behind is how many versions a call lags behind.
	behind int
}

func (f *feedTable) put(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys = append(f.keys, key)
}

// lag makes calls lag behind by n versions from now on.
func (f *feedTable) lag(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind = n
}

// set sets the era and the error of calls from now on.
func (f *feedTable) set(era Era, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.err = era, err
}

func (f *feedTable) ReadAll(ctx context.Context) ([]Row, Position, error) {
	return f.WaitForChanges(ctx, Position{}, 0)
}

func (f *feedTable) WaitForChanges(_ context.Context, after Position, _ time.Duration) ([]Row, Position, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var out []Row
	seen := f.keys[:len(f.keys)-f.behind]
	for _, key := range seen[min(int(after.Version), len(seen)):] {
		out = append(out, Row{Key: key})
	}
	return out, Position{Era: f.era, Version: int64(len(seen))}, f.err
}

// Guards against an old copy of a table that passes for what is in the store now (issue 57, rule ORDER).
func TestUnreadRowsAreThoseThatTheFeedHasNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &feedTable{era: EraOf(1)}
		u := NewUnread(common.NewQuietDeps("host-1", "d"), table, everyInterval)
		fed := u.Fed(table)
		expect := func(want int) {
			t.Helper()
			rows, err := u.Rows(t.Context())
			if err != nil || len(rows) != want {
				t.Fatalf("%d rows, error %v; %d rows expected", len(rows), err, want)
			}
		}
		expectError := func() {
			t.Helper()
			if _, err := u.Rows(t.Context()); err == nil {
				t.Fatal("no error")
			}
		}
		table.put("a")
		expectError()
		_, position, _ := fed.ReadAll(t.Context())
		expectError()
		u.Applied()
		expect(0)
		table.put("b")
		expect(1)
		// What the feed has read counts only once it has applied it.
		_, position, _ = fed.WaitForChanges(t.Context(), position, 0)
		expect(1)
		u.Applied()
		expect(0)
		// A host that is behind takes nothing back of what has been applied.
		table.lag(1)
		if _, _, err := fed.WaitForChanges(t.Context(), position, 0); err != nil {
			t.Fatal(err)
		}
		u.Applied()
		table.lag(0)
		expect(0)
		table.set(EraOf(1), errors.New("down"))
		expectError()
		table.set(EraOf(2), nil)
		expectError()
	})
}

// Guards against a herd of taken-up streams of which each reads the store, and against one that is told what was read before it asked.
func TestUnreadRowsAreReadForAllThatAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &feedTable{era: EraOf(1)}
		table.put("a")
		u := NewUnread(common.NewQuietDeps("host-1", "d"), table, everyInterval)
		_, _, _ = u.Fed(table).ReadAll(t.Context())
		u.Applied()
		const asked = 1000
		var wg sync.WaitGroup
		for i := range asked {
			wg.Go(func() {
				table.put(strconv.Itoa(i))
				if rows, err := u.Rows(t.Context()); err != nil || len(rows) < i+1 {
					t.Errorf("%d rows, error %v; at least %d expected", len(rows), err, i+1)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if atMost := asked/int(unreadInterval/time.Millisecond) + 3; table.calls > atMost {
			t.Errorf("%d calls, at most %d expected", table.calls, atMost)
		}
	})
}

func TestUnreadRowsAreNotWaitedForLongerThanTheCallerDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &feedTable{era: EraOf(1)}
		table.put("a")
		u := NewUnread(common.NewQuietDeps("host-1", "d"), table, everyInterval)
		_, _, _ = u.Fed(table).ReadAll(t.Context())
		u.Applied()
		_, _ = u.Rows(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := u.Rows(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v", err)
		}
		time.Sleep(time.Second)
	})
}
