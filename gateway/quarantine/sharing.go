package quarantine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/configsync/mirror"
)

// RecordPrefix is the key prefix of the shared records.
const RecordPrefix = "quarantine/"

const (
	// maxPendingChanges bounds the changes that wait to be written.
	maxPendingChanges = 256
	// maxTells bounds the crashes of which peers are told at the same time.
	maxTells = 8
	// writeAttempts and writeRetryDelay bound how long the write of a crash is retried, at least as long as firstBlock.
	writeAttempts   = 240
	writeRetryDelay = 250 * time.Millisecond
	// probeTimeout bounds the calls that claim a probe, while a caller waits.
	probeTimeout = 500 * time.Millisecond
)

// Sharing exchanges the records of a quarantine with other gateways through the key-value service. Each record is under
// a lease, so that it is removed when no gateway needs it. Its methods may be called from any goroutine.
type Sharing struct {
	store      kv.Store
	client     *http.Client
	peers      func() []string
	quarantine *Quarantine
	log        *zap.Logger
	changes    chan change
	// untold are the crashes that the peers do not know yet.
	untold chan Record
}

// change is what the other gateways do not know yet of a part.
type change struct {
	part Part
	kind changeKind
	// record is the record of a first crash, set for crashed.
	record Record
}

type changeKind uint8

const (
	// crashed: a server crashed on a request with the part.
	crashed changeKind = iota
	// cleared: a request with the part was answered after the last crash.
	cleared
	// answered: a request with the part was answered before the first crash.
	answered
)

// SharingOptions are the dependencies of a Sharing.
type SharingOptions struct {
	Store      kv.Store
	Quarantine *Quarantine
	// Client calls the peers.
	Client *http.Client
	// Peers returns the addresses of the other gateways, each "IP:port". The slice is not used by others.
	Peers func() []string
	Log   *zap.Logger
}

// NewSharing returns the sharing of a quarantine. Run tells the other gateways of changes.
func NewSharing(o SharingOptions) *Sharing {
	return &Sharing{
		store: o.Store, quarantine: o.Quarantine, client: o.Client, peers: o.Peers, log: o.Log,
		changes: make(chan change, maxPendingChanges), untold: make(chan Record, maxPendingChanges),
	}
}

// wireRecord is a Record in the service.
type wireRecord struct {
	Service     string   `json:"service"`
	Part        string   `json:"part"`
	Crashes     int      `json:"crashes"`
	AnswerBegun bool     `json:"answer_begun"`
	Answered    bool     `json:"answered"`
	With        []string `json:"with,omitempty"`
	LastServer  string   `json:"last_server"`
	Probes      int      `json:"probes"`
}

// recordKey returns the key of a part's record. Names of parts and services may be longer than a key.
func recordKey(p Part) string {
	hash := sha256.Sum256([]byte(p.Service + "\x00" + p.ID))
	return RecordPrefix + hex.EncodeToString(hash[:16])
}

func encodeRecord(r Record) []byte {
	// Encoding a struct of strings and numbers cannot fail.
	value, _ := json.Marshal(wireRecord{
		Service: r.Part.Service, Part: r.Part.ID, Crashes: r.Crashes, AnswerBegun: r.AnswerBegun,
		Answered: r.Answered, With: r.With, LastServer: r.LastServer, Probes: r.Probes,
	})
	return value
}

func (w *wireRecord) record() Record {
	return Record{
		Part: Part{w.Service, w.Part}, Crashes: w.Crashes, AnswerBegun: w.AnswerBegun, Answered: w.Answered, With: w.With,
		LastServer: w.LastServer, Probes: w.Probes,
	}
}

// InvalidRecordError reports an entry below RecordPrefix that no gateway has written.
type InvalidRecordError struct{ Key string }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("entry %q is not the record of a part", e.Key)
}

// decodeRecord fails with an *InvalidRecordError.
func decodeRecord(e kv.Entry) (Record, error) {
	var w wireRecord
	err := json.Unmarshal(e.Value, &w)
	r := w.record()
	if err != nil || w.Crashes < 1 || recordKey(r.Part) != e.Key {
		return Record{}, merry.Wrap(&InvalidRecordError{Key: e.Key})
	}
	return r, nil
}

// OnChange takes over a snapshot of all records.
func (s *Sharing) OnChange(snapshot *mirror.Snapshot, keepUntil time.Time) {
	records := make([]Shared, 0, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		r, err := decodeRecord(e)
		if err != nil {
			s.log.Info("ignoring an invalid record of a suspected part", zap.Error(err))
			continue
		}
		at := kv.Position{Era: snapshot.At.Era, Revision: e.ModRevision}
		records = append(records, Shared{Record: r, At: at})
	}
	applied := s.quarantine.ApplyShared(records, keepUntil.IsZero(), time.Now())
	for _, part := range applied.Answered {
		s.enqueue(change{part: part, kind: answered})
	}
	for _, part := range applied.Blocked {
		s.logBlocked(part)
	}
}

func (s *Sharing) logBlocked(part Part) {
	s.log.Warn("part of prompts blocked by another gateway", zap.String("service", part.Service), zap.String("part", part.ID))
}

// ShareCrash makes a crash known to the other gateways. first is the record of the part if it is the first crash. Only
// the log shows a failure.
func (s *Sharing) ShareCrash(first Record) {
	s.enqueue(change{part: first.Part, kind: crashed, record: first})
	select {
	case s.untold <- first:
	default: // The record in the service follows.
	}
}

// ShareCleared removes the shared record of a part. Only the log shows a failure.
func (s *Sharing) ShareCleared(part Part) { s.enqueue(change{part: part, kind: cleared}) }

func (s *Sharing) enqueue(c change) {
	select {
	case s.changes <- c:
	default:
		s.log.Warn("too many changes of suspected parts to share", zap.String("part", c.part.ID))
	}
}

// Run tells the other gateways of changes until the context ends: directly, and through the service.
func (s *Sharing) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range maxTells {
		wg.Go(func() { s.runTells(ctx) })
	}
	s.runWrites(ctx)
}

// runTells tells peers of crashes until the context ends. A peer that does not respond delays one crash and not the
// others.
func (s *Sharing) runTells(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.untold:
			s.tellPeers(ctx, first)
		}
	}
}

// runWrites writes the changes to the service until the context ends.
func (s *Sharing) runWrites(ctx context.Context) {
	expire := time.NewTicker(time.Minute)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expire.C:
			s.quarantine.RemoveExpired(now)
		case c := <-s.changes:
			s.write(ctx, c)
		}
	}
}

// write writes one change. A crash is retried until the part is cleared, also after a lost response: the record names the
// server, so that one crash counts once.
func (s *Sharing) write(ctx context.Context, c change) {
	switch c.kind {
	case cleared:
		s.removeRecord(ctx, c.part)
		return
	case answered:
		s.markAnswered(ctx, c.part)
		return
	}
	var err error
	for range writeAttempts {
		if s.quarantine.isCleared(c.part) {
			return
		}
		if err = s.addCrash(ctx, c.record); err == nil || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(writeRetryDelay):
		}
	}
	s.log.Warn("crash not shared with other gateways", zap.String("part", c.part.ID), zap.Error(err))
}

// addCrash counts a crash in the shared record. Most parts have none yet.
func (s *Sharing) addCrash(ctx context.Context, first Record) error {
	if _, known := s.quarantine.Shared(first.Part); !known {
		_, err := s.put(ctx, first, kv.Absent)
		var conflict *kv.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	record, revision := Record{Part: first.Part}, kv.Absent
	entry, err := s.store.Get(ctx, recordKey(first.Part))
	var notFound *kv.NotFoundError
	switch {
	case err == nil:
		revision = entry.ModRevision
		if known, err := decodeRecord(entry); err == nil {
			record = known
		}
	case !errors.As(err, &notFound):
		return err
	}
	if record.LastServer == first.LastServer {
		if record.AnswerBegun || !first.AnswerBegun {
			return nil
		}
		record.Crashes-- // The same crash, seen from a request that the server had begun to answer.
	}
	record.Crashes++
	record.AnswerBegun = record.AnswerBegun || first.AnswerBegun
	record.Answered = record.Answered || first.Answered
	record.LastServer, record.With = first.LastServer, first.With
	_, err = s.put(ctx, record, revision)
	return err
}

// markAnswered notes in the shared record that the part was in an answered prompt before the first crash. If another
// gateway has changed the record, that gateway's change is applied first and leads here again.
func (s *Sharing) markAnswered(ctx context.Context, part Part) {
	shared, ok := s.quarantine.Shared(part)
	if !ok {
		return
	}
	shared.Answered = true
	if _, err := s.put(ctx, shared.Record, shared.At.Revision); err != nil {
		s.log.Debug("record of a suspected part not changed", zap.String("part", part.ID), zap.Error(err))
	}
}

func (s *Sharing) put(ctx context.Context, r Record, expected int64) (int64, error) {
	lease, err := s.store.Grant(ctx, RecordTTL)
	if err != nil {
		return 0, err
	}
	return s.store.Put(ctx, recordKey(r.Part), encodeRecord(r), expected, lease)
}

// removeRecord removes the record of a part unless it has a crash that this process does not know. A record that remains
// ends with its lease.
func (s *Sharing) removeRecord(ctx context.Context, part Part) {
	if err := s.tryRemoveRecord(ctx, part); err != nil {
		s.log.Info("record of a cleared part not removed", zap.String("part", part.ID), zap.Error(err))
	}
}

func (s *Sharing) tryRemoveRecord(ctx context.Context, part Part) error {
	entry, err := s.store.Get(ctx, recordKey(part))
	var notFound *kv.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	record, err := decodeRecord(entry)
	if err != nil || s.quarantine.hasUnknownCrash(record) {
		return err
	}
	return s.store.Delete(ctx, entry.Key, entry.ModRevision)
}

// ClaimProbe claims the next probe of a part whose block has ended, and reports whether this process may send it. At
// most one gateway gets the claim.
func (s *Sharing) ClaimProbe(ctx context.Context, part Part) bool {
	shared, ok := s.quarantine.Shared(part)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	record := shared.Record
	record.Probes++
	revision, err := s.put(ctx, record, shared.At.Revision)
	if err != nil {
		s.log.Info("probe of a suspected part not claimed", zap.String("part", part.ID), zap.Error(err))
		return false
	}
	s.quarantine.BeginProbe(part, kv.Position{Era: shared.At.Era, Revision: revision}, time.Now())
	return true
}
