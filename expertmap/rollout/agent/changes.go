package agent

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
)

// mapVersion is the content of a map, the experts by layer and rank, with its digest.
type mapVersion struct {
	experts [][][]uint16
	digest  string
}

// digestBytes is the length of a digest. Digests only tell the maps of one group apart.
const digestBytes = 12

func newMapVersion(experts [][][]uint16) mapVersion {
	var data []byte
	for _, layer := range experts {
		data = binary.AppendUvarint(data, uint64(len(layer)))
		for _, held := range layer {
			data = appendExperts(data, held)
		}
	}
	sum := sha256.Sum256(data)
	return mapVersion{experts: experts, digest: hex.EncodeToString(sum[:digestBytes])}
}

func appendExperts(data []byte, held []uint16) []byte {
	data = binary.AppendUvarint(data, uint64(len(held)))
	for _, e := range held {
		data = binary.AppendUvarint(data, uint64(e))
	}
	return data
}

// maxKnownMaps is the number of maps that an agent remembers: the last one, and the one before it in case that the issuer
// repeats an order.
const maxKnownMaps = 2

// mapStore holds the last maps that an agent has received. It is safe for concurrent use.
type mapStore struct {
	mu    sync.Mutex
	known []mapVersion
}

// get returns the experts of a known map, or nil.
func (s *mapStore) get(digest string) [][][]uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.known {
		if m.digest == digest {
			return m.experts
		}
	}
	return nil
}

func (s *mapStore) put(m mapVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = slices.DeleteFunc(s.known, func(k mapVersion) bool { return k.digest == m.digest })
	s.known = append(s.known, m)
	s.known = s.known[max(len(s.known)-maxKnownMaps, 0):]
}

// maxMaskedExperts is the largest number of experts of a list whose changes are encoded by position.
const maxMaskedExperts = 16

// encodeChanges returns the changes from one map to another, all as variable-length integers. For each changed list of
// experts, in order of layer and rank, these are the number of unchanged lists before it, a bit mask of the changed
// positions, and the new experts at these positions. A list with another length, or a long one, has the mask 0 and is
// encoded whole. ok is false if the maps have different dimensions.
func encodeChanges(from, to [][][]uint16) (data []byte, ok bool) {
	if len(from) != len(to) || len(to) == 0 {
		return nil, false
	}
	unchanged := uint64(0)
	for l := range to {
		if len(from[l]) != len(to[l]) {
			return nil, false
		}
		for r, held := range to[l] {
			if slices.Equal(from[l][r], held) {
				unchanged++
				continue
			}
			data = appendListChange(binary.AppendUvarint(data, unchanged), from[l][r], held)
			unchanged = 0
		}
	}
	return data, true
}

func appendListChange(data []byte, from, to []uint16) []byte {
	if len(from) != len(to) || len(to) > maxMaskedExperts {
		return appendExperts(binary.AppendUvarint(data, 0), to)
	}
	mask := uint64(0)
	for i := range to {
		if from[i] != to[i] {
			mask |= 1 << i
		}
	}
	data = binary.AppendUvarint(data, mask)
	for i, e := range to {
		if from[i] != e {
			data = binary.AppendUvarint(data, uint64(e))
		}
	}
	return data
}

// ChangesError reports changes of a map that cannot be decoded.
type ChangesError struct{}

func (*ChangesError) Error() string { return "invalid changes of an expert map" }

// applyChanges is the inverse of encodeChanges. It shares the unchanged lists with base and fails with a *ChangesError.
func applyChanges(base [][][]uint16, data []byte) ([][][]uint16, error) {
	var lists []*[]uint16
	out := make([][][]uint16, len(base))
	for l := range base {
		out[l] = slices.Clone(base[l])
		for r := range out[l] {
			lists = append(lists, &out[l][r])
		}
	}
	d := changeReader{data: data}
	for position := uint64(0); len(d.data) > 0; position++ {
		position += d.next()
		if d.failed || position >= uint64(len(lists)) {
			return nil, merry.Wrap(&ChangesError{})
		}
		*lists[position] = d.listChange(*lists[position])
	}
	if d.failed {
		return nil, merry.Wrap(&ChangesError{})
	}
	return out, nil
}

// changeReader decodes variable-length integers. failed is set after the first invalid one.
type changeReader struct {
	data   []byte
	failed bool
}

// next returns the next 16-bit number.
func (d *changeReader) next() uint64 { return d.upTo(1<<16 - 1) }

func (d *changeReader) upTo(limit uint64) uint64 {
	n, size := binary.Uvarint(d.data)
	if size <= 0 || n > limit {
		d.data, d.failed = nil, true
		return 0
	}
	d.data = d.data[size:]
	return n
}

// listChange returns the changed list of experts.
func (d *changeReader) listChange(from []uint16) []uint16 {
	mask := d.next()
	if mask == 0 {
		return d.experts()
	}
	out := slices.Clone(from)
	for i := range out {
		if mask&(1<<i) != 0 {
			out[i] = uint16(d.next()) //nolint:gosec // next returns 16-bit numbers.
		}
	}
	d.failed = d.failed || mask>>len(out) != 0
	return out
}

func (d *changeReader) experts() []uint16 {
	n := d.next()
	if n > uint64(len(d.data)) {
		d.data, d.failed = nil, true
		return nil
	}
	out := make([]uint16, n)
	for i := range out {
		out[i] = uint16(d.next()) //nolint:gosec // next returns 16-bit numbers.
	}
	return out
}
