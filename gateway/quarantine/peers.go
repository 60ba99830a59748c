package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"go.uber.org/zap"
)

// PathCrash is the path at which gateways tell each other of a crash. The key-value service may be slow, down, or turn
// away the gateway that has seen the crash.
const PathCrash = "/peer/v1/crash"

const (
	// maxPeers bounds the gateways that are told directly. In a larger fleet the others learn it from the service.
	maxPeers    = 64
	peerTimeout = 500 * time.Millisecond
	// maxCrashBytes bounds a message of a crash.
	maxCrashBytes = 64 << 10
)

// crashResponse is the response to a message of a crash.
type crashResponse struct {
	// Answered is set if the part was in a prompt answered by the responding gateway before.
	Answered bool `json:"answered"`
}

// tellPeers tells other gateways of a first crash of a part. Failures are ignored, as the record in the service follows.
func (s *Sharing) tellPeers(ctx context.Context, first Record) {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range peers[:min(len(peers), maxPeers)] {
		wg.Go(func() {
			if s.tellPeer(ctx, address, first) {
				s.quarantine.markAnswered(first.Part)
			}
		})
	}
	wg.Wait()
}

// tellPeer tells one gateway of a crash and reports whether that gateway had the part in an answered prompt before.
func (s *Sharing) tellPeer(ctx context.Context, address string, first Record) (answered bool) {
	target := url.URL{Scheme: "http", Host: address, Path: PathCrash}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(encodeRecord(first)))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var out crashResponse
	err = json.NewDecoder(io.LimitReader(resp.Body, maxCrashBytes)).Decode(&out)
	return err == nil && resp.StatusCode == http.StatusOK && out.Answered
}

// CrashHandler serves the messages of other gateways.
func (s *Sharing) CrashHandler() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCrashBytes))
		var wire wireRecord
		if err == nil {
			err = json.Unmarshal(body, &wire)
		}
		if err != nil || wire.Service == "" || wire.Part == "" || wire.Crashes != 1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first := wire.record()
		answered, blocked := s.quarantine.ApplyPeer(first, time.Now())
		if blocked {
			s.logBlocked(first.Part)
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(crashResponse{Answered: answered}); err != nil {
			s.log.Debug("response not delivered to a peer", zap.Error(err))
		}
	}
}
