package stand

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
)

const maxControlBytes = 1 << 20

// RunEntry is the JSON form of one entry in the run log.
type RunEntry struct {
	Stage string `json:"stage"`
	Input string `json:"input"`
	Runs  int    `json:"runs"`
}

// Control returns the HTTP handler that lists and sets the faults, adds hosts to the host list and lists the runs.
func (env *Environment) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", env.listFaults)
	mux.HandleFunc("PUT /faults/{name}", env.setFaults)
	mux.HandleFunc("PUT /hosts/{name}", env.setHost)
	mux.HandleFunc("GET /runs", env.listRuns)
	return mux
}

func (env *Environment) listFaults(rw http.ResponseWriter, _ *http.Request) {
	faultsByName := map[string]fault.Faults{}
	for _, e := range env.endpoints {
		faultsByName[e.Name] = e.Faults.Get()
	}
	writeJSON(rw, faultsByName)
}

func (env *Environment) setFaults(rw http.ResponseWriter, r *http.Request) {
	e := env.Endpoint(r.PathValue("name"))
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

func (env *Environment) setHost(rw http.ResponseWriter, r *http.Request) {
	var h plat.Host
	if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(&h); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if h.Name != r.PathValue("name") {
		http.Error(rw, "name differs from the path", http.StatusBadRequest)
		return
	}
	env.AddHost(h)
	writeJSON(rw, h)
}

func (env *Environment) listRuns(rw http.ResponseWriter, _ *http.Request) {
	entries := []RunEntry{}
	for run, n := range env.RunLog.Runs() {
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
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(rw).Encode(body)
}
