package operator

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/store"
)

// ObjectNotFoundError reports that an object does not exist.
type ObjectNotFoundError struct{ Ref cluster.Ref }

func (e *ObjectNotFoundError) Error() string { return fmt.Sprintf("%s does not exist", e.Ref) }

// UnknownTypeError reports an unknown object type.
type UnknownTypeError struct{ Type cluster.Type }

func (e *UnknownTypeError) Error() string { return fmt.Sprintf("%q is not a type of object", e.Type) }

// FutureRevisionError reports that the expected revision of a change does not exist yet.
type FutureRevisionError struct{ Expected, Latest int64 }

func (e *FutureRevisionError) Error() string {
	return fmt.Sprintf("expected revision %d is above the latest revision %d", e.Expected, e.Latest)
}

// UnknownKeyError reports a call with a missing or unknown key.
type UnknownKeyError struct{}

func (e *UnknownKeyError) Error() string {
	return "the call needs a known operator key as bearer token"
}

// MissingRoleError reports that an operator's role does not permit the call.
type MissingRoleError struct{ Operator string }

func (e *MissingRoleError) Error() string {
	return fmt.Sprintf("operator %s has the role reader and may not make changes", e.Operator)
}

// rpcError returns err as a Connect error with its code and detail.
func rpcError(err error) error {
	code, detail := classify(err)
	out := connect.NewError(code, err)
	if detail != nil {
		if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
			out.AddDetail(d)
		}
	}
	return out
}

func classify(err error) (connect.Code, proto.Message) {
	if code, detail, ok := classifyChange(err); ok {
		return code, detail
	}
	var (
		role        *MissingRoleError
		key         *UnknownKeyError
		noObject    *ObjectNotFoundError
		noType      *UnknownTypeError
		tooLarge    *kv.ValueTooLargeError
		behind      *store.LogBehindError
		trimmed     *store.TrimmedError
		unavailable *kv.UnavailableError
		lostRead    *kv.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &role):
		return connect.CodePermissionDenied, nil
	case errors.As(err, &key):
		return connect.CodeUnauthenticated, nil
	case errors.As(err, &noObject), errors.As(err, &trimmed):
		return connect.CodeNotFound, nil
	case errors.As(err, &behind):
		return connect.CodeDataLoss, nil
	case errors.As(err, &noType), errors.As(err, &tooLarge):
		return connect.CodeInvalidArgument, nil
	case errors.As(err, &unavailable):
		return connect.CodeUnavailable, nil
	case errors.As(err, &lostRead):
		// Commit reports a write whose response was lost as *store.UnknownOutcomeError. This error is therefore that of a
		// read, which has no side effects.
		return connect.CodeUnavailable, nil
	}
	return connect.CodeInternal, nil
}

// classifyChange returns the code and the detail of an error that occurs when a change is committed. It reports false
// for other errors.
func classifyChange(err error) (connect.Code, proto.Message, bool) {
	var (
		conflict *store.ConflictError
		invalid  *cluster.ValidationError
		future   *FutureRevisionError
		changing *cluster.ServerChangeInProgressError
		unknown  *store.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &conflict):
		w := conflict.Winner
		return connect.CodeAborted, &operatorv1.ConflictDetail{
			Revision: w.GetRevision(), Author: w.GetAuthor(), OperationId: w.GetOperationId(), Comment: w.GetComment(),
		}, true
	case errors.As(err, &invalid):
		return connect.CodeInvalidArgument, validationDetail(invalid), true
	case errors.As(err, &future):
		return connect.CodeInvalidArgument, nil, true
	case errors.As(err, &changing):
		return connect.CodeFailedPrecondition, nil, true
	case errors.As(err, &unknown):
		return connect.CodeUnknown, nil, true
	}
	return 0, nil, false
}

func validationDetail(e *cluster.ValidationError) *operatorv1.ValidationDetail {
	out := &operatorv1.ValidationDetail{}
	for _, f := range e.Fields {
		out.Errors = append(out.Errors, &operatorv1.FieldError{
			Ref: f.Ref.Proto(), Field: f.Field, Problem: f.Problem,
		})
	}
	return out
}
