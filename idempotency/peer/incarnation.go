package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lavendermoor.example/platform/kv"
)

// incarnationPrefix is the prefix of the keys of incarnation numbers in the key-value service.
const incarnationPrefix = "incarnation/"

// incarnationRecord is the value of incarnation/<server>. Owner tells the writer of a lost answer from another one.
type incarnationRecord struct {
	Incarnation int64  `json:"incarnation"`
	Owner       string `json:"owner"`
}

const (
	incarnationTries = 5
	incarnationPause = 100 * time.Millisecond
	recordPause      = 500 * time.Millisecond
	maxRecordPause   = 20 * time.Second
)

// Number is the incarnation of a process.
type Number struct {
	Incarnation int64
	// Recorded says that the key-value service holds the number.
	Recorded bool
}

// Incarnation returns the number of a process that starts. The first process of a server gets 1, which proves that it
// has no predecessor. Later ones get the present time in microseconds or, when that is larger, the number after the
// last one. When the service does not answer, the number is the present time and is not recorded; it is larger than 1,
// so that the process takes itself for a restarted holder, and larger than that of its predecessor as long as the
// clock of the server's instances is not set back.
func Incarnation(ctx context.Context, store kv.Store, server string, now func() time.Time) Number {
	owner := uuid.NewString()
	for range incarnationTries {
		number, err := takeIncarnation(ctx, store, server, incarnationRecord{Incarnation: 1, Owner: owner}, now().UnixMicro())
		if err == nil {
			return Number{Incarnation: number, Recorded: true}
		}
		sleep(ctx, incarnationPause)
	}
	return Number{Incarnation: now().UnixMicro()}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// takeIncarnation makes one attempt to write the record, whose number is used when the server has none yet. An attempt
// after a lost answer finds its own record.
func takeIncarnation(
	ctx context.Context, store kv.Store, server string, mine incarnationRecord, least int64,
) (int64, error) {
	key := incarnationPrefix + server
	entry, err := store.Get(ctx, key)
	var missing *kv.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, err
	}
	if err == nil {
		var last incarnationRecord
		if err := json.Unmarshal(entry.Value, &last); err != nil {
			return 0, merry.Wrap(err)
		}
		if last.Owner == mine.Owner {
			return last.Incarnation, nil
		}
		mine.Incarnation = max(last.Incarnation+1, least)
	}
	value, err := json.Marshal(mine)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	_, err = store.Put(ctx, key, value, entry.ModRevision, 0)
	return mine.Incarnation, err
}

// Record writes the number of a node that started without one, as soon as the service answers. It ends when the number
// is recorded, when a later incarnation is found, or with the context.
func (n *Node) Record(ctx context.Context, store kv.Store) {
	if !n.opts.Unrecorded {
		return
	}
	self := n.opts.Self
	mine := incarnationRecord{Incarnation: self.Incarnation, Owner: uuid.NewString()}
	for wait := recordPause; ctx.Err() == nil; wait = min(2*wait, maxRecordPause) {
		number, err := takeIncarnation(ctx, store, self.Server, mine, self.Incarnation)
		if err == nil {
			n.lock()
			n.table.SetRecorded(number == self.Incarnation)
			n.mu.Unlock()
			return
		}
		// The pause is random, so that the processes do not all come at once when the service returns.
		sleep(ctx, wait/2+rand.N(wait))
	}
}
