package agent

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/expertmap/rollout"
)

// maxOrderBytes bounds the JSON of an order. It has room for the map of a group of a few hundred ranks.
const maxOrderBytes = 4 << 20

// Codec encodes orders as gzip-compressed JSON. It caches the last encoded Prepare, because the same order is sent to
// every rank of a group. It is safe for concurrent use.
type Codec struct {
	mu   sync.Mutex
	last rollout.Order
	body []byte
}

func (c *Codec) encode(o rollout.Order) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := o.Operation == rollout.Prepare && c.last.Operation == o.Operation && c.last.Version == o.Version &&
		c.last.Fence == o.Fence && c.last.Epoch == o.Epoch
	if cached {
		return c.body, nil
	}
	data, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writing to a buffer cannot fail.
	_, _ = w.Write(data)
	_ = w.Close()
	if o.Operation == rollout.Prepare {
		c.last, c.body = o, out.Bytes()
	}
	return out.Bytes(), nil
}

func decodeOrder(r io.Reader) (rollout.Order, error) {
	var o rollout.Order
	z, err := gzip.NewReader(r)
	if err != nil {
		return o, merry.Wrap(err)
	}
	return o, merry.Wrap(json.NewDecoder(io.LimitReader(z, maxOrderBytes)).Decode(&o))
}
