package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/telemetry/invariant"
)

const (
	// TokenWindow is the number of the most recent sequence numbers whose outcomes are kept.
	TokenWindow = 65_536
	// MaxTokenBodyBytes limits the total size of the stored bodies of token outcomes; later outcomes are stored
	// without a body.
	MaxTokenBodyBytes = 32 << 20
	// maxHandovers is the number of drained incarnations whose outcomes are kept.
	maxHandovers = 8
	macBytes     = 16
)

// MACKey is the key that authenticates the tokens of one incarnation.
type MACKey [32]byte

// Token is a parsed token. Its text form is "server.incarnation.seq.mac".
type Token struct {
	peerapi.Peer
	Seq int64
	MAC []byte
}

// ParseToken parses the text form of a token; it returns false if the form is invalid. Server names may contain dots.
func ParseToken(text string) (Token, bool) {
	parts := strings.Split(text, ".")
	n := len(parts)
	if n < 4 {
		return Token{}, false
	}
	inc, err1 := strconv.ParseInt(parts[n-3], 10, 64)
	seq, err2 := strconv.ParseInt(parts[n-2], 10, 64)
	mac, err3 := base64.RawURLEncoding.DecodeString(parts[n-1])
	if err1 != nil || err2 != nil || err3 != nil || seq < 1 || inc < 1 {
		return Token{}, false
	}
	server := strings.Join(parts[:n-3], ".")
	return Token{Peer: peerapi.Peer{Server: server, Incarnation: inc}, Seq: seq, MAC: mac}, server != ""
}

// String returns the text form of a token.
func (t Token) String() string {
	return strings.Join([]string{
		t.Server, strconv.FormatInt(t.Incarnation, 10), strconv.FormatInt(t.Seq, 10),
		base64.RawURLEncoding.EncodeToString(t.MAC),
	}, ".")
}

func (k MACKey) mac(p peerapi.Peer, seq int64, customer, service string) []byte {
	h := hmac.New(sha256.New, k[:])
	var number [8]byte
	writeNumber := func(n int64) {
		binary.BigEndian.PutUint64(number[:], uint64(n))
		h.Write(number[:])
	}
	for _, s := range []string{p.Server, customer, service} {
		writeNumber(int64(len(s)))
		h.Write([]byte(s))
	}
	writeNumber(p.Incarnation)
	writeNumber(seq)
	return h.Sum(nil)[:macBytes]
}

func (k MACKey) verifies(t Token, customer, service string) bool {
	return hmac.Equal(t.MAC, k.mac(t.Peer, t.Seq, customer, service))
}

// UseKind is how to handle a call with a token.
type UseKind uint8

// The values of UseKind.
const (
	// UseBegin means that the call must be run now; End must follow.
	UseBegin UseKind = iota
	// UseJoin means that the call is running.
	UseJoin
	// UseReplay means that the call has already run.
	UseReplay
	// UseReused means that the token was used for another request.
	UseReused
	// UseInvalid means that the token was not issued to this customer for this service.
	UseInvalid
	// UseUnknown means that this process has no state of the token; the call will not be run.
	UseUnknown
	// UseDraining means that the token has not run and will not run in this process.
	UseDraining
)

// UseDecision is the result of Use.
type UseDecision struct {
	Kind    UseKind
	Outcome *peerapi.Outcome
}

type tokenState uint8

const (
	tokenUnused tokenState = iota
	tokenRunning
	tokenDone
)

type tokenSlot struct {
	seq     int64
	state   tokenState
	digest  peerapi.Digest
	outcome *peerapi.Outcome
}

// handover is the state handed over by a drained incarnation.
type handover struct {
	key       MACKey
	outcomes  map[int64]peerapi.TokenOutcome
	bodyBytes int
}

// Tokens is the state of one incarnation's calls with tokens. It is not safe for concurrent use.
type Tokens struct {
	self      peerapi.Peer
	key       MACKey
	window    []tokenSlot
	issued    int64
	bodyBytes int
	// closed means that the outcomes were handed over, so that no token may begin.
	closed       bool
	inherited    map[peerapi.Peer]*handover
	inheritOrder []peerapi.Peer
}

// NewTokens returns the initial state of an incarnation. The key must be random and newly generated.
func NewTokens(self peerapi.Peer, key MACKey) *Tokens {
	return &Tokens{self: self, key: key, inherited: map[peerapi.Peer]*handover{}}
}

// Issue returns a new token; it returns false after Close.
func (t *Tokens) Issue(customer, service string) (string, bool) {
	if t.closed {
		return "", false
	}
	t.issued++
	t.resetSlot(t.issued)
	mac := t.key.mac(t.self, t.issued, customer, service)
	return Token{Peer: t.self, Seq: t.issued, MAC: mac}.String(), true
}

// resetSlot reuses the slot of the sequence number that leaves the window. The window grows up to TokenWindow.
func (t *Tokens) resetSlot(seq int64) {
	fresh := tokenSlot{seq: seq}
	if len(t.window) < TokenWindow {
		t.window = append(t.window, fresh)
		return
	}
	slot := t.slot(seq)
	t.bodyBytes -= bodyBytes(slot.outcome)
	*slot = fresh
}

func (t *Tokens) slot(seq int64) *tokenSlot {
	i := (seq - 1) % TokenWindow
	if i >= int64(len(t.window)) {
		return nil
	}
	return &t.window[i]
}

// Use decides how to handle a call with a token.
func (t *Tokens) Use(token Token, customer, service string, d peerapi.Digest) UseDecision {
	if token.Peer != t.self {
		return t.useInherited(token, customer, service, d)
	}
	if !t.key.verifies(token, customer, service) {
		return UseDecision{Kind: UseInvalid}
	}
	slot := t.slot(token.Seq)
	if slot == nil || slot.seq != token.Seq {
		return UseDecision{Kind: UseUnknown}
	}
	switch {
	case slot.state != tokenUnused && slot.digest != d:
		return UseDecision{Kind: UseReused}
	case slot.state == tokenDone:
		return UseDecision{Kind: UseReplay, Outcome: slot.outcome}
	case slot.state == tokenRunning:
		return UseDecision{Kind: UseJoin}
	case t.closed:
		return UseDecision{Kind: UseDraining}
	}
	slot.state, slot.digest = tokenRunning, d
	return UseDecision{Kind: UseBegin}
}

func (t *Tokens) useInherited(token Token, customer, service string, d peerapi.Digest) UseDecision {
	h := t.inherited[token.Peer]
	if h == nil {
		return UseDecision{Kind: UseUnknown}
	}
	if !h.key.verifies(token, customer, service) {
		return UseDecision{Kind: UseInvalid}
	}
	o, ok := h.outcomes[token.Seq]
	switch {
	case !ok:
		return UseDecision{Kind: UseUnknown}
	case o.Digest != d:
		return UseDecision{Kind: UseReused}
	}
	return UseDecision{Kind: UseReplay, Outcome: &o.Outcome}
}

// End stores the outcome of a call that had begun. A nil outcome means that it did not run and will not, so that the
// token may be used again.
func (t *Tokens) End(seq int64, o *peerapi.Outcome) {
	slot := t.slot(seq)
	if slot == nil || slot.seq != seq {
		// The sequence number left the window during the run.
		return
	}
	invariant.Check(slot.state == tokenRunning, invariant.AtMostOnce, "token %d ends but was not running", seq)
	if o == nil {
		slot.state = tokenUnused
		return
	}
	slot.state = tokenDone
	slot.outcome = truncateOutcome(*o, MaxTokenBodyBytes-t.bodyBytes)
	t.bodyBytes += bodyBytes(slot.outcome)
}

// Close stops the use of tokens and returns the state to hand over. It must be called when no call is running: the
// outcome of a call that ends later is not handed over and stays unknown.
func (t *Tokens) Close() peerapi.Handover {
	t.closed = true
	out := peerapi.Handover{From: t.self, MACKey: t.key[:]}
	for _, s := range t.window {
		if s.state == tokenDone {
			out.Outcomes = append(out.Outcomes, peerapi.TokenOutcome{Seq: s.seq, Digest: s.digest, Outcome: *s.outcome})
		}
	}
	return out
}

// Inherit stores what a drained incarnation handed over, or a part of it. Beyond maxHandovers incarnations, the one
// that was handed over first is removed.
func (t *Tokens) Inherit(h peerapi.Handover) {
	if h.From == t.self || len(h.MACKey) != len(MACKey{}) {
		return
	}
	stored := t.inherited[h.From]
	if stored == nil {
		stored = &handover{key: MACKey(h.MACKey), outcomes: map[int64]peerapi.TokenOutcome{}}
		t.inherited[h.From] = stored
		t.inheritOrder = append(t.inheritOrder, h.From)
	}
	for _, o := range h.Outcomes {
		if _, known := stored.outcomes[o.Seq]; known {
			continue
		}
		o.Outcome = *truncateOutcome(o.Outcome, MaxTokenBodyBytes-t.bodyBytes)
		stored.outcomes[o.Seq] = o
		stored.bodyBytes += bodyBytes(&o.Outcome)
		t.bodyBytes += bodyBytes(&o.Outcome)
	}
	t.evictHandover()
}

func (t *Tokens) evictHandover() {
	if len(t.inheritOrder) <= maxHandovers {
		return
	}
	t.bodyBytes -= t.inherited[t.inheritOrder[0]].bodyBytes
	delete(t.inherited, t.inheritOrder[0])
	t.inheritOrder = t.inheritOrder[1:]
}
