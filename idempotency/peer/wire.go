package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

const (
	// maxMessageBytes bounds a message: a page of records or a part of a handover, with bodies in base64.
	maxMessageBytes = 64 << 20
	// recordsPerPage is the number of records of a page, whose bodies are at most 64 KiB each.
	recordsPerPage = 256
	// pushAttempts is how often an outcome is sent to a holder that does not respond.
	pushAttempts = 3
)

// StatusError reports that a peer responded with an error status.
type StatusError struct {
	Path   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("peer responded to %s with status %d", e.Path, e.Status)
}

// NoAddressError reports that the configuration has no address for a server.
type NoAddressError struct{ Path string }

func (e *NoAddressError) Error() string { return fmt.Sprintf("no address to send %s to", e.Path) }

// send sends one message and decodes the response into out, unless that is nil. After an error the message may still
// have taken effect.
func (n *Node) send(ctx context.Context, address, path string, in, out any) error {
	if address == "" {
		return merry.Wrap(&NoAddressError{Path: path})
	}
	body, err := json.Marshal(in)
	if err != nil {
		return merry.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	n.countMessage(len(body))
	resp, err := n.client.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return merry.Wrap(err)
	}
	n.countMessage(len(respBody))
	if resp.StatusCode != http.StatusOK {
		return merry.Wrap(&StatusError{Path: path, Status: resp.StatusCode})
	}
	if out == nil {
		return nil
	}
	return merry.Wrap(json.Unmarshal(respBody, out))
}

func (n *Node) countMessage(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentMessages++
	n.sentBytes += int64(size)
}

// sendClaim sends a claim to the other holders. Verdicts that arrive in time go to the channel, whose buffer holds
// all of them, so that they need not be read.
func (n *Node) sendClaim(claim *idempotency.Claim, withdrawn []peerapi.Attempt) <-chan peerapi.ClaimResponse {
	out := make(chan peerapi.ClaimResponse, len(claim.Peers))
	q := claim.Request(withdrawn)
	for _, m := range claim.Peers {
		n.runInBackground(func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			var r peerapi.ClaimResponse
			if n.send(ctx, m.Address, peerapi.PathClaim, q, &r) == nil && r.From.Server == m.Name {
				out <- r
			}
		})
	}
	return out
}

func (n *Node) sendRelease(claim *idempotency.Claim) {
	for _, m := range claim.Peers {
		n.runInBackground(func() {
			ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
			defer cancel()
			// If the release is lost, the server of a conflicting claim queries this one, which reports the attempt as
			// withdrawn.
			_ = n.send(ctx, m.Address, peerapi.PathClaim, claim.ReleaseRequest(), nil)
		})
	}
}

// pushRecord sends an outcome to the other holders. The returned channel receives the names of those that have it, or an
// empty name for one that does not confirm. Such a holder queries the runner when the key is used again.
func (n *Node) pushRecord(claim *idempotency.Claim, record peerapi.KeyRecord) <-chan string {
	confirmed := make(chan string, len(claim.Peers))
	for _, m := range claim.Peers {
		n.runInBackground(func() {
			for range pushAttempts {
				if n.pushTo(m, claim.Epoch, record) == nil {
					confirmed <- m.Name
					return
				}
			}
			confirmed <- ""
		})
	}
	return confirmed
}

// awaitRecorded waits until majorities of the holders have an outcome that pushRecord sends, so that the outcome
// survives the runner. It gives up after recordTimeout, or when no message is left that could still be confirmed.
func (n *Node) awaitRecorded(claim *idempotency.Claim, confirmed <-chan string) {
	timeout := time.NewTimer(recordTimeout)
	defer timeout.Stop()
	recordedBy := map[string]bool{n.opts.Self.Server: true}
	for range claim.Peers {
		if claim.HasMajorities(func(server string) bool { return recordedBy[server] }) {
			return
		}
		select {
		case server := <-confirmed:
			recordedBy[server] = true
		case <-timeout.C:
			return
		}
	}
}

func (n *Node) pushTo(m cluster.Member, epoch int64, record peerapi.KeyRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	q := peerapi.RecordsRequest{From: n.opts.Self, Epoch: epoch, Push: []peerapi.KeyRecord{record}}
	return n.send(ctx, m.Address, peerapi.PathRecords, q, nil)
}

func (n *Node) queryAttempt(
	ctx context.Context, k peerapi.CallKey, d peerapi.Digest, a peerapi.Attempt,
) (peerapi.AttemptResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	q := peerapi.AttemptRequest{From: n.opts.Self, Key: k, Digest: d, Attempt: a, WaitMs: maxAttemptWait.Milliseconds()}
	var r peerapi.AttemptResponse
	err := n.send(ctx, n.address(a.Server), peerapi.PathAttempt, q, &r)
	if err == nil {
		n.lock()
		n.table.ObserveIncarnation(r.From)
		n.mu.Unlock()
	}
	return r, err
}

// Register adds the node's routes to a router.
func (n *Node) Register(r *mux.Router) {
	r.HandleFunc(peerapi.PathClaim, serve(n.serveClaim)).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathRecords, serve(n.serveRecords)).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathAttempt, serve(n.serveAttempt)).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathOutcome, serve(n.serveOutcome)).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathReady, serve(n.serveReady)).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathHandover, serve(n.serveHandover)).Methods(http.MethodPost)
	r.HandleFunc(peerapi.PathToken, n.serveToken).Methods(http.MethodPost)
}

// Handler returns the node's routes.
func (n *Node) Handler() http.Handler {
	r := mux.NewRouter()
	n.Register(r)
	return r
}

func serve[In, Out any](fn func(context.Context, *In) Out) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, fn(r.Context(), &in))
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the peer has disconnected, which needs no further action.
	_ = json.NewEncoder(w).Encode(v)
}

func (n *Node) serveClaim(_ context.Context, q *peerapi.ClaimRequest) peerapi.ClaimResponse {
	n.lock()
	defer n.mu.Unlock()
	if q.Op == peerapi.ClaimRelease {
		n.table.HandleRelease(*q)
		return peerapi.ClaimResponse{From: n.opts.Self}
	}
	return n.table.HandleClaim(time.Now(), *q)
}

func (n *Node) serveRecords(_ context.Context, q *peerapi.RecordsRequest) peerapi.RecordsResponse {
	n.lock()
	defer n.mu.Unlock()
	n.table.ImportPage(time.Now(), q.From, q.Push)
	if q.Pull == nil {
		return peerapi.RecordsResponse{From: n.opts.Self}
	}
	return n.table.ExportPage(time.Now(), q.From, *q.Pull, recordsPerPage)
}

// serveAttempt delays its response while the attempt is in progress.
func (n *Node) serveAttempt(ctx context.Context, q *peerapi.AttemptRequest) peerapi.AttemptResponse {
	n.lock()
	r := n.table.HandleAttemptQuery(*q)
	ended := n.keyedEnded[q.Attempt.Number]
	n.mu.Unlock()
	open := r.State == peerapi.AttemptClaiming || r.State == peerapi.AttemptRunning
	if !open || ended == nil {
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(q.WaitMs)*time.Millisecond, maxAttemptWait))
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	n.lock()
	defer n.mu.Unlock()
	return n.table.HandleAttemptQuery(*q)
}

func (n *Node) serveOutcome(_ context.Context, q *peerapi.OutcomeRequest) peerapi.OutcomeResponse {
	n.lock()
	defer n.mu.Unlock()
	return n.unkeyed.Outcome(time.Now(), q.ID, q.Incarnation)
}

func (n *Node) serveHandover(_ context.Context, h *peerapi.Handover) struct{} {
	n.lock()
	defer n.mu.Unlock()
	n.table.ObserveIncarnation(h.From)
	n.tokens.Inherit(*h)
	return struct{}{}
}

func (n *Node) serveToken(w http.ResponseWriter, r *http.Request) {
	var in peerapi.TokenRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, e := n.IssueToken(in.Customer, in.Service)
	if e != nil {
		callerapi.WriteError(w, e, "")
		return
	}
	writeJSON(w, peerapi.TokenResponse{Token: text})
}
