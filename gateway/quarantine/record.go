package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"lavendermoor.example/clients/kv"
)

// Part is a part of a prompt, or a whole request, which is a part that all its repeats share. Servers of other services
// may be able to answer it.
type Part struct {
	Service string
	// ID is the ID of a part of a prompt, without a colon, or a RequestID.
	ID string
}

// requestPrefix is the beginning of the ID of a whole request.
const requestPrefix = "request:"

// RequestID returns the ID of a whole request whose prompt holds the given shared parts. It depends on the content only,
// so that repeats with another ID of the caller's have the same one.
func RequestID(method, target string, parts []string, body []byte) string {
	hash := sha256.New()
	// Writes to a hash never fail. What precedes the body comes from a header and holds no line feed.
	_, _ = io.WriteString(hash, method+"\n"+target+"\n"+strings.Join(parts, ",")+"\n")
	_, _ = hash.Write(body)
	const idBytes = 16
	return requestPrefix + hex.EncodeToString(hash.Sum(nil)[:idBytes])
}

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool { return strings.HasPrefix(p.ID, requestPrefix) }

// Crash is a server that ended while it worked on a request.
type Crash struct {
	// Server identifies the run of the server between its start and its end.
	Server string
	// Sent is when the request was sent.
	Sent time.Time
	// AnswerBegun is set if the server had begun to answer this request and had sent nothing of its content. This is
	// rarely true for more than one request at a server.
	AnswerBegun bool
	// Deadline is when the caller of the request gives up, zero if unknown.
	Deadline time.Time
}

// Record is what all gateways know about a suspected part.
type Record struct {
	Part Part
	// Crashes counts the crashes since the part was last in an answered prompt.
	Crashes int
	// AnswerBegun is set if it was for any of the crashes.
	AnswerBegun bool
	// With are the IDs of the other parts of the prompt that the last crash made suspects together with this one. The
	// whole request is left out: nearly all requests lack it, and that does not make them likely to be sound.
	With []string
	// Answered is set if the part was in an answered prompt before the first crash, at any gateway.
	Answered bool
	// LastServer is the Server of the last crash.
	LastServer string
	// Probes counts the probes claimed.
	Probes int
}

// Shared is a record with its position in the key-value service.
type Shared struct {
	Record
	At kv.Position
}
