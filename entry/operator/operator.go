// Package operator serves the operator RPC of an entry: it reads and changes the cluster configuration.
package operator

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/operatorv1/operatorv1connect"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/feed"
	"lavendermoor.example/configsync/store"
)

// Options configure the operator RPC.
type Options struct {
	Store *store.Store
	Node  *feed.Node
	// BootstrapKeySHA256 is the lower-case hex SHA-256 of a key that is accepted as an admin key while no operator is
	// configured; empty for none.
	BootstrapKeySHA256 string
	// Processes returns the processes whose status the Status call reports; nil for none.
	Processes func() []feed.Peer
	// Client requests the status of the processes.
	Client *http.Client
	Log    *zap.Logger
	// Now returns the time recorded with changes; nil for the system clock.
	Now func() time.Time
}

// Service implements operatorv1connect.OperatorServiceHandler.
type Service struct{ opts Options }

var _ operatorv1connect.OperatorServiceHandler = (*Service)(nil)

// maxRequestBytes bounds a request; a change must fit in one value of the key-value service.
const maxRequestBytes = 4 << 20

// New returns the path and the handler of the operator RPC.
func New(opts Options) (string, http.Handler) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	s := &Service{opts: opts}
	return operatorv1connect.NewOperatorServiceHandler(s,
		connect.WithInterceptors(&authenticator{service: s}), connect.WithReadMaxBytes(maxRequestBytes))
}

// state returns the active configuration of this process, or an empty one before the first.
func (s *Service) state() *cluster.State {
	if st := s.opts.Node.State(); st != nil {
		return st
	}
	return cluster.Empty()
}

// latest applies the latest committed configuration in this process and returns it.
func (s *Service) latest(ctx context.Context) (*cluster.State, error) {
	if err := s.opts.Node.CatchUp(ctx); err != nil {
		return nil, err
	}
	return s.state(), nil
}

// Apply implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Apply(
	ctx context.Context, req *connect.Request[operatorv1.ApplyRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	m := req.Msg
	resp, err := s.commit(ctx, &changeRequest{
		operationID: m.GetOperationId(), expectedRevision: m.GetExpectedRevision(), comment: m.GetComment(), dryRun: m.GetDryRun(),
		change: func(*cluster.State) (*operatorv1.Change, error) {
			return &operatorv1.Change{Upserts: m.GetUpserts(), Deletes: m.GetDeletes()}, nil
		},
	})
	return response(resp, err)
}

func response[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(msg), nil
}

// changeRequest is a request to commit a change.
type changeRequest struct {
	operationID string
	// expectedRevision is the revision that the change must be based on, 0 for any.
	expectedRevision int64
	comment          string
	dryRun           bool
	// change returns the change for a base configuration. It is called again when the change must be rebased on a newer
	// one.
	change func(base *cluster.State) (*operatorv1.Change, error)
}

// maxRebases bounds how often a change without an expected revision is rebased after losing a race. With changes a few
// seconds apart, more than two lost races in a row have not been observed.
const maxRebases = 8

func (s *Service) commit(ctx context.Context, r *changeRequest) (*operatorv1.ApplyResponse, error) {
	if r.operationID == "" {
		r.operationID = uuid.NewString()
	}
	base, err := s.latest(ctx)
	if err != nil {
		return nil, err
	}
	for attempt := 0; ; attempt++ {
		resp, err := s.commitOn(ctx, base, r)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || r.expectedRevision != 0 || attempt == maxRebases {
			return resp, err
		}
		if base, err = s.latest(ctx); err != nil {
			return nil, err
		}
	}
}

func (s *Service) commitOn(ctx context.Context, base *cluster.State, r *changeRequest) (*operatorv1.ApplyResponse, error) {
	committed, err := s.opts.Store.FindCommitted(ctx, base.Revision, r.operationID)
	if err != nil {
		return nil, err
	}
	if committed != nil {
		return s.repeatedResponse(committed), nil
	}
	if err := s.checkExpected(ctx, base, r.expectedRevision); err != nil {
		return nil, err
	}
	c, err := s.buildChange(ctx, base, r)
	if err != nil {
		return nil, err
	}
	preview, err := base.Apply(c)
	if err != nil {
		return nil, err
	}
	if err := checkAdmin(base, preview); err != nil {
		return nil, err
	}
	resp := &operatorv1.ApplyResponse{Revision: preview.Revision, Differences: differences(base, preview)}
	if r.dryRun {
		resp.Revision = base.Revision
		return resp, nil
	}
	_, err = s.opts.Store.Commit(ctx, base, c)
	var alreadyCommitted *store.AlreadyCommittedError
	if errors.As(err, &alreadyCommitted) {
		return s.repeatedResponse(alreadyCommitted.Change), nil
	}
	if err != nil {
		return nil, err
	}
	// The change is committed, so an error does not fail the call. This process applies the change, or a later one, once
	// it has received it.
	_ = s.opts.Node.ApplyChange(c)
	return resp, nil
}

// buildChange returns the change to commit on base.
func (s *Service) buildChange(ctx context.Context, base *cluster.State, r *changeRequest) (*operatorv1.Change, error) {
	c, err := r.change(base)
	if err != nil {
		return nil, err
	}
	c = proto.CloneOf(c)
	c.Revision = base.Revision + 1
	c.OperationId, c.Comment = r.operationID, r.comment
	c.Author, c.TimeUnixMs = identityFrom(ctx).name, s.opts.Now().UnixMilli()
	if err := checkDuplicates(c); err != nil {
		return nil, err
	}
	if err := cluster.DeriveServiceMembers(base, c); err != nil {
		return nil, err
	}
	dropUnchanged(base, c)
	return c, nil
}

// checkDuplicates rejects a change that contains an object twice, of which only one could take effect.
func checkDuplicates(c *operatorv1.Change) error {
	seen := map[cluster.Ref]bool{}
	for _, o := range c.GetUpserts() {
		ref := cluster.RefOf(o)
		if seen[ref] {
			return &cluster.ValidationError{Fields: []cluster.FieldError{{
				Ref: ref, Field: "name", Problem: "the object is given twice in one change",
			}}}
		}
		seen[ref] = true
	}
	return nil
}

// dropUnchanged removes upserts and deletes that have no effect, so that applying a whole file again commits only its
// differences and sends only these to every process.
func dropUnchanged(base *cluster.State, c *operatorv1.Change) {
	deleted := map[cluster.Ref]bool{}
	for _, r := range c.GetDeletes() {
		deleted[cluster.RefFromProto(r)] = true
	}
	c.Upserts = slices.DeleteFunc(c.GetUpserts(), func(o *operatorv1.Object) bool {
		ref := cluster.RefOf(o)
		return !deleted[ref] && base.Object(ref) != nil && proto.Equal(base.Object(ref), o)
	})
	c.Deletes = slices.DeleteFunc(c.GetDeletes(), func(r *operatorv1.ObjectRef) bool {
		return base.Object(cluster.RefFromProto(r)) == nil
	})
}

// checkExpected fails with a *store.ConflictError if base is newer than the expected revision. The error contains the
// first change after that revision or, if the log no longer holds it, only the revision of base. If base is older, it
// fails with a *FutureRevisionError.
func (s *Service) checkExpected(ctx context.Context, base *cluster.State, expected int64) error {
	if expected == 0 || expected == base.Revision {
		return nil
	}
	if expected > base.Revision {
		return &FutureRevisionError{Expected: expected, Latest: base.Revision}
	}
	winner, err := s.opts.Store.Change(ctx, expected+1)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		winner, err = &operatorv1.Change{Revision: base.Revision}, nil
	}
	if err != nil {
		return err
	}
	return &store.ConflictError{Winner: winner}
}

// repeatedResponse returns the response to a call whose operation has already been committed.
func (s *Service) repeatedResponse(committed *operatorv1.Change) *operatorv1.ApplyResponse {
	return &operatorv1.ApplyResponse{Revision: committed.GetRevision(), RepeatedOperation: true}
}

// checkAdmin rejects a change after which no operator is an admin, because nobody could change anything any more. Without
// any operator the bootstrap key would be accepted again, so the last one cannot be deleted.
func checkAdmin(before, after *cluster.State) error {
	operators := operatorsOf(after)
	if len(operators) == 0 {
		if !before.HasOperators() {
			return nil
		}
		return operatorError(operatorsOf(before)[0], "name", "the last operator cannot be deleted, as the bootstrap key would be valid again")
	}
	isAdmin := func(o *operatorv1.Object) bool { return o.GetOperator().GetRole() == operatorv1.Role_ROLE_ADMIN }
	if slices.ContainsFunc(operators, isAdmin) {
		return nil
	}
	return operatorError(operators[0], "role", "at least one operator must be an admin, as nobody could change anything")
}

// operatorsOf returns the objects of a configuration that are operators.
func operatorsOf(s *cluster.State) []*operatorv1.Object {
	var out []*operatorv1.Object
	for _, o := range s.Objects() {
		if o.GetOperator() != nil {
			out = append(out, o)
		}
	}
	return out
}

func operatorError(o *operatorv1.Object, field, problem string) error {
	return &cluster.ValidationError{Fields: []cluster.FieldError{{Ref: cluster.RefOf(o), Field: field, Problem: problem}}}
}

func differences(before, after *cluster.State) []*operatorv1.Difference {
	var out []*operatorv1.Difference
	for _, d := range cluster.Diff(before, after) {
		out = append(out, &operatorv1.Difference{Ref: d.Ref.Proto(), Before: d.Before, After: d.After})
	}
	return out
}

// Rollback implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Rollback(
	ctx context.Context, req *connect.Request[operatorv1.RollbackRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	target, err := s.opts.Store.At(ctx, req.Msg.GetToRevision())
	if err != nil {
		return nil, rpcError(err)
	}
	resp, err := s.commit(ctx, &changeRequest{
		operationID: req.Msg.GetOperationId(), comment: req.Msg.GetComment(),
		change: func(base *cluster.State) (*operatorv1.Change, error) { return changeTo(base, target), nil },
	})
	return response(resp, err)
}

// changeTo returns the change that transforms base into a configuration with the objects of target.
func changeTo(base, target *cluster.State) *operatorv1.Change {
	c := &operatorv1.Change{}
	for _, d := range cluster.Diff(base, target) {
		if d.After == nil {
			c.Deletes = append(c.Deletes, d.Ref.Proto())
		} else {
			c.Upserts = append(c.Upserts, d.After)
		}
	}
	return c
}

// Drain implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Drain(
	ctx context.Context, req *connect.Request[operatorv1.DrainRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	resp, err := s.commit(ctx, &changeRequest{
		operationID: req.Msg.GetOperationId(),
		change: func(base *cluster.State) (*operatorv1.Change, error) {
			server := base.Server(req.Msg.GetServer())
			if server == nil {
				return nil, &ObjectNotFoundError{Ref: cluster.Ref{Type: cluster.TypeServer, Name: req.Msg.GetServer()}}
			}
			server = proto.CloneOf(server)
			server.Draining = !req.Msg.GetUndo()
			return &operatorv1.Change{Upserts: []*operatorv1.Object{
				{Kind: &operatorv1.Object_Server{Server: server}},
			}}, nil
		},
	})
	return response(resp, err)
}
