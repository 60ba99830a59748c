package peerapi

import "lavendermoor.example/api/operatorv1"

// The kinds of work in Work.Kind.
const (
	// KindStatus is a status read or lookup.
	KindStatus = "status"
	// KindCommand is a booking or command.
	KindCommand = "command"
	// KindShort is a generation that is expected to be short.
	KindShort = "short"
	// KindLong is a generation that is expected to be long.
	KindLong = "long"
)

// KindOf returns the kind for the work kind of a routing rule; KindShort is the default.
func KindOf(k operatorv1.WorkKind) string {
	switch k {
	case operatorv1.WorkKind_WORK_KIND_STATUS:
		return KindStatus
	case operatorv1.WorkKind_WORK_KIND_COMMAND:
		return KindCommand
	case operatorv1.WorkKind_WORK_KIND_LONG:
		return KindLong
	}
	return KindShort
}
