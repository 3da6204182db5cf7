package blame

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cornelwing/cornelwing/internal/root/crash"
)

func TestEvidenceIsBounded(t *testing.T) {
	Convey("Evidence remembers a bounded number of crashes, requests and survivals, and drops the oldest", t, func() {
		e := NewEvidence()
		for i := range 3 * maxCrashes {
			e.AddCrash(at(float64(i)), crashAt(float64(i), req(1, 1)))
		}
		So(e.crashes, ShouldHaveLength, maxCrashes)
		So(e.crashes[0].At, ShouldEqual, at(2*maxCrashes))
		many := crashAt(0.5)
		many.At = at(3 * maxCrashes)
		for i := range 2 * MaxRequests {
			many.Requests = append(many.Requests, req(i))
		}
		e.AddCrash(many.At, many)
		So(e.crashes[len(e.crashes)-1].Requests, ShouldHaveLength, MaxRequests)
		for i := range 5 * maxSurvivals {
			e.AddSurvival(Survival{Fingerprint: crash.Fingerprint(i + 1), At: at(1)})
		}
		So(len(e.survivals.recent)+len(e.survivals.older), ShouldBeLessThanOrEqualTo, 2*maxSurvivals)
		_, ok := e.survivals.last(crash.Fingerprint(5 * maxSurvivals))
		So(ok, ShouldBeTrue)
	})
	Convey("A ledger watches a bounded number of suspects", t, func() {
		l := NewLedger()
		var list []crash.Fingerprint
		for i := range 2 * maxWatched {
			list = append(list, crash.Fingerprint(i+1))
		}
		l.Watch(start, list)
		So(l.watched, ShouldHaveLength, maxWatched)
		l.Watch(start.Add(2*watchTime), list[:1])
		So(len(l.watched), ShouldBeLessThanOrEqualTo, maxWatched)
	})
	Convey("A crash is forgotten after the retention time", t, func() {
		e := NewEvidence()
		So(e.AddCrash(start.Add(retention), crashAt(0, req(1))), ShouldBeFalse)
	})
}

func TestUpdateIsCheckedWhenDecoded(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		err  error
	}{
		{name: "valid", text: `{"crashes":[{"upstream":"u","age_ms":5,"requests":[{"own":1,"parts":[2]}]}],"survivals":[{"print":3,"age_ms":0}]}`},
		{name: "crash without an upstream", text: `{"crashes":[{"age_ms":5}]}`, err: ErrInvalidUpdate},
		{name: "crash in the future", text: `{"crashes":[{"upstream":"u","age_ms":-5}]}`, err: ErrInvalidUpdate},
		{name: "survival in the future", text: `{"survivals":[{"print":3,"age_ms":-1}]}`, err: ErrInvalidUpdate},
		{name: "request without a fingerprint", text: `{"crashes":[{"upstream":"u","requests":[{"parts":[2]}]}]}`, err: ErrInvalidRequest},
		{name: "request with too many parts", text: `{"crashes":[{"upstream":"u","requests":[{"own":1,"parts":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17]}]}]}`, err: ErrInvalidRequest},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var u Update
			if err := json.Unmarshal([]byte(sc.text), &u); !errors.Is(err, sc.err) {
				t.Errorf("got error %v, want %v", err, sc.err)
			}
		})
	}
}

func TestUpdatesDoNotDependOnTheClocksOfHosts(t *testing.T) {
	Convey("A host whose clock is an hour off takes over crashes and survivals in the order in which they happened", t, func() {
		told := NewUpdate(at(10), []Crash{crashAt(4, req(1, 1)), crashAt(6, req(2, 1)), crashAt(7, req(3, 1)), crashAt(8, req(4, 1))}, []Survival{{Fingerprint: 1, At: at(5)}})
		for _, skew := range []time.Duration{-time.Hour, 0, time.Hour} {
			e := NewEvidence()
			e.Merge(at(10).Add(skew), told)
			So(e.Against(1), ShouldHaveLength, 3)
		}
	})
}

func TestSurvivalsAreReportedOnlyOfSuspects(t *testing.T) {
	Convey("Given a ledger", t, func() {
		l := NewLedger()
		So(l.Survived(at(1), req(1, 2), 0), ShouldBeEmpty)
		Convey("survivals of a suspect are returned while it is watched, at most one per interval", func() {
			l.Watch(at(1), []crash.Fingerprint{2})
			So(l.Survived(at(2), req(1, 2), time.Second), ShouldHaveLength, 1)
			So(l.Survived(at(2.5), req(1, 2), time.Second), ShouldBeEmpty)
			So(l.Survived(at(3.5), req(1, 2), time.Second), ShouldHaveLength, 1)
			So(l.Survived(at(1).Add(watchTime+time.Second), req(1, 2), time.Second), ShouldBeEmpty)
		})
		Convey("each suspect is asked for once per watchTime", func() {
			for i := range 2 {
				c := crashAt(float64(i), req(i, 7))
				l.Merge(at(2), NewUpdate(at(2), []Crash{c}, nil))
			}
			So(l.DueSurvey(at(2)), ShouldResemble, []crash.Fingerprint{7})
			So(l.DueSurvey(at(3)), ShouldBeEmpty)
			So(l.DueSurvey(at(3).Add(watchTime)), ShouldResemble, []crash.Fingerprint{7})
		})
	})
}

func ExampleVerdict_Blocks() {
	e := NewEvidence()
	for i := range 3 {
		c := crashAt(float64(i), req(i, 42))
		e.AddCrash(c.At, c)
	}
	fmt.Println(len(e.Verdict().Blocks(req(9, 42))), len(e.Verdict().Blocks(req(9, 43))))
	// Output: 1 0
}

// TestMessagesAboutBlockedPartsAreBounded guards against evidence that is too large for one message, which the receiver would refuse.
func TestMessagesAboutBlockedPartsAreBounded(t *testing.T) {
	Convey("The largest evidence of several parts fits into a message, and blocks them at the receiver", t, func() {
		const parts = 8
		l := NewLedger()
		now := at(2 * maxCrashes)
		all := make([]crash.Fingerprint, MaxParts)
		for i := range all {
			all[i] = crash.Fingerprint(1<<63) + crash.Fingerprint(i)
		}
		for i := range 2 * maxCrashes {
			c := crashAt(float64(i))
			for r := range MaxRequests {
				c.Requests = append(c.Requests, req(i*MaxRequests+r, all...))
			}
			l.Merge(now, NewUpdate(now, []Crash{c}, nil))
		}
		text, err := json.Marshal(l.Evidence(now, all[:parts]))
		So(err, ShouldBeNil)
		So(len(text), ShouldBeLessThan, 1<<20)
		var u Update
		So(json.Unmarshal(text, &u), ShouldBeNil)
		receiver := NewLedger()
		receiver.Merge(now, u)
		receiver.Assess(now)
		So(receiver.Blocks(req(1, all...)), ShouldHaveLength, MaxParts)
	})
}
