package opcli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRunReturnsTheExitCodeAndPrintsTheReason(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte("pipelines: []\ncolour: red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	unreachable := []string{"-addr", "http://127.0.0.1:1", "-token", "x"}
	scenarios := []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "help", args: nil, code: 0, want: "cornelwing COMMAND"},
		{name: "help of a command", args: []string{"help", "apply"}, code: 0, want: "-base"},
		{name: "version", args: []string{"version"}, code: 0, want: "cornelwing"},
		{name: "unknown command", args: []string{"aply"}, code: 2, want: `no command "aply"`},
		{name: "unknown flag", args: []string{"status", "-colour"}, code: 2, want: "-colour"},
		{name: "apply without a file", args: []string{"apply"}, code: 2, want: "one FILE is needed"},
		{name: "apply of a missing file", args: []string{"apply", filepath.Join(dir, "none")}, code: 1, want: "no such file"},
		{name: "diff of an invalid document", args: append(append([]string{"diff"}, unreachable...), bad), code: 2, want: "line 2: field colour not found"},
		{name: "unreachable daemon", args: append([]string{"status"}, unreachable...), code: 5, want: "cannot be reached"},
		{name: "drain without an upstream", args: append([]string{"drain"}, unreachable...), code: 2, want: "one UPSTREAM is needed"},
		{name: "token", args: []string{"token", "operator"}, code: 0, want: "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"},
		{name: "completion", args: []string{"completion"}, code: 0, want: "complete -o default"},
		{name: "trace without a request ID", args: []string{"trace"}, code: 2, want: "-request ID is needed"},
		{name: "trace of a missing file", args: []string{"trace", "-request", "a", filepath.Join(dir, "none")}, code: 1, want: "no such file"},
		{name: "stages without a file", args: []string{"stages"}, code: 2, want: "one FILE is needed"},
		{name: "stages of a missing file", args: []string{"stages", filepath.Join(dir, "none")}, code: 1, want: "no such file"},
		{name: "stages of an invalid file", args: []string{"stages", bad}, code: 2, want: "colour"},
		{name: "stages of an example", args: []string{"stages", "-load", "0.01", "../../examples/stages/dsf-grown.yaml"}, code: 0, want: "on time / limit"},
		{name: "demo at rate 0", args: []string{"demo", "-rate", "0"}, code: 2, want: "must be above 0"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Run(context.Background(), sc.args, &out, &out)
			if code != sc.code || !strings.Contains(out.String(), sc.want) {
				t.Errorf("exit code %d, output %q; want code %d and %q in the output", code, out.String(), sc.code, sc.want)
			}
		})
	}
}

func TestEveryCommandHasHelpText(t *testing.T) {
	for _, c := range Commands() {
		if c.Short == "" || c.Long == "" || c.run == nil {
			t.Errorf("command %s has no short or long help text, or no run function", c.Name)
		}
	}
}

// startMetricsServer serves the body as the metrics of one host and returns the URL.
func startMetricsServer(t *testing.T, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestBurnCombinesTheMetricsOfAllReachableHosts(t *testing.T) {
	const window = `{"minutes":%d,"good":%d,"bad":%d,"rate":0}`
	host := func(good, bad int) string {
		var windows []string
		for _, m := range []int{5, 60, 30, 360} {
			windows = append(windows, fmt.Sprintf(window, m, good, bad))
		}
		return startMetricsServer(t, `{"host":"h","burn":{"objective":0.99,"severity":"calm","windows":[`+strings.Join(windows, ",")+`]}}`)
	}
	calm, bad := host(1000, 0), host(100, 900)
	scenarios := []struct {
		name string
		urls []string
		code int
		want []string
	}{
		{name: "no host misses the objective", urls: []string{calm}, code: 0, want: []string{"Alert: calm", "1000"}},
		{name: "one of ten hosts misses the objective", urls: []string{calm, calm, calm, calm, calm, calm, calm, calm, calm, bad}, code: 0, want: []string{"Alert: ticket", "9100", "9.00"}},
		{name: "half of the hosts miss the objective", urls: []string{calm, bad}, code: 0, want: []string{"Alert: page", "45.00"}},
		{name: "unreachable host", urls: []string{calm, "http://127.0.0.1:1/metrics"}, code: 5, want: []string{"missing: http://127.0.0.1:1/metrics", "Alert: calm", "1 of 2 hosts"}},
		{name: "metrics without a burn report", urls: []string{startMetricsServer(t, `{}`)}, code: 5, want: []string{"metrics contain no burn report"}},
		{name: "no URL", code: 2, want: []string{"metrics of at least one host"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Run(context.Background(), append([]string{"burn"}, sc.urls...), &out, &out)
			if code != sc.code {
				t.Errorf("exit code %d, want %d: %s", code, sc.code, out.String())
			}
			for _, want := range sc.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output %q does not contain %q", out.String(), want)
				}
			}
		})
	}
}
