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

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// PeerPath serves snapshots to peers.
const PeerPath = "/peer/v1/mirror"

// wireSnapshot is the JSON form of a snapshot.
type wireSnapshot struct {
	Revision int64       `json:"revision"`
	Entries  []wireEntry `json:"entries"`
}

type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// Handler serves the snapshots of mirrors by prefix. A peer that names a revision gets an answer without content unless
// the snapshot is newer.
func Handler(mirrors map[string]*Mirror, log *zap.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m, ok := mirrors[r.URL.Query().Get("prefix")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s := m.Snapshot()
		if s.Revision <= after {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.wire()); err != nil {
			log.Debug("snapshot not delivered to a peer", zap.Error(err))
		}
	}
}

func (s *Snapshot) wire() wireSnapshot {
	out := wireSnapshot{Revision: s.Revision, Entries: make([]wireEntry, 0, len(s.Entries))}
	for _, e := range s.Entries {
		out.Entries = append(out.Entries, wireEntry{Key: e.Key, Value: e.Value, Revision: e.ModRevision})
	}
	return out
}

// NoPeerError says that no peer is known.
type NoPeerError struct{}

func (e *NoPeerError) Error() string { return "no peer is known" }

// PeerStatusError says that a peer refused to give a snapshot.
type PeerStatusError struct {
	Peer   string
	Status int
}

func (e *PeerStatusError) Error() string {
	return fmt.Sprintf("peer %s answered status %d", e.Peer, e.Status)
}

// Peers asks other processes for snapshots. Its methods may be called from any goroutine.
type Peers struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
}

// NewPeers returns peers at addresses, IP and port; others may be added.
func NewPeers(client *http.Client, addresses []string) *Peers {
	return &Peers{client: client, addresses: addresses}
}

// Set replaces the addresses.
func (p *Peers) Set(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
}

// Ask returns the snapshot of one peer drawn at random, or nil when it is not newer than the revision.
func (p *Peers) Ask(ctx context.Context, prefix string, after int64) (*Snapshot, error) {
	p.mu.Lock()
	if len(p.addresses) == 0 {
		p.mu.Unlock()
		return nil, merry.Wrap(&NoPeerError{})
	}
	peer := p.addresses[rand.IntN(len(p.addresses))]
	p.mu.Unlock()
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	target := url.URL{Scheme: "http", Host: peer, Path: PeerPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, merry.Wrap(err)
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

// maxSnapshot bounds a snapshot in bytes: some thousand servers, or a large configuration, in base64.
const maxSnapshot = 32 << 20

func decodeSnapshot(resp *http.Response) (*Snapshot, error) {
	var w wireSnapshot
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSnapshot)).Decode(&w); err != nil {
		return nil, merry.Wrap(err)
	}
	entries := make([]kv.Entry, len(w.Entries))
	for i, e := range w.Entries {
		entries[i] = kv.Entry{Key: e.Key, Value: e.Value, ModRevision: e.Revision}
	}
	return newSnapshot(entries, w.Revision), nil
}
