package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// vars is what is read from a daemon's published variables.
type vars struct {
	cpu     float64
	mallocs uint64
}

func readVars(ctx context.Context, t Target) (vars, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.Operators+"/debug/vars", nil)
	if err != nil {
		return vars{}, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+t.Operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return vars{}, fmt.Errorf("read variables: %w", err)
	}
	defer resp.Body.Close()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return vars{}, fmt.Errorf("decode variables: %w", err)
	}
	return pick(all)
}

func pick(all map[string]json.RawMessage) (vars, error) {
	var v vars
	var mem struct {
		Mallocs uint64
	}
	if err := json.Unmarshal(all["memstats"], &mem); err != nil {
		return vars{}, fmt.Errorf("decode memory statistics: %w", err)
	}
	v.mallocs = mem.Mallocs
	for name, raw := range all {
		if !strings.HasPrefix(name, "cornelwing.") {
			continue
		}
		var own struct {
			CPU float64 `json:"cpu_seconds"`
		}
		if err := json.Unmarshal(raw, &own); err != nil {
			return vars{}, fmt.Errorf("decode metrics: %w", err)
		}
		v.cpu = own.CPU
	}
	return v, nil
}
