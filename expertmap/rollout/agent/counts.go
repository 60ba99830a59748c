package agent

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"sync"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/expertmap/rollout"
)

// wireState is the JSON form of a state whose counts follow after a line feed, as differences.
type wireState struct {
	rollout.State
	// CountsID identifies the counts, CountsBase the earlier counts from which they differ, empty for zero.
	CountsID   string `json:"counts_id,omitempty"`
	CountsBase string `json:"counts_base,omitempty"`
	// CountsLen is the number of counts.
	CountsLen int `json:"counts_len,omitempty"`
}

// maxCounts bounds the number of counts, expertmap.MaxLayers layers of 1,024 experts.
const maxCounts = 1 << 20

// countStore holds the last counts that an agent has sent or a client has received. It is safe for concurrent use.
type countStore struct {
	mu     sync.Mutex
	id     string
	counts rollout.Counts
	sent   int64
}

// encode returns the state with differences from the counts with the given ID if these were the last ones sent. prefix
// distinguishes the counts of this process from those of earlier ones.
func (c *countStore) encode(s rollout.State, base, prefix string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := wireState{State: s, CountsLen: len(s.Counts)}
	w.Counts = nil
	var from rollout.Counts
	if base != "" && base == c.id && len(c.counts) == len(s.Counts) {
		w.CountsBase, from = base, c.counts
	}
	c.sent++
	c.id, c.counts = prefix+strconv.FormatInt(c.sent, 36), s.Counts
	w.CountsID = c.id
	data, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	return appendCounts(append(data, changesSeparator), from, s.Counts), nil
}

// decode returns a state. A state of an agent of an earlier version has its counts in the JSON.
func (c *countStore) decode(r io.Reader) (rollout.State, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return rollout.State{}, merry.Wrap(err)
	}
	text, packed, _ := bytes.Cut(data, []byte{changesSeparator})
	var w wireState
	if err := json.Unmarshal(text, &w); err != nil {
		return rollout.State{}, merry.Wrap(err)
	}
	if w.CountsID == "" {
		return w.State, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(rollout.Counts, min(max(w.CountsLen, 0), maxCounts))
	if w.CountsBase != "" {
		if w.CountsBase != c.id || len(c.counts) != len(counts) {
			return w.State, merry.Wrap(&CountsError{})
		}
		copy(counts, c.counts)
	}
	if err := addCounts(counts, packed); err != nil {
		c.id = ""
		return w.State, err
	}
	c.id, c.counts, w.Counts = w.CountsID, counts, counts
	return w.State, nil
}

// lastID returns the ID of the last counts.
func (c *countStore) lastID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

// CountsError reports counts that cannot be decoded.
type CountsError struct{}

func (*CountsError) Error() string { return "invalid counts of a rank" }

// Differences are packed in one of two forms, whichever is shorter. Within a poll interval of
// some 80 ms, a rank under load counts 0, 1 or 2 units for most experts, so that 2 bits are enough; with little traffic
// most differences are 0.
const (
	// sparseCounts: for each difference other than 0, a byte with the number of zeros before it and the difference.
	sparseCounts = 's'
	// denseCounts: 2 bits for each difference, followed by the rest of each difference from denseEscape.
	denseCounts = 'd'
	// sparseEscape is the value of a half byte whose number follows as a variable-length integer, denseEscape the value of
	// 2 bits whose rest follows so.
	sparseEscape = 15
	denseEscape  = 3
	// densePerByte is the number of differences in a byte.
	densePerByte = 4
)

// appendCounts appends the differences of two lists of counts. An empty list from stands for zeros.
func appendCounts(data []byte, from, to rollout.Counts) []byte {
	diffs := slices.Clone(to)
	for i, n := range from {
		diffs[i] -= n // Correct modulo 65,536.
	}
	sparse, dense := appendSparse([]byte{sparseCounts}, diffs), appendDense([]byte{denseCounts}, diffs)
	if len(sparse) <= len(dense) {
		return append(data, sparse...)
	}
	return append(data, dense...)
}

func appendSparse(data []byte, diffs rollout.Counts) []byte {
	zeros := uint64(0)
	for _, diff := range diffs {
		if diff == 0 {
			zeros++
			continue
		}
		high, low := min(zeros, sparseEscape), min(uint64(diff), sparseEscape)
		data = append(data, byte(high<<4|low)) //nolint:gosec // Both are half bytes.
		if high == sparseEscape {
			data = binary.AppendUvarint(data, zeros)
		}
		if low == sparseEscape {
			data = binary.AppendUvarint(data, uint64(diff))
		}
		zeros = 0
	}
	return data
}

func appendDense(data []byte, diffs rollout.Counts) []byte {
	packed := make([]byte, (len(diffs)+densePerByte-1)/densePerByte)
	var rest []byte
	for i, diff := range diffs {
		packed[i/densePerByte] |= byte(min(diff, denseEscape)) << (2 * (i % densePerByte)) //nolint:gosec // 2 bits.
		if diff >= denseEscape {
			rest = binary.AppendUvarint(rest, uint64(diff-denseEscape))
		}
	}
	return append(append(data, packed...), rest...)
}

// addCounts adds differences to counts. It fails with a *CountsError.
func addCounts(counts rollout.Counts, data []byte) error {
	ok := false
	switch {
	case len(data) > 0 && data[0] == sparseCounts:
		ok = addSparse(counts, data[1:])
	case len(data) > 0 && data[0] == denseCounts:
		ok = addDense(counts, data[1:])
	}
	if !ok {
		return merry.Wrap(&CountsError{})
	}
	return nil
}

func addSparse(counts rollout.Counts, data []byte) bool {
	position := uint64(0)
	d := changeReader{data: data}
	for len(d.data) > 0 {
		packed := d.data[0]
		d.data = d.data[1:]
		zeros, diff := uint64(packed>>4), uint64(packed&sparseEscape)
		if zeros == sparseEscape {
			zeros = d.upTo(maxCounts)
		}
		if diff == sparseEscape {
			diff = d.next()
		}
		position += zeros
		if d.failed || position >= uint64(len(counts)) {
			return false
		}
		counts[position] += uint16(diff) //nolint:gosec // A 16-bit number.
		position++
	}
	return !d.failed
}

func addDense(counts rollout.Counts, data []byte) bool {
	size := (len(counts) + densePerByte - 1) / densePerByte
	if len(data) < size {
		return false
	}
	d := changeReader{data: data[size:]}
	for i := range counts {
		diff := uint64(data[i/densePerByte] >> (2 * (i % densePerByte)) & denseEscape)
		if diff == denseEscape {
			diff += d.next()
		}
		counts[i] += uint16(diff) //nolint:gosec // A 16-bit number.
	}
	return !d.failed && len(d.data) == 0
}
