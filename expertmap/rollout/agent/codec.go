package agent

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/expertmap/rollout"
)

// maxOrderBytes bounds the JSON of an order. It has room for the map of a group of a few hundred ranks.
const maxOrderBytes = 4 << 20

// maxPlainOrderBytes bounds an order that is not compressed, which is read whole. Changes of every expert of a group of a
// few hundred ranks take some tens of kilobytes.
const maxPlainOrderBytes = 128 << 10

// wireOrder is the JSON form of an order.
type wireOrder struct {
	rollout.Order
	// WantsReport is set if the issuer evaluates the report of the order.
	WantsReport bool `json:"report,omitempty"`
	// Base is the digest of the map from which changes lead to the map of a Prepare, Digest that of the result. Both are
	// empty if the order has the whole map.
	Base   string `json:"base,omitempty"`
	Digest string `json:"digest,omitempty"`
	// changes follow the JSON after a line feed, because base64 would take a third more.
	changes []byte
}

// changesSeparator stands between the JSON of an order, which does not contain it, and the changes.
const changesSeparator = '\n'

// Codec encodes the orders of one issuer. Orders are plain JSON: setting up a gzip writer for each order takes most of the
// issuer's processor time for a round of orders. A Prepare has the changes from the last map that was sent to the agents;
// an agent that does not know this map responds with status 400 and then gets the whole map, compressed with gzip. The
// same order is sent to every rank of a group, so the last encoding of each kind is cached. Codec is safe for concurrent
// use.
type Codec struct {
	mu           sync.Mutex
	small, whole encodedOrder
	// base is the last encoded map, previous the one before it, on which the encoding of base is based.
	base, previous mapVersion
}

// encodedOrder is the body of the last order.
type encodedOrder struct {
	order rollout.Order
	body  []byte
}

// matches reports whether the encoding is that of an order. An issuer does not reuse a version with another map.
func (e *encodedOrder) matches(o rollout.Order) bool {
	p := &e.order
	return e.body != nil && p.Operation == o.Operation && p.Version == o.Version && p.Pass == o.Pass && p.Fence == o.Fence &&
		p.Epoch == o.Epoch && (p.Report == nil) == (o.Report == nil)
}

// encode returns the small encoding of an order.
func (c *Codec) encode(o rollout.Order) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.small.matches(o) {
		return c.small.body, nil
	}
	if o.Operation == rollout.Prepare {
		return c.encodePrepare(o)
	}
	body, err := json.Marshal(wireOrder{Order: o, WantsReport: o.Report != nil})
	if err != nil {
		return nil, err
	}
	c.small = encodedOrder{o, body}
	return body, nil
}

// encodePrepare returns the encoding of a Prepare as changes, or the whole map if there is no map to base it on.
func (c *Codec) encodePrepare(o rollout.Order) ([]byte, error) {
	next := newMapVersion(o.Experts)
	if c.base.digest != next.digest {
		c.previous, c.base = c.base, next
	}
	changes, ok := encodeChanges(c.previous.experts, next.experts)
	if !ok {
		body, err := c.encodeWholeLocked(o)
		c.small = encodedOrder{o, body}
		return body, err
	}
	w := wireOrder{Order: o, WantsReport: o.Report != nil, Base: c.previous.digest, Digest: next.digest}
	w.Experts = nil
	body, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	body = append(append(body, changesSeparator), changes...)
	c.small = encodedOrder{o, body}
	return body, nil
}

// encodeWhole returns the gzip-compressed JSON of an order with its whole map, which earlier versions of this program
// decode too.
func (c *Codec) encodeWhole(o rollout.Order) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encodeWholeLocked(o)
}

func (c *Codec) encodeWholeLocked(o rollout.Order) ([]byte, error) {
	if c.whole.matches(o) {
		return c.whole.body, nil
	}
	data, err := json.Marshal(wireOrder{Order: o, WantsReport: o.Report != nil})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writing to a buffer cannot fail.
	_, _ = w.Write(data)
	_ = w.Close()
	c.whole = encodedOrder{o, out.Bytes()}
	return out.Bytes(), nil
}

// UnknownMapError reports an order that is based on a map that the agent does not know. The order was not executed.
type UnknownMapError struct{ Base string }

func (e *UnknownMapError) Error() string { return fmt.Sprintf("the map %s is not known", e.Base) }

// decodeOrder decodes an order, and completes and records the map of a Prepare. It fails with an *UnknownMapError or a
// decoding error.
func decodeOrder(r io.Reader, maps *mapStore) (rollout.Order, error) {
	w, err := decodeWireOrder(r)
	if err != nil {
		return rollout.Order{}, merry.Wrap(err)
	}
	o := w.Order
	if w.WantsReport {
		o.Report = &rollout.OrderReport{}
	}
	if o.Operation != rollout.Prepare {
		return o, nil
	}
	if w.Base == "" {
		maps.put(newMapVersion(o.Experts))
		return o, nil
	}
	base := maps.get(w.Base)
	if base == nil {
		return o, merry.Wrap(&UnknownMapError{Base: w.Base})
	}
	if o.Experts, err = applyChanges(base, w.changes); err != nil {
		return o, err
	}
	next := newMapVersion(o.Experts)
	if next.digest != w.Digest {
		return o, merry.Wrap(&UnknownMapError{Base: w.Digest})
	}
	maps.put(next)
	return o, nil
}

func decodeWireOrder(r io.Reader) (wireOrder, error) {
	var w wireOrder
	in := bufio.NewReader(r)
	if magic, _ := in.Peek(2); !bytes.Equal(magic, []byte{0x1f, 0x8b}) { // The magic number of gzip.
		data, err := io.ReadAll(io.LimitReader(in, maxPlainOrderBytes))
		if err != nil {
			return w, err
		}
		text, changes, _ := bytes.Cut(data, []byte{changesSeparator})
		w.changes = changes
		return w, json.Unmarshal(text, &w)
	}
	z, err := gzip.NewReader(in)
	if err != nil {
		return w, err
	}
	return w, json.NewDecoder(io.LimitReader(z, maxOrderBytes)).Decode(&w)
}
