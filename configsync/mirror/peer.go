package mirror

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// PathSnapshot is the path that serves snapshots to peers.
const PathSnapshot = "/peer/v1/mirror"

// SnapshotRequest is the request for the snapshot of a peer.
type SnapshotRequest struct {
	Prefix string
	// After is the position up to which the sender has all changes.
	After kv.Position
	// Keys are the keys whose valid entries are wanted, nil for all. The response may contain others: peers with an
	// earlier version of the program send all, and so does each peer if the keys are too long for a query.
	Keys []string
}

const (
	// keyParameter is the parameter of a query with a key. There is one for each key.
	keyParameter = "key"
	// maxQueryKeyBytes bounds the encoded keys in a query.
	maxQueryKeyBytes = 4 << 10
)

func (r *SnapshotRequest) query() url.Values {
	query := positionQuery(r.Prefix, r.After)
	if keys := (url.Values{keyParameter: r.Keys}); len(keys.Encode()) <= maxQueryKeyBytes {
		query[keyParameter] = r.Keys
	}
	return query
}

// PathFollow is the path that serves the long polls of followers.
const PathFollow = "/peer/v1/follow"

// wireFollowResponse is the JSON form of a FollowResponse.
type wireFollowResponse struct {
	AgeMs           int64         `json:"age_ms"`
	SinceRecoveryMs int64         `json:"regained_ms"`
	Unavailable     bool          `json:"lost"`
	Snapshot        *wireSnapshot `json:"snapshot,omitempty"`
}

// maxFollowWait bounds the wait that a follower may request.
const maxFollowWait = 10 * time.Second

// FollowHandler serves the long polls of followers from mirrors by prefix.
func FollowHandler(mirrors map[string]*Mirror, log *zap.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		m, ok := mirrors[query.Get("prefix")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		after, err := parsePosition(query)
		wait, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
		if err != nil || waitErr != nil || wait < 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		req := FollowRequest{After: after, Wait: min(time.Duration(wait)*time.Millisecond, maxFollowWait)}
		resp := m.HandleFollow(r.Context(), req)
		body := wireFollowResponse{
			AgeMs: resp.Age.Milliseconds(), SinceRecoveryMs: resp.SinceRecovery.Milliseconds(), Unavailable: resp.Unavailable,
		}
		if resp.Snapshot != nil {
			wire := resp.Snapshot.wire()
			body.Snapshot = &wire
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(body); err != nil {
			log.Debug("response not delivered to a follower", zap.Error(err))
		}
	}
}

// Follow polls the reader at an address, which is "IP:port". It fails with a *PeerStatusError or an error of the
// connection or of decoding.
func (p *Peers) Follow(ctx context.Context, reader string, req FollowRequest) (*FollowResponse, error) {
	query := positionQuery(req.Prefix, req.After)
	query.Set("wait_ms", strconv.FormatInt(req.Wait.Milliseconds(), 10))
	resp, err := p.get(ctx, reader, PathFollow, query)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.Wrap(&PeerStatusError{Peer: reader, Status: resp.StatusCode})
	}
	var w wireFollowResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSnapshotBytes)).Decode(&w); err != nil {
		return nil, merry.Wrap(err)
	}
	out := &FollowResponse{
		Age: time.Duration(w.AgeMs) * time.Millisecond, SinceRecovery: time.Duration(w.SinceRecoveryMs) * time.Millisecond,
		Unavailable: w.Unavailable,
	}
	if w.Snapshot != nil {
		out.Snapshot = w.Snapshot.snapshot()
	}
	return out, nil
}

// positionQuery returns the query for a snapshot of a prefix after a position.
func positionQuery(prefix string, after kv.Position) url.Values {
	return url.Values{
		"prefix": {prefix}, "after": {strconv.FormatInt(after.Revision, 10)}, "era": {strconv.FormatInt(after.Era, 10)},
	}
}

// parsePosition returns the position in a query. Its era is 0 if the query has none, because peers with an earlier
// version of the program send no era.
func parsePosition(query url.Values) (kv.Position, error) {
	revision, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil || !query.Has("era") {
		return kv.Position{Revision: revision}, err
	}
	era, err := strconv.ParseInt(query.Get("era"), 10, 64)
	return kv.Position{Era: era, Revision: revision}, err
}

func (p *Peers) get(ctx context.Context, peer, path string, query url.Values) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: peer, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	resp, err := p.client.Do(req)
	return resp, merry.Wrap(err)
}

// wireSnapshot is the JSON form of a snapshot.
type wireSnapshot struct {
	Era             int64              `json:"era"`
	Revision        int64              `json:"revision"`
	ChangedRevision int64              `json:"changed"`
	ChangedEra      int64              `json:"changed_era"`
	Entries         []wireEntry        `json:"entries"`
	Invalid         []wireInvalidEntry `json:"invalid,omitempty"`
	// Checked is missing in the snapshots of earlier versions of the program. Their entries are the last ones, valid or
	// not.
	Checked bool `json:"checked"`
	// Settled is missing in the snapshots of earlier versions of the program.
	Settled bool `json:"settled,omitempty"`
}

type wireInvalidEntry struct {
	Key            string `json:"key"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"created"`
	Reason         string `json:"reason"`
}

type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	// CreateRevision is missing if it is unknown or the sender has an earlier version of the program.
	CreateRevision int64 `json:"created,omitempty"`
}

// SnapshotHandler serves the snapshots of mirrors by prefix, as a whole or the valid entries of some keys. The response has
// status 204 (no content) if the snapshot is not newer than the peer's position.
func SnapshotHandler(mirrors map[string]*Mirror, log *zap.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		m, ok := mirrors[query.Get("prefix")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		after, err := parsePosition(query)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s := m.Snapshot()
		if !after.Before(s.At) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if keys := query[keyParameter]; len(keys) > 0 {
			s = s.only(keys)
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.wire()); err != nil {
			log.Debug("snapshot not delivered to a peer", zap.Error(err))
		}
	}
}

func (s *Snapshot) wire() wireSnapshot {
	out := wireSnapshot{
		Era: s.At.Era, Revision: s.At.Revision, ChangedRevision: s.ChangedAt.Revision, ChangedEra: s.ChangedAt.Era,
		Entries: make([]wireEntry, 0, len(s.Entries)), Checked: s.checked, Settled: s.settled,
	}
	for _, e := range s.Entries {
		out.Entries = append(out.Entries, wireEntry{
			Key: e.Key, Value: e.Value, Revision: e.ModRevision, CreateRevision: e.CreateRevision,
		})
	}
	for key, i := range s.Invalid {
		out.Invalid = append(out.Invalid, wireInvalidEntry{
			Key: key, Revision: i.ModRevision, CreateRevision: i.CreateRevision, Reason: i.Reason,
		})
	}
	return out
}

// NoPeerError reports that there is no peer to fetch a snapshot from.
type NoPeerError struct{}

func (e *NoPeerError) Error() string { return "there is no peer to fetch a snapshot from" }

// PeerStatusError reports an error status in a peer's response.
type PeerStatusError struct {
	Peer   string
	Status int
}

func (e *PeerStatusError) Error() string {
	return fmt.Sprintf("peer %s responded with status %d", e.Peer, e.Status)
}

// Peers fetches snapshots from other processes. It is safe for concurrent use.
type Peers struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
}

// NewPeers returns the peers at addresses, each "IP:port". SetAddresses can replace them.
func NewPeers(client *http.Client, addresses []string) *Peers {
	return &Peers{client: client, addresses: addresses}
}

// SetAddresses replaces the addresses.
func (p *Peers) SetAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
}

// FetchSnapshot returns the snapshot of a random peer, or nil if it is not newer than the position.
func (p *Peers) FetchSnapshot(ctx context.Context, req SnapshotRequest) (*Snapshot, error) {
	p.mu.Lock()
	if len(p.addresses) == 0 {
		p.mu.Unlock()
		return nil, merry.Wrap(&NoPeerError{})
	}
	peer := p.addresses[rand.IntN(len(p.addresses))]
	p.mu.Unlock()
	resp, err := p.get(ctx, peer, PathSnapshot, req.query())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil, nil
	case http.StatusOK:
		return decodeSnapshot(resp)
	}
	return nil, merry.Wrap(&PeerStatusError{Peer: peer, Status: resp.StatusCode})
}

// maxSnapshotBytes bounds a response with a snapshot. It suffices for several thousand servers, or a large
// configuration, in base64.
const maxSnapshotBytes = 32 << 20

func decodeSnapshot(resp *http.Response) (*Snapshot, error) {
	var w wireSnapshot
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSnapshotBytes)).Decode(&w); err != nil {
		return nil, merry.Wrap(err)
	}
	return w.snapshot(), nil
}

// snapshot returns the snapshot as its sender has checked it.
func (w *wireSnapshot) snapshot() *Snapshot {
	s := &Snapshot{
		At:        kv.Position{Era: w.Era, Revision: w.Revision},
		ChangedAt: kv.Position{Era: w.ChangedEra, Revision: w.ChangedRevision},
		Entries:   make(map[string]kv.Entry, len(w.Entries)), checked: w.Checked, settled: w.Settled,
	}
	for _, e := range w.Entries {
		s.Entries[e.Key] = kv.Entry{
			Key: e.Key, Value: e.Value, ModRevision: e.Revision, CreateRevision: e.CreateRevision,
		}
	}
	if len(w.Invalid) > 0 {
		s.Invalid = make(map[string]InvalidEntry, len(w.Invalid))
	}
	for _, i := range w.Invalid {
		s.Invalid[i.Key] = InvalidEntry{ModRevision: i.Revision, CreateRevision: i.CreateRevision, Reason: i.Reason}
	}
	return s
}
