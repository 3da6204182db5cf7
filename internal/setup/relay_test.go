package setup

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const validRelay = `host: {name: entry-1, domain: z}
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", peers: "10.0.0.1:3", metrics: "10.0.0.1:4"}
store: {address: "10.0.0.9:1"}
stop: {grace: 8s}
keys: {revoke: 5000ms}
retry: {ratio: 0.2, extra: 58}
`

func TestReadRelayNamesTheInvalidSetting(t *testing.T) {
	scenarios := []struct {
		name, text string
		// want is contained in the error; it is "" for valid settings.
		want string
	}{
		{name: "valid settings", text: validRelay},
		{name: "an unknown key", text: validRelay + "odd: 1\n", want: "line 7"},
		{name: "a duplicate key", text: validRelay + "log: {level: info}\nlog: {level: info}\n", want: "line 8"},
		{name: "an unknown log level", text: validRelay + "log: {level: loud}\n", want: "log.level"},
		{name: "an empty file", want: "host.name"},
		{name: "a duration without a unit", text: "stop: {grace: 8}\n", want: "line 1"},
	}
	for _, sc := range scenarios {
		Convey("With "+sc.name, t, func() {
			path := filepath.Join(t.TempDir(), "settings.yaml")
			So(os.WriteFile(path, []byte(sc.text), 0o600), ShouldBeNil)
			_, err := ReadRelay(path)
			if sc.want == "" {
				So(err, ShouldBeNil)
				return
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, sc.want)
			So(err.Error(), ShouldContainSubstring, path)
		})
	}
}
