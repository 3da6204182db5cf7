package follow

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

var errDamaged = errors.New("damaged")

// decodeTestOrder decodes rows with keys such as out/d1. The value "?" is damaged.
func decodeTestOrder(key string, value []byte) (string, error) {
	domain, ok := strings.CutPrefix(key, "out/")
	if !ok {
		return "", nil
	}
	if domain == "" || string(value) == "?" {
		return domain, errDamaged
	}
	return domain, nil
}

func orderRows(domains ...string) []Row {
	rows := []Row{{Key: "config", Value: []byte("{}")}}
	for _, d := range domains {
		rows = append(rows, Row{Key: "out/" + d, Value: []byte("{}")})
	}
	return rows
}

// evacuationClock is a sink whose time a test sets.
type evacuationClock struct {
	*Evacuations
	now     time.Time
	changes int
}

func newEvacuationClock() *evacuationClock {
	c := &evacuationClock{now: time.Unix(1000, 0)}
	deps := common.NewQuietDeps("h", "d")
	deps.Now = func() time.Time { return c.now }
	c.Evacuations = NewEvacuations(deps, decodeTestOrder, func() { c.changes++ })
	return c
}

// text returns the domains in force, with a question mark after each unconfirmed one.
func (c *evacuationClock) text() string {
	var out []string
	for _, o := range c.List() {
		if o.Unconfirmed {
			o.Domain += "?"
		}
		out = append(out, o.Domain)
	}
	return strings.Join(out, " ")
}

// TestOrderLastsUntilItIsTakenBack guards against an evacuated domain that is used again because the store compacted its history, came back from an older copy or holds a damaged row, and against one that stays empty after its order was taken back.
func TestOrderLastsUntilItIsTakenBack(t *testing.T) {
	removed := func(domain string) []Row { return []Row{{Key: "out/" + domain, Deleted: true}} }
	type step func(c *evacuationClock)
	reset := func(rows ...string) step { return func(c *evacuationClock) { c.Reset(orderRows(rows...)) } }
	restore := func(rows ...string) step { return func(c *evacuationClock) { c.Restore(orderRows(rows...)) } }
	apply := func(rows []Row) step { return func(c *evacuationClock) { c.Apply(rows) } }
	wait := func(d time.Duration) step { return func(c *evacuationClock) { c.now = c.now.Add(d) } }
	config := []Row{{Key: "config", Value: []byte("{}")}}
	scenarios := []struct {
		name  string
		steps []step
		want  string
	}{
		{name: "an order that the first read finds", steps: []step{reset("a")}, want: "a"},
		{name: "an order that is written later", steps: []step{reset(), apply(orderRows("a"))}, want: "a"},
		{name: "an order that is taken back", steps: []step{reset("a", "b"), apply(removed("a"))}, want: "b"},
		{name: "an order that was taken back in a history that the store dropped", steps: []step{reset("a", "b"), reset("b")}, want: "b"},
		{name: "a table that is read again", steps: []step{reset("a"), reset("a")}, want: "a"},
		{name: "a restored store without the order", steps: []step{reset("a"), restore(), wait(time.Hour)}, want: "a?"},
		{name: "a restored store whose table is read once more", steps: []step{reset("a"), restore(), reset(), wait(time.Hour)}, want: "a?"},
		{name: "a second restore", steps: []step{reset("a"), restore(), restore(), wait(time.Hour)}, want: "a?"},
		{name: "an order that is written again after a restore", steps: []step{reset("a"), restore(), apply(config), apply(orderRows("a")), wait(time.Hour)}, want: "a"},
		{name: "another write of the operator just after a restore", steps: []step{reset("a"), restore(), apply(config), wait(operatorGrace - 1)}, want: "a?"},
		{name: "an order that the operator does not write again after a restore", steps: []step{reset("a"), restore(), apply(config), wait(operatorGrace)}},
		{name: "an order that is removed after a restore", steps: []step{reset("a"), restore(), apply(removed("a"))}},
		{name: "an order of the copy that had been taken back", steps: []step{reset("a"), apply(removed("a")), restore("a")}, want: "a"},
		{name: "an order that only a restored store holds still", steps: []step{reset("a", "b"), restore("a"), wait(time.Hour)}, want: "a b?"},
		{name: "a damaged order", steps: []step{reset(), apply([]Row{{Key: "out/a", Value: []byte("?")}})}, want: "a"},
		{name: "a damaged order that is taken back", steps: []step{reset(), apply([]Row{{Key: "out/a", Value: []byte("?")}}), apply(removed("a"))}},
		{name: "an order without a domain", steps: []step{reset(), apply([]Row{{Key: "out/", Value: []byte("{}")}}), apply(removed(""))}},
		{name: "an order that another host knows", steps: []step{reset(), func(c *evacuationClock) { c.LearnEvacuation(EvacuationNotice{Domain: "a", AgeMS: 50}) }, reset(), wait(time.Hour)}, want: "a?"},
		{name: "an order that ends soon on the other host", steps: []step{reset(), func(c *evacuationClock) { c.LearnEvacuation(EvacuationNotice{Domain: "a", EndsInMS: 300}) }, wait(300 * time.Millisecond)}},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			c := newEvacuationClock()
			for _, s := range sc.steps {
				s(c)
			}
			So(c.text(), ShouldEqual, sc.want)
		})
	}
}

// TestHostsTellOnlyWhatTheStoreLacks guards against an order that one host learned late and spreads after it was taken back.
func TestHostsTellOnlyWhatTheStoreLacks(t *testing.T) {
	Convey("Given a host that knows two orders", t, func() {
		c := newEvacuationClock()
		c.Reset(orderRows("a", "b"))
		c.now = c.now.Add(time.Second)
		So(c.UnconfirmedEvacuations(), ShouldBeEmpty)
		Convey("it tells those that a restored store lacks, with their age and the time until they end", func() {
			c.EnterEra()
			So(c.UnconfirmedEvacuations(), ShouldHaveLength, 2)
			c.Restore(orderRows("b"))
			So(c.UnconfirmedEvacuations(), ShouldResemble, []EvacuationNotice{{Domain: "a", AgeMS: 1000}})
			c.Apply(orderRows())
			c.now = c.now.Add(operatorGrace / 2)
			So(c.UnconfirmedEvacuations(), ShouldResemble, []EvacuationNotice{{Domain: "a", AgeMS: 2000, EndsInMS: 1000}})
		})
	})
	Convey("A notice without a domain, or with a negative time, is not valid", t, func() {
		for _, text := range []string{`{}`, `{"domain":"a","age_ms":-1}`, `{"domain":"a","ends_in_ms":-1}`, `7`} {
			var n EvacuationNotice
			So(n.UnmarshalJSON([]byte(text)), ShouldNotBeNil)
		}
	})
}

// TestSyncOnlyWhenOrdersChange guards against the cost of a sync of all upstreams with each configuration.
func TestSyncOnlyWhenOrdersChange(t *testing.T) {
	Convey("Rows that change no order call for no sync, but for the first read", t, func() {
		c := newEvacuationClock()
		So(c.Loaded(), ShouldBeFalse)
		c.Reset(orderRows())
		So(c.Loaded(), ShouldBeTrue)
		So(c.changes, ShouldEqual, 1)
		c.Apply(orderRows())
		So(c.changes, ShouldEqual, 1)
		c.Apply(orderRows("a"))
		c.Apply(orderRows("a"))
		So(c.changes, ShouldEqual, 2)
	})
}
