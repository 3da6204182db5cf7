package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// daemonVars holds the values from /debug/vars of a daemon: CPU time in seconds and the number of heap allocations, both since its start.
type daemonVars struct {
	cpu     float64
	mallocs uint64
}

func readVars(ctx context.Context, t Target) (daemonVars, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.Operators+"/debug/vars", nil)
	if err != nil {
		return daemonVars{}, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+t.Operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return daemonVars{}, fmt.Errorf("read variables: %w", err)
	}
	defer resp.Body.Close()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return daemonVars{}, fmt.Errorf("decode variables: %w", err)
	}
	return decodeVars(all)
}

func decodeVars(all map[string]json.RawMessage) (daemonVars, error) {
	var v daemonVars
	var mem struct {
		Mallocs uint64
	}
	if err := json.Unmarshal(all["memstats"], &mem); err != nil {
		return daemonVars{}, fmt.Errorf("decode memory statistics: %w", err)
	}
	v.mallocs = mem.Mallocs
	for name, raw := range all {
		if !strings.HasPrefix(name, "cornelwing.") {
			continue
		}
		var daemon struct {
			CPU float64 `json:"cpu_seconds"`
		}
		if err := json.Unmarshal(raw, &daemon); err != nil {
			return daemonVars{}, fmt.Errorf("decode metrics: %w", err)
		}
		v.cpu = daemon.CPU
	}
	return v, nil
}
