package room

import (
	"encoding/json"
	"testing"
)

// TestNeedIsCheckedWhenDecoded guards against figures of another host that would make a ledger wrong for everybody.
func TestNeedIsCheckedWhenDecoded(t *testing.T) {
	scenarios := []struct {
		name  string
		text  string
		valid bool
	}{
		{name: "whole", text: `{"pool":"p","stage":1,"pieces":3,"bytes":10}`, valid: true},
		{name: "without a pool", text: `{"stage":1,"pieces":3}`},
		{name: "negative pieces", text: `{"pool":"p","pieces":-3}`},
		{name: "negative size", text: `{"pool":"p","pieces":3,"bytes":-1}`},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var n Need
			if err := json.Unmarshal([]byte(sc.text), &n); (err == nil) != sc.valid {
				t.Errorf("got error %v, want valid %v", err, sc.valid)
			}
		})
	}
}
