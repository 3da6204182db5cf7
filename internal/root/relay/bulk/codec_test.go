package bulk

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

func FuzzExpandNeverPanics(f *testing.F) {
	data, err := Compress([]byte(strings.Repeat("route ", 1000)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		content, err := Expand(data)
		if err != nil {
			return
		}
		again, err := Compress(content)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Expand(again)
		if err != nil || !bytes.Equal(back, content) {
			t.Errorf("%d bytes became %d, with error %v", len(content), len(back), err)
		}
	})
}

func TestReferenceIsChecked(t *testing.T) {
	cases := []struct {
		name, json string
		ok         bool
	}{
		{name: "valid", json: `{"id":"00112233445566778899aabbccddeeff","size":5}`, ok: true},
		{name: "short name", json: `{"id":"0011","size":5}`},
		{name: "no size", json: `{"id":"00112233445566778899aabbccddeeff"}`},
		{name: "negative size", json: `{"id":"00112233445566778899aabbccddeeff","size":-1}`},
		{name: "size of more than a host takes", json: `{"id":"00112233445566778899aabbccddeeff","size":99999999}`},
	}
	for _, sc := range cases {
		var r Ref
		if err := json.Unmarshal([]byte(sc.json), &r); (err == nil) != sc.ok {
			t.Errorf("%s: got error %v", sc.name, err)
		}
	}
}
