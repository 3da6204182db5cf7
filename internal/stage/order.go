package stage

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Paths of an engine's interface for orders.
const (
	PathState  = "/v1/state"
	PathOrders = "/v1/orders"
)

// ErrOrder reports an order without a model or a fencing number.
var ErrOrder = errors.New("order needs a model, a version and a fencing number")

// EngineState is what an engine reports of itself.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Loading says that the engine is carrying out an order and takes no work.
	Loading bool `json:"loading,omitempty"`
	// Fence is the highest fencing number that the engine has seen.
	Fence int64 `json:"fence"`
}

// Order tells an engine what to load.
type Order struct {
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// UnmarshalJSON decodes an order and checks it.
func (o *Order) UnmarshalJSON(b []byte) error {
	type plain Order
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode order: %w", err)
	}
	if p.Fence <= 0 || p.Model == "" || p.Version == "" {
		return fmt.Errorf("check order: %w", ErrOrder)
	}
	*o = Order(p)
	return nil
}
