package stand

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

const maxControlBytes = 1 << 20

// RunEntry is one line of the log of runs as JSON.
type RunEntry struct {
	Stage string `json:"stage"`
	Input string `json:"input"`
	Runs  int    `json:"runs"`
}

// Control returns the handler that switches faults, lists hosts and shows the runs.
func (w *Environment) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", w.listFaults)
	mux.HandleFunc("PUT /faults/{name}", w.setFaults)
	mux.HandleFunc("PUT /hosts/{name}", w.setHost)
	mux.HandleFunc("GET /runs", w.showRuns)
	return mux
}

func (w *Environment) listFaults(rw http.ResponseWriter, _ *http.Request) {
	all := map[string]fault.Faults{}
	for _, e := range w.endpoints {
		all[e.Name] = e.Faults.Get()
	}
	writeJSON(rw, all)
}

func (w *Environment) setFaults(rw http.ResponseWriter, r *http.Request) {
	e := w.Endpoint(r.PathValue("name"))
	if e == nil {
		http.Error(rw, "no such stand-in", http.StatusNotFound)
		return
	}
	var f fault.Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Apply(f); err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(rw, f)
}

func (w *Environment) setHost(rw http.ResponseWriter, r *http.Request) {
	var h plat.Host
	if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(&h); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if h.Name != r.PathValue("name") {
		http.Error(rw, "name differs from the path", http.StatusBadRequest)
		return
	}
	w.AddHost(h)
	writeJSON(rw, h)
}

func (w *Environment) showRuns(rw http.ResponseWriter, _ *http.Request) {
	entries := []RunEntry{}
	for run, n := range w.RunLog.Runs() {
		entries = append(entries, RunEntry{
			Stage: run.Stage,
			Input: run.Input,
			Runs:  n,
		})
	}
	writeJSON(rw, entries)
}

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(rw).Encode(body)
}
