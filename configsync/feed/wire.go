package feed

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
)

// Line is one JSON line of the answer to GET /peer/v1/config. Lines without content are sent while the caller
// waits, so that it can tell a quiet peer from a connection that went silent.
type Line struct {
	// Revision is the one in force at the sender, 0 for none.
	Revision int64 `json:"revision"`
	// AgeMs is how long ago the sender's revision was known to be the latest, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Snapshot is an operatorv1.State in its binary form, when the sender does not keep all changes since the
	// caller's revision.
	Snapshot []byte `json:"snapshot,omitempty"`
	// Changes are operatorv1.Change messages in their binary form, in order, from the caller's revision on.
	Changes [][]byte `json:"changes,omitempty"`
	// Attachment is what the caller lacks of the attachment.
	Attachment json.RawMessage `json:"attachment,omitempty"`
	// End marks the last line.
	End bool `json:"end,omitempty"`
}

// EncodeState returns a configuration in its binary form.
func EncodeState(s *cluster.State) ([]byte, error) {
	return proto.Marshal(&operatorv1.State{Revision: s.Revision, Objects: s.Objects()})
}

// DecodeState returns the configuration in a binary form, or a *cluster.ValidationError.
func DecodeState(raw []byte) (*cluster.State, error) {
	var m operatorv1.State
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, &MessageError{Detail: err.Error()}
	}
	return cluster.New(m.GetRevision(), m.GetObjects())
}
