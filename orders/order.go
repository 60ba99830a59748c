package orders

import (
	"fmt"

	"github.com/google/uuid"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	Load     Kind = "load"
	Unload   Kind = "unload"
	SetRole  Kind = "set_role"
	ExportKV Kind = "export_kv"
	ImportKV Kind = "import_kv"
)

// Order is a command to an engine. Loads, unloads and roles describe the target state, and exports and imports name
// their cache, so that a retry is idempotent even when the engine has discarded the result for the ID.
type Order struct {
	// ID is the same in every retry of the order.
	ID string `json:"id"`
	// Server is the backend server of the engine.
	Server string `json:"server"`
	// Fence is the fencing token of the issuer's lease.
	Fence int64 `json:"fence"`
	Kind  Kind  `json:"kind"`
	// Model, Version and Adapter name what to load or unload; Adapter may be empty.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Role is "prefill", "decode" or empty for both.
	Role string `json:"role,omitempty"`
	// Cache names the exported KV cache.
	Cache string `json:"cache,omitempty"`
	// Class is the class of a load. RateBytes is its share of the weight store's read rate in bytes/s; 0 means no limit.
	Class     LoadClass `json:"class,omitempty"`
	RateBytes int64     `json:"rate_bytes,omitempty"`
}

// NewID returns a new unique order ID.
func NewID() string { return uuid.NewString() }

// InvalidError reports an order with a missing or invalid field. Nothing was sent.
type InvalidError struct {
	Kind  Kind
	Field string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("order %q needs field %q", e.Kind, e.Field) }

// Validate returns an *InvalidError unless the order is complete.
func (o *Order) Validate() error {
	required := map[string]string{"id": o.ID, "server": o.Server}
	switch o.Kind {
	case Load, Unload:
		required["model"], required["version"] = o.Model, o.Version
	case ExportKV, ImportKV:
		required["cache"] = o.Cache
	case SetRole:
		if o.Role != "" && o.Role != "prefill" && o.Role != "decode" {
			return &InvalidError{Kind: o.Kind, Field: "role"}
		}
	default:
		return &InvalidError{Kind: o.Kind, Field: "kind"}
	}
	for field, value := range required {
		if value == "" {
			return &InvalidError{Kind: o.Kind, Field: field}
		}
	}
	return nil
}

// State is the state of an order in the engine.
type State string

// The states of an order. Throttled means that the weight store rejected the load, which had no effect.
const (
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Throttled State = "throttled"
)

// Result is an engine's response to an order.
type Result struct {
	ID     string `json:"id"`
	State  State  `json:"state"`
	Detail string `json:"detail,omitempty"`
}

// Refusal is an engine's response when it rejects an order.
type Refusal struct {
	// Floor is the lowest fencing token that the engine accepts, 0 if it rejected the order for another reason.
	Floor   int64  `json:"floor,omitempty"`
	Message string `json:"message"`
}

// PathOrders accepts an Order by POST and returns its Result by GET on PathOrders + "/<id>". The status is 409 for a
// stale fencing token, 400 for an invalid order and 404 for an unknown one.
const PathOrders = "/engine/v1/orders"
