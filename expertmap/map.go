// Package expertmap implements expert maps, which assign the experts of each layer to the ranks of a lock-step group. It
// contains the rule by which all ranks switch to a new map in the same step, the placement algorithms, and the
// detection of slow ranks (stragglers). It performs no I/O.
package expertmap

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// EmptySlot marks a slot without an expert.
const EmptySlot = uint16(0xffff)

// Limits of a Shape. They leave room above the design target of 64 ranks, 256 experts and 60 layers.
const (
	MaxRanks   = 1024
	MaxExperts = 4096
	MaxLayers  = 1024
	// MaxSlots bounds the slots of all ranks in all layers, and with them the experts of all layers, as each has a slot.
	// A search keeps some tens of bytes for each.
	MaxSlots = 1 << 19
	// MaxPlacements bounds the pairs of a rank and an expert in all layers. A search keeps two bytes for each.
	MaxPlacements = 1 << 24
)

// Shape holds the dimensions of a map.
type Shape struct {
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"`
	Layers  int `json:"layers"`
	// Slots is the number of experts that a rank can hold in each layer.
	Slots int `json:"slots"`
}

// ShapeError reports a shape that cannot hold its experts or exceeds a limit.
type ShapeError struct{ Shape Shape }

func (e *ShapeError) Error() string {
	return fmt.Sprintf("shape of %d ranks x %d slots is too large or cannot hold %d experts in %d layers",
		e.Shape.Ranks, e.Shape.Slots, e.Shape.Experts, e.Shape.Layers)
}

// Validate returns a *ShapeError unless the shape is within the limits and every expert fits.
func (s Shape) Validate() error {
	withinLimits := s.Ranks > 0 && s.Ranks <= MaxRanks && s.Layers > 0 && s.Layers <= MaxLayers &&
		s.Experts > 0 && s.Experts <= MaxExperts
	if !withinLimits || s.Slots <= 0 || s.Slots > s.Experts || s.Ranks*s.Slots < s.Experts || !s.fitsMemory() {
		return &ShapeError{Shape: s}
	}
	return nil
}

// fitsMemory reports whether a process can search a map of the shape, whose numbers are within their own limits.
func (s Shape) fitsMemory() bool {
	return s.Layers*s.Ranks*s.Slots <= MaxSlots && s.Layers*s.Ranks*s.Experts <= MaxPlacements
}

// Map assigns experts to the slots of all ranks. It is immutable after NewMap and safe for concurrent use.
type Map struct {
	Version    int64
	Shape      Shape
	assignment []uint16
	digest     string
}

// AssignmentError reports an invalid assignment of experts to slots.
type AssignmentError struct {
	Layer   int
	Problem string
}

func (e *AssignmentError) Error() string { return fmt.Sprintf("layer %d: %s", e.Layer, e.Problem) }

// NewMap returns a map with the given assignment, which is ordered by layer, rank and slot. The map takes ownership of
// the slice. NewMap fails with a *ShapeError, or with an *AssignmentError when the number of slots is wrong or an
// expert of a layer is missing, out of range or assigned twice to one rank.
func NewMap(version int64, shape Shape, assign []uint16) (*Map, error) {
	if err := shape.Validate(); err != nil {
		return nil, err
	}
	if len(assign) != shape.Layers*shape.Ranks*shape.Slots {
		return nil, &AssignmentError{Problem: fmt.Sprintf("%d slots given", len(assign))}
	}
	m := &Map{Version: version, Shape: shape, assignment: assign}
	for l := range shape.Layers {
		if err := m.validateLayer(l); err != nil {
			return nil, err
		}
	}
	m.digest = m.computeDigest()
	return m, nil
}

func (m *Map) validateLayer(l int) error {
	placed := make([]bool, m.Shape.Experts)
	for r := range m.Shape.Ranks {
		slots := m.Slots(l, r)
		for i, e := range slots {
			if e == EmptySlot {
				continue
			}
			if int(e) >= m.Shape.Experts {
				return &AssignmentError{Layer: l, Problem: fmt.Sprintf("expert %d does not exist", e)}
			}
			if slices.Contains(slots[:i], e) {
				return &AssignmentError{Layer: l, Problem: fmt.Sprintf("rank %d holds expert %d twice", r, e)}
			}
			placed[e] = true
		}
	}
	for e, ok := range placed {
		if !ok {
			return &AssignmentError{Layer: l, Problem: fmt.Sprintf("no rank holds expert %d", e)}
		}
	}
	return nil
}

// Slots returns the experts that a rank holds in a layer. The caller must not modify the slice.
func (m *Map) Slots(layer, rank int) []uint16 {
	from := (layer*m.Shape.Ranks + rank) * m.Shape.Slots
	return m.assignment[from : from+m.Shape.Slots]
}

// Digest returns the hexadecimal SHA-256 of the version, shape and assignment.
func (m *Map) Digest() string { return m.digest }

func (m *Map) computeDigest() string {
	buf := make([]byte, 0, 40+2*len(m.assignment))
	for _, v := range []int64{
		m.Version, int64(m.Shape.Ranks), int64(m.Shape.Experts), int64(m.Shape.Layers), int64(m.Shape.Slots),
	} {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(v))
	}
	sum := sha256.Sum256(append(buf, m.encodeAssignment()...))
	return hex.EncodeToString(sum[:])
}

func (m *Map) encodeAssignment() []byte {
	buf := make([]byte, 0, 2*len(m.assignment))
	for _, e := range m.assignment {
		buf = binary.LittleEndian.AppendUint16(buf, e)
	}
	return buf
}

// mapJSON is the JSON form of a Map. The assignment is base64 of 16-bit little-endian integers, so that a map of
// 64 ranks x 5 slots x 60 layers takes 51 KB.
type mapJSON struct {
	Version int64  `json:"version"`
	Shape   Shape  `json:"shape"`
	Assign  []byte `json:"assign"`
	Digest  string `json:"digest"`
}

// MarshalJSON implements json.Marshaler.
func (m *Map) MarshalJSON() ([]byte, error) {
	return json.Marshal(mapJSON{Version: m.Version, Shape: m.Shape, Assign: m.encodeAssignment(), Digest: m.digest})
}

// DigestError reports a map whose content does not match its digest.
type DigestError struct {
	Version       int64
	Expected, Got string
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("map version %d has digest %.12s, expected %.12s", e.Version, e.Got, e.Expected)
}

// UnmarshalJSON implements json.Unmarshaler. It fails with the errors of NewMap or with a *DigestError.
func (m *Map) UnmarshalJSON(raw []byte) error {
	var w mapJSON
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	if len(w.Assign)%2 != 0 {
		return &AssignmentError{Problem: fmt.Sprintf("assignment has %d bytes, an odd number", len(w.Assign))}
	}
	assign := make([]uint16, len(w.Assign)/2)
	for i := range assign {
		assign[i] = binary.LittleEndian.Uint16(w.Assign[2*i:])
	}
	decoded, err := NewMap(w.Version, w.Shape, assign)
	if err != nil {
		return err
	}
	if decoded.digest != w.Digest {
		return &DigestError{Version: w.Version, Expected: w.Digest, Got: decoded.digest}
	}
	*m = *decoded
	return nil
}

// TransfersPerRank returns the number of transfers of each rank for a change to another map of the same shape. A
// transfer copies the weights of one expert of one layer that the rank holds in the new map but not in the old one.
func TransfersPerRank(from, to *Map) []int {
	transfers := make([]int, to.Shape.Ranks)
	for l := range to.Shape.Layers {
		for r := range to.Shape.Ranks {
			old := from.Slots(l, r)
			for _, e := range to.Slots(l, r) {
				if e != EmptySlot && !slices.Contains(old, e) {
					transfers[r]++
				}
			}
		}
	}
	return transfers
}

// TotalTransfers returns the sum of TransfersPerRank.
func TotalTransfers(from, to *Map) int {
	total := 0
	for _, n := range TransfersPerRank(from, to) {
		total += n
	}
	return total
}
