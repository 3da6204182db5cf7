package stage

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// HTTP paths of an engine's API for orders.
const (
	PathState  = "/v1/state"
	PathOrders = "/v1/orders"
)

// ErrIncompleteOrder is returned for an order that lacks a model, a version or a positive fencing number.
var ErrIncompleteOrder = errors.New("order needs a model, a version and a fencing number")

// EngineState is an engine's report of what it has loaded.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Loading is true while the engine carries out an order. The engine accepts no calls meanwhile.
	Loading bool `json:"loading,omitempty"`
	// Fence is the highest fencing number that the engine has received.
	Fence int64 `json:"fence"`
}

// Order instructs an engine to load a model version with its adapters and role.
type Order struct {
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// UnmarshalJSON decodes an order and returns an error if it is incomplete.
func (o *Order) UnmarshalJSON(b []byte) error {
	type plain Order
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode order: %w", err)
	}
	if p.Fence <= 0 || p.Model == "" || p.Version == "" {
		return fmt.Errorf("check order: %w", ErrIncompleteOrder)
	}
	*o = Order(p)
	return nil
}
