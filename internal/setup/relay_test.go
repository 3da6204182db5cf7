package setup

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const goodRelay = `host: {name: entry-1, domain: z}
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", peers: "10.0.0.1:3", metrics: "10.0.0.1:4"}
store: {address: "10.0.0.9:1"}
stop: {grace: 8s}
keys: {revoke: 5000ms}
retry: {ratio: 0.2, extra: 58}
`

func TestRelaySettings(t *testing.T) {
	scenarios := []struct {
		name, text string
		// want is a part of the error, or "" where the settings are good.
		want string
	}{
		{name: "good settings", text: goodRelay},
		{name: "an unknown key", text: goodRelay + "odd: 1\n", want: "line 7"},
		{name: "a key twice", text: goodRelay + "log: {level: info}\nlog: {level: info}\n", want: "line 8"},
		{name: "an odd level", text: goodRelay + "log: {level: loud}\n", want: "log.level"},
		{name: "nothing", want: "host.name"},
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
