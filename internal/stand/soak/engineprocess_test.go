package soak

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startTestEngine starts an unframed engine of version v7, and returns it with its address.
func startTestEngine(t *testing.T) (*engineProcess, string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	e, err := startEngine(self, filepath.Join(t.TempDir(), "log"), engineConfig{
		ID:       "engine-1",
		Version:  "v7",
		Unframed: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	var row struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal(e.RegistrationJSON("ready"), &row); err != nil {
		t.Fatal(err)
	}
	return e, row.Address
}

// askEngine sends a request with a prompt to the engine, and returns the body and the error with which that ended.
func askEngine(t *testing.T, addr, prompt string) (string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Request-Id", "r")
	req.Header.Set("Prompt-Prefix", prompt)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.ContentLength != -1 || len(resp.TransferEncoding) > 0 {
		t.Errorf("got a response with length %d and encoding %v, want neither", resp.ContentLength, resp.TransferEncoding)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against checks that miss what reached an engine before it was killed.
func TestReportsOfEngineOutliveItsProcess(t *testing.T) {
	e, addr := startTestEngine(t)
	body, err := askEngine(t, addr, "a:1,b:1")
	if want := eventTexts(1, streamEvents, "v7"); err != nil || body != want {
		t.Errorf("got body %q and error %v, want %q", body, err, want)
	}
	// The kernel may end the connection in order or reset it.
	if body, err := askEngine(t, addr, crashingPart+":1,b:1"); body != "" {
		t.Errorf("got body %q and error %v of an engine that crashes", body, err)
	}
	select {
	case <-e.Stopped():
	case <-time.After(5 * time.Second):
		t.Fatal("engine outlives a part of a prompt that crashes it")
	}
	if arrivals, runs := len(e.ArrivalLog()), len(e.Runs()); arrivals != 2 || runs != 2 {
		t.Errorf("%d arrivals and %d runs are known after the end of the engine, want 2 of each", arrivals, runs)
	}
	if _, err := askEngine(t, addr, "a:1,b:1"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got error %v of an engine that has ended, want that it refuses connections", err)
	}
}
