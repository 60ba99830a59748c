package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/feed"
)

// Get implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Get(
	_ context.Context, req *connect.Request[operatorv1.GetRequest],
) (*connect.Response[operatorv1.GetResponse], error) {
	st := s.state()
	ref := cluster.RefFromProto(req.Msg.GetRef())
	o := st.Object(ref)
	if o == nil {
		return nil, rpcError(&ObjectNotFoundError{Ref: ref})
	}
	return connect.NewResponse(&operatorv1.GetResponse{Revision: st.Revision, Object: o}), nil
}

// List implements operatorv1connect.OperatorServiceHandler.
func (s *Service) List(
	_ context.Context, req *connect.Request[operatorv1.ListRequest],
) (*connect.Response[operatorv1.ListResponse], error) {
	st := s.state()
	objectType := cluster.Type(req.Msg.GetType())
	if objectType != "" && !slices.Contains(cluster.Types, objectType) {
		return nil, rpcError(&UnknownTypeError{Type: objectType})
	}
	out := &operatorv1.ListResponse{Revision: st.Revision}
	for _, o := range st.Objects() {
		if objectType == "" || cluster.RefOf(o).Type == objectType {
			out.Objects = append(out.Objects, o)
		}
	}
	return connect.NewResponse(out), nil
}

// Diff implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Diff(
	ctx context.Context, req *connect.Request[operatorv1.DiffRequest],
) (*connect.Response[operatorv1.DiffResponse], error) {
	resp, err := s.commit(ctx, &changeRequest{
		dryRun: true,
		change: func(*cluster.State) (*operatorv1.Change, error) {
			return &operatorv1.Change{Upserts: req.Msg.GetUpserts(), Deletes: req.Msg.GetDeletes()}, nil
		},
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(&operatorv1.DiffResponse{
		Revision: resp.GetRevision(), Differences: resp.GetDifferences(),
	}), nil
}

// Limits of History.
const (
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
)

// History implements operatorv1connect.OperatorServiceHandler.
func (s *Service) History(
	ctx context.Context, req *connect.Request[operatorv1.HistoryRequest],
) (*connect.Response[operatorv1.HistoryResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit <= 0 {
		limit = defaultHistoryLimit
	}
	before := req.Msg.GetBeforeRevision()
	if before <= 0 {
		latest, err := s.latest(ctx)
		if err != nil {
			return nil, rpcError(err)
		}
		before = latest.Revision + 1
	}
	changes, err := s.opts.Store.History(ctx, before, min(limit, maxHistoryLimit))
	return response(&operatorv1.HistoryResponse{Changes: changes}, err)
}

// Watch implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Watch(
	ctx context.Context, req *connect.Request[operatorv1.WatchRequest],
	stream *connect.ServerStream[operatorv1.WatchResponse],
) error {
	lastSentRevision := req.Msg.GetAfterRevision()
	if lastSentRevision <= 0 {
		lastSentRevision = s.state().Revision
	}
	for {
		changed := s.opts.Node.Changed()
		changes, err := s.changesAfter(ctx, lastSentRevision)
		if err != nil {
			return rpcError(err)
		}
		for _, c := range changes {
			if err := stream.Send(&operatorv1.WatchResponse{Change: c}); err != nil {
				return err
			}
			lastSentRevision = c.GetRevision()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// changesAfter returns the changes after a revision, up to the active revision of this process, from memory or from the
// log.
func (s *Service) changesAfter(ctx context.Context, revision int64) ([]*operatorv1.Change, error) {
	activeRevision := s.state().Revision
	if activeRevision <= revision {
		return nil, nil
	}
	if changes, ok := s.opts.Node.ChangesAfter(revision); ok {
		return changes, nil
	}
	return s.opts.Store.Range(ctx, revision, activeRevision)
}

// Limits of Status.
const (
	maxParallelStatus = 64
	statusTimeout     = 2 * time.Second
)

// Status implements operatorv1connect.OperatorServiceHandler.
func (s *Service) Status(
	ctx context.Context, _ *connect.Request[operatorv1.StatusRequest],
) (*connect.Response[operatorv1.StatusResponse], error) {
	out := &operatorv1.StatusResponse{Revision: s.state().Revision}
	if s.opts.Processes == nil {
		return connect.NewResponse(out), nil
	}
	peers := s.opts.Processes()
	out.Processes = make([]*operatorv1.ProcessStatus, len(peers))
	var g errgroup.Group
	g.SetLimit(maxParallelStatus)
	for i, p := range peers {
		g.Go(func() error {
			out.Processes[i] = s.processStatus(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	return connect.NewResponse(out), nil
}

// processStatus returns the status that a process reports, or the error of the request for it.
func (s *Service) processStatus(ctx context.Context, p feed.Peer) *operatorv1.ProcessStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := &operatorv1.ProcessStatus{Name: p.Name, Address: p.Address}
	report, err := s.requestStatus(ctx, p)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	out.Program, out.RevisionInForce = report.Program, report.Revision
	out.Refused, out.Draining = report.Refused, report.Draining
	if b := report.Build; b != nil {
		out.Build = &operatorv1.Build{Version: b.Version, Revision: b.Revision, Id: b.ID}
	}
	return out
}

// maxStatusBytes bounds the status of a process.
const maxStatusBytes = 4 << 20

func (s *Service) requestStatus(ctx context.Context, p feed.Peer) (*peerapi.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+peerapi.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.opts.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &feed.StatusError{Status: resp.StatusCode}
	}
	var report peerapi.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&report); err != nil {
		return nil, err
	}
	return &report, nil
}
