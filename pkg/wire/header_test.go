package wire

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func header(name, value string) http.Header {
	h := http.Header{}
	if value != "" {
		h.Set(name, value)
	}
	return h
}

func TestHeaderValuesAreParsedOrRefused(t *testing.T) {
	timeouts := []struct {
		name  string
		value string
		want  time.Duration
		err   error
	}{
		{name: HeaderPrefer, value: "wait=8", want: 8 * time.Second},
		{name: HeaderPrefer, value: "respond-async, wait=10", want: 10 * time.Second},
		{name: HeaderPrefer, value: "wait=0", err: ErrDeadline},
		{name: HeaderPrefer, value: "wait=9223372036854", want: 0, err: ErrDeadline},
		{name: HeaderPrefer, value: "", want: 0},
		{name: HeaderTimeout, value: "1500m", want: 1500 * time.Millisecond},
		{name: HeaderTimeout, value: "2S", want: 2 * time.Second},
		{name: HeaderTimeout, value: "m", err: ErrDeadline},
		{name: HeaderTimeout, value: "-1S", err: ErrDeadline},
		{name: HeaderTimeout, value: "99999999H", err: ErrDeadline},
		{name: HeaderTimeout, value: "123456789m", err: ErrDeadline},
	}
	for _, sc := range timeouts {
		Convey("Deadline "+sc.name+" "+sc.value, t, func() {
			d, err := Timeout(header(sc.name, sc.value))
			So(err, ShouldEqual, sc.err)
			So(d, ShouldEqual, sc.want)
		})
	}
	urgencies := []struct {
		value string
		want  int
		err   error
	}{
		{value: "", want: DefaultUrgency},
		{value: "u=0", want: 0},
		{value: "u=7, i", want: 7},
		{value: "i", want: DefaultUrgency},
		{value: "u=8", err: ErrPriority},
		{value: "u=high", err: ErrPriority},
		{value: "u=", err: ErrPriority},
	}
	for _, sc := range urgencies {
		Convey("Priority "+sc.value, t, func() {
			u, err := Urgency(header(HeaderPriority, sc.value))
			So(err, ShouldEqual, sc.err)
			So(u, ShouldEqual, sc.want)
		})
	}
	keys := []struct {
		value string
		want  string
		err   error
	}{
		{value: "", want: ""},
		{value: `"8e03978e"`, want: "8e03978e"},
		{value: "8e03978e", want: "8e03978e"},
		{value: `""`, err: ErrKey},
		{value: "a b", err: ErrKey},
		{value: "a/b", err: ErrKey},
		{value: strings.Repeat("k", 201), err: ErrKey},
	}
	for _, sc := range keys {
		Convey("Key "+sc.value, t, func() {
			k, err := Key(header(HeaderKey, sc.value))
			So(err, ShouldEqual, sc.err)
			So(k, ShouldEqual, sc.want)
		})
	}
}

func TestUnmarshalRefusesInvalidMessages(t *testing.T) {
	scenarios := []struct {
		name string
		into any
		text string
		want string
	}{
		{name: "request without input", into: &Request{}, text: `{"input":""}`, want: "input must not be empty"},
		{name: "request with an unknown field", into: &Request{}, text: `{"input":"x","colour":1}`, want: "colour"},
		{name: "request for too many tokens", into: &Request{}, text: `{"input":"x","max_tokens":99999}`, want: "max_tokens"},
		{name: "answer without an outcome", into: &Answer{}, text: `{"request_id":"r"}`, want: "incomplete"},
		{name: "answer with another outcome", into: &Answer{}, text: `{"request_id":"r","outcome":"failed"}`, want: "incomplete"},
		{name: "problem with an undefined outcome", into: &Problem{}, text: `{"outcome":"maybe"}`, want: "maybe"},
	}
	for _, sc := range scenarios {
		Convey("The "+sc.name+" is refused", t, func() {
			err := json.Unmarshal([]byte(sc.text), sc.into)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, sc.want)
		})
	}
}
