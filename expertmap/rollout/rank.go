// Package rollout rolls out new expert maps to groups whose ranks switch at an armed forward pass and do not compare
// maps. No pass may begin while two ranks of a group have different maps, even if processes fail or orders are delayed
// or lost. A switch therefore holds the group before a chosen pass, arms every rank for that pass, and releases the
// pass only after every rank has confirmed. A pass is what package expertmap calls a step.
package rollout

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
)

// Armed is the version to which a rank will switch at the start of a pass.
type Armed struct {
	Version int64 `json:"version"`
	Pass    int64 `json:"pass"`
}

// State is the state that a rank reports.
type State struct {
	Group string `json:"group"`
	// Epoch counts how often the group was formed. A new epoch starts with map version 0 and with nothing prepared,
	// armed or held.
	Epoch int64 `json:"epoch"`
	Rank  int   `json:"rank"`
	Size  int   `json:"size"`
	// Serving reports that the group serves requests.
	Serving bool `json:"open"`
	// Lagging reports that the state is a few hundred milliseconds old.
	Lagging bool `json:"lagging,omitempty"`
	// Pass is the last pass that has begun.
	Pass int64 `json:"pass"`
	// Version is the version of the map in use. Prepared is the version of the next map once it is loaded, 0 if none
	// is.
	Version  int64  `json:"version"`
	Prepared int64  `json:"prepared"`
	Armed    *Armed `json:"armed,omitempty"`
	// Held is the pass that the rank keeps the group from beginning, nil if there is none.
	Held *int64 `json:"held,omitempty"`
	// Pace is the relative pass time of the rank, above 1 when the rank is slow.
	Pace float64 `json:"pace"`
	// Leaving reports that the rank accepts no new requests and shuts down soon. StartedMs is the start time of the
	// rank in Unix milliseconds, 0 if not reported.
	Leaving   bool  `json:"leaving,omitempty"`
	StartedMs int64 `json:"started_ms,omitempty"`
	// Running and Waiting are the numbers of requests that the rank runs and has queued.
	Running, Waiting int
	// Counts are the numbers of times that requests on this rank chose each expert, in order of layer and expert, in
	// units of CountUnit modulo 65,536. They start at 0 when the rank starts. Nil unless requested.
	Counts Counts `json:"counts,omitempty"`
	// Experts are the experts that the rank holds, by layer. Nil unless requested.
	Experts [][]uint16 `json:"experts,omitempty"`
}

// IsMember reports whether the state is that of a rank of a group of the given size. Ranks begin at 0.
func (s State) IsMember(group string, size int) bool {
	return s.Group == group && s.Rank >= 0 && s.Rank < size
}

// Counts are counters modulo 65,536. Their JSON form is the base64 encoding of 16-bit little-endian numbers, because a
// JSON list of numbers for a group of 63 ranks exceeds the network bandwidth of an instance.
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

// CountUnit is the unit of State.Counts, in tokens. In 0.1 s, a rank of 63 chooses an expert for about 5 tokens; units of
// 16 tokens would give each estimate of 16 ranks an error of a third.
const CountUnit = 4

// StateOptions select the optional fields of a State.
type StateOptions struct{ Counts, Experts bool }

// Operation is the type of an order.
type Operation string

// The operations.
const (
	// Prepare loads a map.
	Prepare Operation = "prepare"
	// Arm makes a rank switch to a prepared version at the start of a pass.
	Arm Operation = "arm"
	// Disarm cancels Arm.
	Disarm Operation = "disarm"
	// Hold keeps the group from beginning a pass.
	Hold Operation = "hold"
	// Release ends the hold of a pass. If the pass is not held, it only raises the fencing token below which the rank
	// refuses orders.
	Release Operation = "release"
)

// Order is a command to a rank.
type Order struct {
	Operation Operation `json:"operation"`
	Epoch     int64     `json:"epoch"`
	Version   int64     `json:"version,omitempty"`
	Pass      int64     `json:"pass,omitempty"`
	// Experts are the experts of a map by layer and rank, for Prepare.
	Experts [][][]uint16 `json:"experts,omitempty"`
	// Fence is the fencing token of the issuer.
	Fence int64 `json:"fence"`
	// Report, unless nil, receives details of how the order was carried out. Agents send an order to their rank
	// repeatedly only with a Report, because its issuer has to know of attempts that may still be executed.
	Report *OrderReport `json:"-"`
	// superseding marks a Prepare of the map in use that makes ranks refuse a pending Arm of an older version.
	superseding bool
}

// OrderReport is what an issuer learns about an order besides its result.
type OrderReport struct {
	// Unanswered is set if an attempt got no response and may still be executed, whatever the result of the last one.
	Unanswered bool `json:"unanswered,omitempty"`
	// Loaded is set if the rank has loaded the map of a Prepare.
	Loaded bool `json:"loaded,omitempty"`
}

// Rank sends calls to one rank. Its methods return when the context ends.
type Rank interface {
	State(ctx context.Context, opts StateOptions) (State, error)
	// Order sends an order. It returns nil when the rank has begun to execute the order or is already in the resulting
	// state, and a *RefusedError when the order has no effect, now or later. After any other error the order may still
	// be executed later.
	Order(ctx context.Context, o Order) error
}

// RefusedError reports that a rank refused an order, which has no effect.
type RefusedError struct {
	Operation Operation
	// Fenced reports that another issuer has used a higher fencing token.
	Fenced bool
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("order %s was refused (fenced: %t): %s", e.Operation, e.Fenced, e.Detail)
}

// NoResponseError reports that an order got no response. It may have been executed, or may be executed later.
type NoResponseError struct {
	Operation Operation
	Cause     error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("order %s was not answered: %v", e.Operation, e.Cause)
}

func (e *NoResponseError) Unwrap() error { return e.Cause }
