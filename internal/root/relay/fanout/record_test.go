package fanout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

func positionOf(era, version int64) follow.Position {
	return follow.Position{
		Era:     follow.EraOf(era),
		Version: version,
	}
}

func rowOf(key, value string) follow.Row {
	return follow.Row{
		Key:   key,
		Value: []byte(value),
	}
}

// Guards against hosts that miss changes, or go back, when they hear from one host after another.
func TestRandomRecordsTellAllChanges(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		if problem := playRecords(random); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
	}
}

// playRecords changes a table at random. Two hosts follow it in steps of their own, and a third one hears from either. It returns what is wrong in the end, or "".
func playRecords(random *rand.Rand) string {
	history := []follow.Row{}
	table := map[string]string{}
	followers := [2]Record{}
	for i := range followers {
		followers[i].Replace(nil, positionOf(1, 0), 0)
	}
	heard := map[string]string{}
	var at follow.Position
	for range 60 {
		key, value := fmt.Sprintf("k%d", random.IntN(5)), fmt.Sprintf("v%d", len(history))
		row := rowOf(key, value)
		row.Deleted = random.IntN(3) == 0
		history = append(history, row)
		table[key] = value
		if row.Deleted {
			delete(table, key)
		}
		f := &followers[random.IntN(2)]
		if random.IntN(2) == 0 {
			f.Apply(history[f.Position().Version:], positionOf(1, int64(len(history))), 0)
		}
		at = hear(&followers[random.IntN(2)], at, heard)
	}
	for i := range followers {
		f := &followers[i]
		f.Apply(history[f.Position().Version:], positionOf(1, int64(len(history))), 0)
	}
	hear(&followers[0], at, heard)
	if fmt.Sprint(heard) != fmt.Sprint(table) {
		return fmt.Sprintf("heard %v of %v", heard, table)
	}
	return ""
}

// hear applies what the record tells to the rows, and returns the position from which they go on.
func hear(r *Record, at follow.Position, rows map[string]string) follow.Position {
	changes, ok := r.Since(at)
	if !ok {
		clear(rows)
		changes = r.All()
	}
	for _, row := range changes {
		delete(rows, row.Key)
		if !row.Deleted {
			rows[row.Key] = string(row.Value)
		}
	}
	if !ok || at.Before(r.Position()) {
		return r.Position()
	}
	return at
}

func TestRecordKnowsWhatItCannotTell(t *testing.T) {
	Convey("Given a record of a whole table at version 7 of era 1", t, func() {
		var r Record
		r.Replace([]follow.Row{rowOf("a", "1")}, positionOf(1, 7), 3*time.Second)
		Convey("changes before that, or of another era, are not known", func() {
			for _, p := range []follow.Position{positionOf(1, 6), positionOf(2, 7), {}} {
				_, ok := r.Since(p)
				So(ok, ShouldBeFalse)
			}
		})
		Convey("a host that knows more is told nothing", func() {
			rows, ok := r.Since(positionOf(1, 9))
			So(ok, ShouldBeTrue)
			So(rows, ShouldBeEmpty)
		})
		Convey("an older confirmation does not replace a later one, but one of the next era does", func() {
			r.Apply(nil, positionOf(1, 5), time.Second)
			at, _ := r.ConfirmedAt()
			So(at, ShouldEqual, 3*time.Second)
			So(r.Position(), ShouldResemble, positionOf(1, 7))
			r.Replace(nil, positionOf(2, 1), 2*time.Second)
			at, _ = r.ConfirmedAt()
			So(at, ShouldEqual, 2*time.Second)
		})
		Convey("changes of another era are not added", func() {
			r.Apply([]follow.Row{rowOf("b", "1")}, positionOf(2, 9), 4*time.Second)
			So(r.All(), ShouldHaveLength, 1)
			So(r.Position(), ShouldResemble, positionOf(1, 7))
		})
		Convey("deleted rows are forgotten above a bound, and then the changes before that are not known", func() {
			for i := range maxDeleted + 10 {
				r.Apply([]follow.Row{{Key: fmt.Sprintf("x%d", i), Deleted: true}}, positionOf(1, int64(8+i)), 0)
			}
			So(r.deleted, ShouldBeLessThan, maxDeleted)
			_, ok := r.Since(positionOf(1, 8))
			So(ok, ShouldBeFalse)
			_, ok = r.Since(r.Position())
			So(ok, ShouldBeTrue)
			So(r.All(), ShouldHaveLength, 1)
		})
	})
}

func TestConfirmationIsNeverTooLate(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name                string
		confirmation        Confirmation
		askedAt, answeredAt time.Duration
		want                time.Duration
		fails               bool
	}{
		{
			name: "answered at once",
			confirmation: Confirmation{
				Age: 2 * second,
			},
			askedAt:    10 * second,
			answeredAt: 11 * second,
			want:       8 * second,
		},
		{
			name: "held",
			confirmation: Confirmation{
				Held: second,
				Age:  second / 2,
			},
			askedAt:    10 * second,
			answeredAt: 15 * second,
			want:       10*second + second/2,
		},
		{
			name: "held for longer than the question took",
			confirmation: Confirmation{
				Held: 2 * second,
			},
			askedAt:    10 * second,
			answeredAt: 11 * second,
			fails:      true,
		},
		{
			name: "negative age",
			confirmation: Confirmation{
				Age: -second,
			},
			askedAt:    10 * second,
			answeredAt: 11 * second,
			fails:      true,
		},
	}
	for _, sc := range cases {
		Convey("A confirmation that was "+sc.name, t, func() {
			at, err := sc.confirmation.At(sc.askedAt, sc.answeredAt)
			So(err != nil, ShouldEqual, sc.fails)
			So(at, ShouldEqual, sc.want)
		})
	}
}
