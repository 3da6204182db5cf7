package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// randomEdit returns a copy of the document with a random change of one or two entities.
func randomEdit(rng *rand.Rand, d Document, n int) Document {
	switch rng.IntN(6) {
	case 0:
		d = d.WithAccount(Account{Name: fmt.Sprintf("new-%d", n), KeySHA256: HashToken(fmt.Sprint(n)), Weight: 1, RatePerSecond: 1})
	case 1:
		a := d.Accounts[rng.IntN(len(d.Accounts))]
		a.Weight = 1 + rng.IntN(1000)
		d = d.WithAccount(a)
	case 2:
		if len(d.Accounts) > 1 {
			i := rng.IntN(len(d.Accounts))
			d.Accounts = append(append([]Account(nil), d.Accounts[:i]...), d.Accounts[i+1:]...)
		}
	case 3:
		p := d.Pools[0]
		p.Slots = 1 + rng.IntN(100)
		d = d.WithPool(p)
	case 4:
		d = d.WithDrained(fmt.Sprintf("u%d", rng.IntN(5)), rng.IntN(2) == 0)
	default:
		d.Objective.Attainment = 0.5 + rng.Float64()/4
		p := d.Pipelines[0]
		p.MaxTokens = rng.IntN(100)
		d = d.WithPipeline(p)
	}
	return d
}

func TestDeltaYieldsSameDocumentAsFullRevision(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	doc, err := Parse("doc", []byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	latest := Revision{Number: 1, ChangeID: "1", Document: doc}
	rebuilt := latest
	for n := 2; n < 2000; n++ {
		next := Revision{Number: int64(n), ChangeID: fmt.Sprint(n), Document: randomEdit(rng, latest.Document, n)}
		d, ok := NewDelta(latest, next)
		if !ok {
			t.Fatalf("got no delta to revision %d", n)
		}
		data, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Delta
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if rebuilt, err = rebuilt.WithDelta(decoded); err != nil {
			t.Fatal(err)
		}
		latest = next
		a, _ := json.Marshal(rebuilt)
		b, _ := json.Marshal(latest)
		if string(a) != string(b) {
			t.Fatalf("revision %d differs:\n%s\n%s", n, a, b)
		}
	}
}

func TestDeltaWithOtherBaseIsRefused(t *testing.T) {
	doc, err := Parse("doc", []byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	one := Revision{Number: 1, ChangeID: "1", Document: doc}
	two := Revision{Number: 2, ChangeID: "2", Document: doc.WithDrained("u", true)}
	d, _ := NewDelta(one, two)
	if _, err := two.WithDelta(d); !errors.Is(err, ErrDeltaMismatch) {
		t.Errorf("apply a delta to a revision other than its base: got error %v, want ErrDeltaMismatch", err)
	}
	other := one
	other.Document = doc.WithDrained("v", true).WithPool(Pool{Name: "more"})
	if _, err := other.WithDelta(d); !errors.Is(err, ErrDeltaMismatch) {
		t.Errorf("apply a delta to a base with another document: got error %v, want ErrDeltaMismatch", err)
	}
	reordered := two
	reordered.Document.Pools = []Pool{doc.Pools[1], doc.Pools[0]}
	if _, ok := NewDelta(one, reordered); ok {
		t.Error("got a delta for reordered pools")
	}
	if !reflect.DeepEqual(one.Document, doc) {
		t.Error("the base was changed")
	}
}

// BenchmarkDelta measures applying the change of one account at the required number of accounts, and reports the encoded
// size of the delta.
func BenchmarkDelta(b *testing.B) {
	d, err := Parse("doc", []byte(validDocument))
	if err != nil {
		b.Fatal(err)
	}
	for i := range 9800 {
		d.Accounts = append(d.Accounts, Account{Name: fmt.Sprintf("account-%04d", i), KeySHA256: HashToken(fmt.Sprint(i)), Weight: 1, RatePerSecond: 10})
	}
	a := d.Accounts[5000]
	a.Weight = 2
	old := Revision{Number: 1, ChangeID: "1", Document: d}
	delta, ok := NewDelta(old, Revision{Number: 2, ChangeID: "2", Document: d.WithAccount(a)})
	if !ok {
		b.Fatal("NewDelta cannot express the change of one account")
	}
	data, err := json.Marshal(delta)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := old.WithDelta(delta); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
