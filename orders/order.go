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

// Order tells an engine what to do. Loads, unloads and roles describe a state, exports and imports name their
// cache, so that a repeat has no further effect even when the engine has forgotten the ID.
type Order struct {
	// ID is the same in every repeat of the order.
	ID string `json:"id"`
	// Server is the backend server that the order is for.
	Server string `json:"server"`
	// Fence is the fencing number of the issuer's lease.
	Fence int64 `json:"fence"`
	Kind  Kind  `json:"kind"`
	// Model, Version and Adapter say what to load or unload; Adapter may be empty.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Role is "prefill", "decode" or empty for both.
	Role string `json:"role,omitempty"`
	// Cache names the exported KV cache.
	Cache string `json:"cache,omitempty"`
	// Class and RateBytes tell a loading engine its class and its share of the weight store's rate, in bytes/s;
	// 0 is no limit.
	Class     LoadClass `json:"class,omitempty"`
	RateBytes int64     `json:"rate_bytes,omitempty"`
}

// NewID returns an ID for an order.
func NewID() string { return uuid.NewString() }

// InvalidError says that an order lacks a field; nothing was sent.
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

// State is the state of an order at the engine.
type State string

// The states. Throttled means that the weight store refused the load, which had no effect.
const (
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Throttled State = "throttled"
)

// Result is an engine's answer to an order.
type Result struct {
	ID     string `json:"id"`
	State  State  `json:"state"`
	Detail string `json:"detail,omitempty"`
}

// Refusal is an engine's answer when it did not take an order.
type Refusal struct {
	// Floor is the lowest fencing number that the engine takes, 0 if the refusal has another reason.
	Floor   int64  `json:"floor,omitempty"`
	Message string `json:"message"`
}

// PathOrders takes an Order by POST and returns its Result by GET on PathOrders + "/<id>". A refusal of an old
// fencing number has status 409, an invalid order 400, an order that is not known 404.
const PathOrders = "/engine/v1/orders"
