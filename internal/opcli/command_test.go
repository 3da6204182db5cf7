package opcli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExitCodesAndMessages(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte("pipelines: []\ncolour: red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	nowhere := []string{"-addr", "http://127.0.0.1:1", "-token", "x"}
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
		{name: "no file", args: []string{"apply"}, code: 2, want: "one FILE is needed"},
		{name: "missing file", args: []string{"apply", filepath.Join(dir, "none")}, code: 1, want: "no such file"},
		{name: "bad document", args: append(append([]string{"diff"}, nowhere...), bad), code: 2, want: "line 2: field colour not found"},
		{name: "no daemon", args: append([]string{"status"}, nowhere...), code: 5, want: "cannot be reached"},
		{name: "drain nothing", args: append([]string{"drain"}, nowhere...), code: 2, want: "one UPSTREAM is needed"},
		{name: "token", args: []string{"token", "operator"}, code: 0, want: "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"},
		{name: "completion", args: []string{"completion"}, code: 0, want: "complete -o default"},
		{name: "trace of nothing", args: []string{"trace"}, code: 2, want: "-request ID is needed"},
		{name: "trace of a missing file", args: []string{"trace", "-request", "a", filepath.Join(dir, "none")}, code: 1, want: "no such file"},
		{name: "demo of nothing", args: []string{"demo", "-rate", "0"}, code: 2, want: "must be above 0"},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Run(context.Background(), sc.args, &out, &out)
			if code != sc.code || !strings.Contains(out.String(), sc.want) {
				t.Errorf("exit %d, said %q; want %d and %q", code, out.String(), sc.code, sc.want)
			}
		})
	}
}

func TestEveryCommandIsDescribed(t *testing.T) {
	for _, c := range Commands() {
		if c.Short == "" || c.Long == "" || c.run == nil {
			t.Errorf("command %s is not described", c.Name)
		}
	}
}
