// Package rollout brings new expert maps into force on groups whose ranks switch at an armed pass and don't compare
// maps. A pass must never begin while two ranks of its group have different maps, whatever dies, is late or is lost:
// the group is held before the pass of the switch, every rank is armed for it, and the pass is released only when every
// rank has confirmed.
package rollout

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
)

// Armed says that a rank switches to a version as a pass begins.
type Armed struct {
	Version int64 `json:"version"`
	Pass    int64 `json:"pass"`
}

// State is what a rank reports of itself.
type State struct {
	Group string `json:"group"`
	// Epoch counts the formations of the group; a new one starts with map 0 and nothing prepared, armed or held.
	Epoch int64 `json:"epoch"`
	Rank  int   `json:"rank"`
	Size  int   `json:"size"`
	// Open says that the group processes requests.
	Open bool `json:"open"`
	// Lagging says that the report is of some hundred milliseconds ago.
	Lagging bool `json:"lagging,omitempty"`
	// Pass is the last one that was begun.
	Pass int64 `json:"pass"`
	// Version is that of the map in use, Prepared that of the next one once it is loaded, 0 without one.
	Version  int64  `json:"version"`
	Prepared int64  `json:"prepared"`
	Armed    *Armed `json:"armed,omitempty"`
	// Held is the pass that the group does not begin, nil if there is none.
	Held *int64 `json:"held,omitempty"`
	// Pace is above 1 when the rank is slow.
	Pace float64 `json:"pace"`
	// Leaving says that the rank takes no new work and ends soon; StartedMs is when it started, in Unix milliseconds, 0 if it does
	// not say.
	Leaving          bool  `json:"leaving,omitempty"`
	StartedMs        int64 `json:"started_ms,omitempty"`
	Running, Waiting int
	// Counts hold how often the rank's requests chose each expert, in order of layer and expert, in units of CountUnit
	// modulo 65,536; they grow from the rank's start. Nil unless asked for.
	Counts Counts `json:"counts,omitempty"`
	// Experts are those that the rank holds by layer. Nil unless asked for.
	Experts [][]uint16 `json:"experts,omitempty"`
}

// Counts are counts modulo 65,536. Their JSON form is base64 of 16-bit little-endian numbers, because a list of numbers
// for groups of 63 ranks takes more than the link of an instance carries.
type Counts []uint16

// MarshalJSON implements json.Marshaler.
func (c Counts) MarshalJSON() ([]byte, error) {
	buf := make([]byte, 0, 2*len(c))
	for _, n := range c {
		buf = binary.LittleEndian.AppendUint16(buf, n)
	}
	return json.Marshal(buf)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Counts) UnmarshalJSON(data []byte) error {
	var buf []byte
	if err := json.Unmarshal(data, &buf); err != nil {
		return err
	}
	*c = make(Counts, len(buf)/2)
	for i := range *c {
		(*c)[i] = binary.LittleEndian.Uint16(buf[2*i:])
	}
	return nil
}

// CountUnit is the unit of State.Counts, in tokens.
const CountUnit = 16

// StateOptions says what a state is to contain besides the report.
type StateOptions struct{ Counts, Experts bool }

// Operation is the kind of an order.
type Operation string

// The operations.
const (
	// Prepare loads a map.
	Prepare Operation = "prepare"
	// Arm makes a rank switch to a prepared version as a pass begins.
	Arm Operation = "arm"
	// Disarm undoes Arm.
	Disarm Operation = "disarm"
	// Hold keeps the group from beginning a pass.
	Hold Operation = "hold"
	// Release ends the hold of a pass; without such a hold it has no effect but to make the fencing number known.
	Release Operation = "release"
)

// Order is an order to a rank.
type Order struct {
	Operation Operation `json:"operation"`
	Epoch     int64     `json:"epoch"`
	Version   int64     `json:"version,omitempty"`
	Pass      int64     `json:"pass,omitempty"`
	// Experts is the content of a map by layer and rank, for Prepare.
	Experts [][][]uint16 `json:"experts,omitempty"`
	// Fence is the fencing number of the issuer's lease.
	Fence int64 `json:"fence"`
	// superseding marks the preparation of the map in use, by which a late order to arm is refused.
	superseding bool
}

// Rank is the access to one rank. Its methods end with the context.
type Rank interface {
	State(ctx context.Context, opts StateOptions) (State, error)
	// Order gives an order. It returns nil when the order has begun or its outcome already holds, a *RefusedError when it
	// had and will have no effect, and any other error when that is not known: the order may be carried out later.
	Order(ctx context.Context, o Order) error
}

// RefusedError says that a rank refused an order, which has no effect.
type RefusedError struct {
	Operation Operation
	// Fenced says that another issuer has used a higher fencing number.
	Fenced bool
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("order %s was refused (fenced: %t): %s", e.Operation, e.Fenced, e.Detail)
}

// UnansweredError says that an order got no answer, so that it may be carried out, now or later.
type UnansweredError struct {
	Operation Operation
	Cause     error
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("order %s was not answered: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }
