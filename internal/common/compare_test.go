package common

import (
	"cmp"
	"testing"
)

func TestCompareBool(t *testing.T) {
	asInt := map[bool]int{false: 0, true: 1}
	for _, a := range []bool{false, true} {
		for _, b := range []bool{false, true} {
			if got, want := CompareBool(a, b), cmp.Compare(asInt[a], asInt[b]); got != want {
				t.Errorf("CompareBool(%v, %v) = %d, want %d", a, b, got, want)
			}
		}
	}
}
