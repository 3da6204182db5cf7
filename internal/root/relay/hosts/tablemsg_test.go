package hosts

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against damaged messages that are taken for news.
func TestDamagedMessagesOnTablesAreRejected(t *testing.T) {
	answers := []struct {
		name, text string
		valid      bool
	}{
		{name: "whole", text: `{"state":"followed","era":2,"version":7,"rows":[{"key":"a"}],"held_ms":3,"age_ms":4}`, valid: true},
		{name: "of a store without eras", text: `{"state":"followed","version":7,"held_ms":0,"age_ms":0}`, valid: true},
		{name: "with a state of a later build", text: `{"state":"resting"}`, valid: true},
		{name: "without a state", text: `{"version":7}`},
		{name: "with a negative age", text: `{"state":"followed","version":7,"age_ms":-1}`},
		{name: "with a negative time held", text: `{"state":"followed","version":7,"held_ms":-1}`},
		{name: "with a negative version", text: `{"state":"followed","version":-7}`},
		{name: "with a row without a key", text: `{"state":"followed","version":7,"rows":[{"value":"YQ=="}]}`},
		{name: "with an age that is no number", text: `{"state":"followed","version":7,"age_ms":"soon"}`},
		{name: "cut off", text: `{"state":"followed","version":7`},
	}
	for _, sc := range answers {
		Convey("An answer "+sc.name, t, func() {
			var a tableAnswer
			So(json.Unmarshal([]byte(sc.text), &a) == nil, ShouldEqual, sc.valid)
		})
	}
	questions := []struct {
		name, text string
		valid      bool
	}{
		{name: "for changes", text: `{"table":"upstreams","era":0,"after":7,"wait_ms":100,"age_ms":5}`, valid: true},
		{name: "for a whole table", text: `{"table":"upstreams","whole":true}`, valid: true},
		{name: "for no table", text: `{"after":7}`},
		{name: "with a negative wait", text: `{"table":"upstreams","wait_ms":-1}`},
		{name: "with a negative age", text: `{"table":"upstreams","age_ms":-1}`},
	}
	for _, sc := range questions {
		Convey("A question "+sc.name, t, func() {
			var q tableQuestion
			So(json.Unmarshal([]byte(sc.text), &q) == nil, ShouldEqual, sc.valid)
		})
	}
}
