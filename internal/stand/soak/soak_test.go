package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	seeds     = flag.Uint64("soak-seeds", 1, "number of seeds to play; CI plays the default")
	firstSeed = flag.Uint64("soak-first", 0, "first seed to play")
	hosts     = flag.Int("soak-hosts", 5, "number of entry hosts")
	faultTime = flag.Duration("soak-faults", 15*time.Second, "time in which faults begin")
	prebuilt  = flag.String("soak-binary", "", "prebuilt program of an entry host; empty means to build entryd")
	evacuate  = flag.Bool("soak-evacuate", true, "whether an operator evacuates a zone, which programs of earlier landings do not know")
	streams   = flag.Bool("soak-streams", false, "whether only faults beside releases are played, while clients only send streams that they take up")
	shared    = flag.Bool("soak-shared-reads", false, "whether hosts are in two failure domains, in each of which few read the store")
	keep      = flag.String("soak-keep", "", "directory that keeps settings, logs and schedules of failed seeds")
)

// TestMain runs an engine instead of the tests if a soak has started this program as one.
func TestMain(m *testing.M) {
	if config := os.Getenv(EngineEnv); config != "" {
		if err := ServeEngine(config, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// hostBinary returns the program of an entry host, which it builds with the race detector unless a flag names one.
func hostBinary(t *testing.T) string {
	t.Helper()
	if *prebuilt != "" {
		return *prebuilt
	}
	return buildHost(t)
}

// buildHost builds the program of an entry host with the race detector.
func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "entryd")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "github.com/cornelwing/cornelwing/cmd/entryd").CombinedOutput()
	if err != nil {
		t.Fatalf("build entryd: %v\n%s", err, out)
	}
	return binary
}

// TestProcessesKeepPromisesUnderFaults guards against broken rules that appear only between real processes, and when several faults overlap.
func TestProcessesKeepPromisesUnderFaults(t *testing.T) {
	binary := hostBinary(t)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// The processes are ended also if the test is interrupted.
	ctx, stop := signal.NotifyContext(t.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			dir := t.TempDir()
			report, err := Run(ctx, Options{
				Binary:       binary,
				EngineBinary: self,
				Dir:          dir,
				Seed:         seed,
				Hosts:        *hosts,
				Faults:       *faultTime,
				NoEvacuation: !*evacuate,
				SharedReads:  *shared,
				Streams:      *streams,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("seed %d: %d faults, %d requests, %d whole, %d whole in HTTP/1.0, %d took a stream up, others by status: %v", seed, len(report.Schedule), report.Requests, report.Whole, report.WholeHTTP10, report.TakenUp, report.Failed)
			for _, v := range report.Violations {
				t.Error(v)
			}
			if t.Failed() && *keep != "" {
				keepFailure(t, dir, seed, report)
			}
		})
	}
}

// keepFailure copies what a failed seed has left to a directory of its own.
func keepFailure(t *testing.T, dir string, seed uint64, report Report) {
	t.Helper()
	to := filepath.Join(*keep, fmt.Sprintf("seed-%d", seed))
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Log(err)
		return
	}
	if err := os.WriteFile(filepath.Join(to, "schedule.txt"), []byte(strings.Join(report.Schedule, "\n")+"\n"), 0o644); err != nil {
		t.Log(err)
	}
}
