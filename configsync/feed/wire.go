package feed

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
)

// Line is one JSON line of the response to GET /peer/v1/config. Lines without content are keep-alives, which
// distinguish a peer without changes from a silent connection.
type Line struct {
	// Revision is the active revision of the sender, or 0 for none.
	Revision int64 `json:"revision"`
	// AgeMs is the time since the sender's revision was last confirmed to be the latest, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Snapshot is an operatorv1.State in binary form. It is set if the sender no longer buffers all changes since the
	// caller's revision.
	Snapshot []byte `json:"snapshot,omitempty"`
	// Changes are the operatorv1.Change messages after the caller's revision, in binary form and in order.
	Changes [][]byte `json:"changes,omitempty"`
	// Attachment is the delta of the attachment from the caller's version.
	Attachment json.RawMessage `json:"attachment,omitempty"`
	// End marks the last line of the response.
	End bool `json:"end,omitempty"`
}

// EncodeState encodes a configuration in binary form.
func EncodeState(s *cluster.State) ([]byte, error) {
	return proto.Marshal(&operatorv1.State{Revision: s.Revision, Objects: s.Objects()})
}

// DecodeState decodes a configuration. It fails with a *MessageError or a *cluster.ValidationError.
func DecodeState(raw []byte) (*cluster.State, error) {
	var m operatorv1.State
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, &MessageError{Detail: err.Error()}
	}
	return cluster.New(m.GetRevision(), m.GetObjects())
}
