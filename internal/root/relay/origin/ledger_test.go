package origin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/route"
)

func originAt(version string) Origin {
	return Origin{
		Pool:     "p",
		Version:  version,
		Upstream: route.Incarnation{Name: "u", Addr: "10.0.0.1:1"},
	}
}

func TestLedgerFindsWhatIsNeitherExpiredNorConflicting(t *testing.T) {
	type addition struct {
		at      time.Duration
		version string
		keep    time.Duration
	}
	cases := []struct {
		name    string
		adds    []addition
		at      time.Duration
		version string
		found   bool
	}{
		{name: "nothing added", found: false},
		{name: "added", adds: []addition{{0, "v1", time.Second}}, at: time.Second - 1, version: "v1", found: true},
		{name: "expired", adds: []addition{{0, "v1", time.Second}}, at: time.Second},
		{name: "added twice, kept longer", adds: []addition{{0, "v1", time.Second}, {0, "v1", 2 * time.Second}}, at: time.Second, version: "v1", found: true},
		{name: "added twice, never kept shorter", adds: []addition{{0, "v1", 2 * time.Second}, {0, "v1", time.Second}}, at: time.Second, version: "v1", found: true},
		{name: "said to have begun at two versions", adds: []addition{{0, "v1", time.Second}, {0, "v2", time.Second}, {0, "v1", time.Second}}, found: true},
		{name: "used again after its time", adds: []addition{{0, "v1", time.Second}, {time.Second, "v2", time.Second}}, at: time.Second, version: "v2", found: true},
		{name: "kept for ever", adds: []addition{{0, "v1", 1000 * time.Hour}}, at: maxRetention, found: false},
	}
	Convey("A ledger finds origins that are neither expired nor conflicting", t, func() {
		began := time.Unix(100, 0)
		for _, c := range cases {
			l := NewLedger()
			for _, a := range c.adds {
				l.Add(began.Add(a.at), 7, originAt(a.version), a.keep)
			}
			o, found := l.Find(began.Add(c.at), 7)
			So(c.name+": "+o.Version, ShouldEqual, c.name+": "+c.version)
			So(found, ShouldEqual, c.found)
		}
	})
}

func TestLedgerIsBoundedAndForgetsOldestFirst(t *testing.T) {
	Convey("A ledger with more streams than it holds", t, func() {
		l := NewLedger()
		now := time.Unix(100, 0)
		for i := range maxStreams + 10 {
			l.Add(now, Key(i), originAt("v1"), time.Minute)
		}
		So(l.Len(), ShouldEqual, maxStreams)
		_, found := l.Find(now, 9)
		So(found, ShouldBeFalse)
		_, found = l.Find(now, 10)
		So(found, ShouldBeTrue)
		Convey("drops expired ones as new ones come", func() {
			l.Add(now.Add(time.Minute), Key(maxStreams+10), originAt("v1"), time.Minute)
			So(l.Len(), ShouldEqual, 1)
		})
	})
}

// naiveStream is what a stream is known by in the naive version of a ledger.
type naiveStream struct {
	versions map[string]bool
	expires  time.Time
}

func TestLedgerAgainstNaiveVersion(t *testing.T) {
	Convey("A ledger finds the same as a naive version, over 200 seeds", t, func() {
		for seed := range uint64(200) {
			So(firstDifference(rand.New(rand.NewPCG(seed, 1))), ShouldBeEmpty)
		}
	})
}

// firstDifference adds random origins to a ledger and to a naive version of it, and describes where they first differ.
func firstDifference(rng *rand.Rand) string {
	l := NewLedger()
	naive := map[Key]naiveStream{}
	now := time.Unix(100, 0)
	for step := range 300 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		k := Key(rng.IntN(8))
		version := []string{"v1", "v2"}[rng.IntN(8)/7]
		keep := time.Duration(rng.IntN(1000)) * time.Millisecond
		l.Add(now, k, originAt(version), keep)
		n := naive[k]
		if !now.Before(n.expires) {
			n = naiveStream{versions: map[string]bool{}}
		}
		n.versions[version] = true
		if now.Add(keep).After(n.expires) {
			n.expires = now.Add(keep)
		}
		naive[k] = n
		for k := range Key(8) {
			o, found := l.Find(now, k)
			if !naive[k].allows(now, o, found) {
				return fmt.Sprintf("step %d, stream %d: found %v, %q", step, k, found, o.Version)
			}
		}
	}
	return ""
}

// allows reports whether the ledger may have found the origin.
func (n naiveStream) allows(now time.Time, o Origin, found bool) bool {
	known := now.Before(n.expires)
	sure := known && len(n.versions) == 1
	return found == known && o.Known() == sure && (!sure || n.versions[o.Version])
}

// Guards against streams that are refused after a loss of all hosts because an upstream was slow to say when it started.
func TestOnlyStreamsAtProcessesThatAnsweredShowAnotherVersion(t *testing.T) {
	cases := []struct {
		name  string
		begun Origin
		other bool
	}{
		{name: "the same version", begun: originAt("v1")},
		{name: "another version", begun: originAt("v2"), other: true},
		{name: "an unknown version, of another process than that of the row", begun: originAt(UnknownVersion), other: true},
		{name: "an unknown version, of a process that did not answer", begun: Origin{Pool: "p", Version: UnknownVersion, Upstream: originAt("v1").Upstream, Unanswered: true}},
	}
	Convey("A ledger with a stream", t, func() {
		now := time.Unix(100, 0)
		for _, c := range cases {
			l := NewLedger()
			c.begun.SentAt = now
			l.Add(now, 7, c.begun, time.Minute)
			So(c.name, ShouldNotBeEmpty)
			So(l.BeganAtOther("p", "v1", now.Add(-time.Second), now.Add(time.Second)), ShouldEqual, c.other)
		}
	})
}

func TestOriginChecksItselfWhenDecoded(t *testing.T) {
	texts := []struct {
		text  string
		valid bool
	}{
		{text: `{"pool":"p","version":"v1","upstream":{"name":"u","addr":"a"}}`, valid: true},
		{text: `{"version":"v1","upstream":{"name":"u","addr":"a"}}`},
		{text: `{"pool":"p","upstream":{"name":"u","addr":"a"}}`},
		{text: `{"pool":"p","version":"v1","upstream":{"name":"u"}}`},
		{text: `{"pool":1}`},
	}
	Convey("An origin needs a pool, a version and an upstream", t, func() {
		for _, c := range texts {
			var o Origin
			So(json.Unmarshal([]byte(c.text), &o) == nil, ShouldEqual, c.valid)
		}
	})
}
