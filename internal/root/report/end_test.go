package report

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/front/tally"
)

// partialStore holds one report, of whose object it returns the first bytes.
type partialStore struct {
	Store
	index  plat.Row
	object []byte
}

func (s *partialStore) List(_ context.Context, _, _, after string, _ int) ([]plat.Row, error) {
	if after >= s.index.Key {
		return nil, nil
	}
	return []plat.Row{s.index}, nil
}

func (s *partialStore) Object(context.Context, string) ([]byte, error) {
	return s.object, nil
}

// Guards against a part of a report, from an object store that ended while it sent it without a length, taken for all of it (class of incident ORDER).
func TestReportIsReadOnlyIfItIsWhole(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := HostReport{
		Host:     "one",
		Interval: intervalOf(now),
		Live:     []string{"one"},
	}
	index, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	r.Counts = []tally.Count{{Account: "a", Pipeline: "p", Sent: 3, Answered: 3, InTime: 3}}
	whole, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	s := &partialStore{
		index: plat.Row{Table: tableName, Key: r.key(), Value: index},
	}
	for n := range len(whole) + 1 {
		s.object = whole[:n]
		if _, err := Summarize(t.Context(), s, now, now, ""); (err == nil) != (n == len(whole)) {
			t.Fatalf("after %d of %d bytes the error is %v", n, len(whole), err)
		}
	}
}
