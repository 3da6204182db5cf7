package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const validDocument = `pipelines:
  - name: chat
    deadline: 8s
    idempotent: true
    stages:
      - {name: encode, pool: encoders, idempotent: true, expected: 4ms}
      - {name: generate, pool: engines, idempotent: true, expected: 600ms}
pools:
  - {name: encoders, kind: worker, slots: 16, cost_per_second: 1, silence: 1s}
  - {name: engines, kind: engine, slots: 16, cost_per_second: 10, silence: 1s}
accounts:
  - {name: ring, key_sha256: a94a8fe5ccb19ba61c4c0873d391e987982fbbd3a94a8fe5ccb19ba61c4c0873, weight: 1, rate_per_second: 10}
objective:
  attainment: 0.995
`

func TestParseReportsEveryFaultWithItsLine(t *testing.T) {
	scenarios := []struct {
		name string
		from string
		to   string
		want []string
	}{
		{
			name: "unknown key",
			from: "    idempotent: true\n    stages",
			to:   "    idempotent: true\n    colour: red\n    stages",
			want: []string{"doc: line 5: field colour not found"},
		},
		{
			name: "duplicate key",
			from: "    deadline: 8s\n",
			to:   "    deadline: 8s\n    deadline: 9s\n",
			want: []string{`doc: line 4: mapping key "deadline" already defined at line 3`},
		},
		{
			name: "duration without a unit",
			from: "deadline: 8s",
			to:   "deadline: 8",
			want: []string{`doc: line 3: "8" is not a duration with a unit`},
		},
		{
			name: "unknown pool",
			from: "pool: encoders",
			to:   "pool: coders",
			want: []string{`doc: line 6: pipelines[0].stages[0].pool: there is no pool "coders"`},
		},
		{
			name: "two faults at once",
			from: "kind: worker, slots: 16",
			to:   "kind: wheel, slots: 0",
			want: []string{`doc: line 9: pools[0].kind: "wheel" is not one of`, "doc: line 9: pools[0].slots: 0 is not from 1"},
		},
		{
			name: "deadline shorter than its stages",
			from: "deadline: 8s",
			to:   "deadline: 500ms",
			want: []string{"doc: line 3: pipelines[0].deadline: 500ms is less than the 604ms"},
		},
		{
			name: "stage that makes the pipeline not idempotent",
			from: "pool: encoders, idempotent: true",
			to:   "pool: encoders, idempotent: false",
			want: []string{"doc: line 6: pipelines[0].stages[0].idempotent: a stage that is not idempotent"},
		},
		{
			name: "objective out of range",
			from: "attainment: 0.995",
			to:   "attainment: 1",
			want: []string{"doc: line 14: objective.attainment: 1 is not above 0"},
		},
		{
			name: "a wanted state for a pool of workers",
			from: "silence: 1s}\n  - {name: engines",
			to:   "silence: 1s, wanted: {model: m, version: v, roll_share: 0.1, max_loads: 1}}\n  - {name: engines",
			want: []string{"doc: line 9: pools[0].wanted: only pools of engines take orders"},
		},
		{
			name: "broken YAML",
			from: "pools:\n",
			to:   "pools: [\n",
			want: []string{"doc: line "},
		},
	}
	Convey("A valid document is accepted, and is unchanged after encoding and parsing", t, func() {
		d, err := Parse("doc", []byte(validDocument))
		So(err, ShouldBeNil)
		text, err := d.Encode()
		So(err, ShouldBeNil)
		again, err := Parse("doc", text)
		So(err, ShouldBeNil)
		So(again, ShouldResemble, d)
	})
	for _, sc := range scenarios {
		Convey("A document with "+sc.name+" is refused", t, func() {
			text := strings.Replace(validDocument, sc.from, sc.to, 1)
			So(text, ShouldNotEqual, validDocument)
			_, err := Parse("doc", []byte(text))
			So(err, ShouldNotBeNil)
			for _, w := range sc.want {
				So(err.Error(), ShouldContainSubstring, w)
			}
		})
	}
}

func TestWithAccountDoesNotModifyOriginal(t *testing.T) {
	Convey("A changed copy does not change its original", t, func() {
		d, err := Parse("doc", []byte(validDocument))
		So(err, ShouldBeNil)
		a := d.Accounts[0]
		a.Weight = 7
		c := d.WithAccount(a)
		So(d.Accounts[0].Weight, ShouldEqual, 1)
		So(c.Accounts[0].Weight, ShouldEqual, 7)
		a.Name = "other"
		So(len(c.WithAccount(a).Accounts), ShouldEqual, 2)
		So(len(c.Accounts), ShouldEqual, 1)
	})
}

// BenchmarkRevision measures decoding a revision and reports its encoded size, up to the required number of accounts.
func BenchmarkRevision(b *testing.B) {
	for _, accounts := range []int{100, 1000, 9800} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			d, err := Parse("doc", []byte(validDocument))
			if err != nil {
				b.Fatal(err)
			}
			for i := range accounts {
				d = d.WithAccount(Account{
					Name:          fmt.Sprintf("account-%04d", i),
					KeySHA256:     HashToken(fmt.Sprint(i)),
					Weight:        1,
					RatePerSecond: 10,
				})
			}
			data, err := json.Marshal(Revision{Number: 1, ChangeID: "c", Document: d})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var r Revision
				if err := json.Unmarshal(data, &r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
