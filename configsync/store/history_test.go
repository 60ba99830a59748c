package store

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/standin/kvserver"
)

// registerIn is a call on the configuration, which is modeled as a register. A call without an operation is a read.
type registerIn struct {
	base int64
	op   string
}

// registerOut is the result of a call. The revision is that of the change that was read, that was committed earlier
// under the same operation ID, or that was committed instead of the caller's.
type registerOut struct {
	result   string
	revision int64
	op       string
}

// registerModel models the register. Its state is the list of committed operations.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{[]string(nil)} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.([]string), input.(registerIn), output.(registerOut))
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
}).ToModel()

func stepRegister(ops []string, in registerIn, out registerOut) []any {
	at := func(revision int64) string {
		if revision < 1 || revision > int64(len(ops)) {
			return ""
		}
		return ops[revision-1]
	}
	unchanged, impossible := []any{ops}, []any(nil)
	appended := []any(nil)
	if int64(len(ops)) == in.base && !slices.Contains(ops, in.op) {
		appended = []any{append(slices.Clone(ops), in.op)}
	}
	switch out.result {
	case "read":
		if out.revision == int64(len(ops)) && at(out.revision) == out.op {
			return unchanged
		}
	case "committed":
		// An earlier attempt whose response was lost may have taken effect.
		if at(in.base+1) == in.op {
			return unchanged
		}
		return appended
	case "conflict":
		if at(out.revision) == out.op && out.op != in.op && out.revision == in.base+1 {
			return unchanged
		}
	case "already committed":
		if at(out.revision) == in.op {
			return unchanged
		}
	case "unknown":
		return append(appended, ops)
	case "refused":
		return unchanged
	}
	return impossible
}

// recordHistory runs concurrent clients with lost, late and refused calls and returns their operations.
func recordHistory(t *testing.T, seed uint64) []porcupine.Operation {
	service := newSimulatedService()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	service.local.Outcome = func(string, string) kvserver.CallOutcome {
		if outcome := kvserver.CallOutcome(draw(16)); outcome <= kvserver.Delayed {
			return outcome
		}
		return kvserver.Normal
	}
	var clock atomic.Int64
	var history []porcupine.Operation
	record := func(client int, call int64, in registerIn, out registerOut) {
		end := clock.Add(1)
		if out.result == "unknown" {
			end = 1 << 60 // The operation may take effect at any later time.
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
	var clients sync.WaitGroup
	for id := range 4 {
		clients.Go(func() {
			s := service.store()
			for i := range 12 {
				runClient(t, s, draw, clock.Add, fmt.Sprintf("%d-%d", id, i), func(call int64, in registerIn, out registerOut) {
					record(id, call, in, out)
				})
				if draw(4) == 0 {
					service.local.ReleaseDelayed()
				}
			}
		})
	}
	clients.Wait()
	return history
}

// runClient reads the configuration and commits one operation, and retries while the outcome is unknown.
func runClient(
	t *testing.T, s *Store, draw func(int) int, tick func(int64) int64, op string,
	record func(call int64, in registerIn, out registerOut),
) {
	for range 3 {
		call := tick(1)
		base, err := s.Load(t.Context())
		if err != nil {
			continue
		}
		record(call, registerIn{}, registerOut{result: "read", revision: base.Revision, op: lastOp(base)})
		time.Sleep(time.Duration(draw(200)) * time.Millisecond)
		call = tick(1)
		in := registerIn{base: base.Revision, op: op}
		out := outcomeOf(s.Commit(t.Context(), base, opChange(op)))
		record(call, in, out)
		if out.result != "unknown" && out.result != "refused" {
			return
		}
	}
}

// opChange returns a change that stores its operation in the configuration, so that a read shows the last operation.
func opChange(op string) *operatorv1.Change {
	c := change(op, 1)
	c.Upserts = append(c.Upserts, &operatorv1.Object{Kind: &operatorv1.Object_Model{
		Model: &operatorv1.Model{Name: "last", Versions: []string{op}},
	}})
	return c
}

func outcomeOf(_ *cluster.State, err error) registerOut {
	var conflict *ConflictError
	var alreadyCommitted *AlreadyCommittedError
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		return registerOut{result: "committed"}
	case errors.As(err, &conflict):
		return registerOut{
			result: "conflict", revision: conflict.Winner.GetRevision(), op: conflict.Winner.GetOperationId(),
		}
	case errors.As(err, &alreadyCommitted):
		return registerOut{result: "already committed", revision: alreadyCommitted.Change.GetRevision()}
	case errors.As(err, &unknown):
		return registerOut{result: "unknown"}
	}
	return registerOut{result: "refused"}
}

// Guards against histories that a register with compare-and-swap cannot produce: two changes committed under one
// revision, a change reported as committed and lost, or an operation committed twice.
func TestConcurrentCommitsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			history := recordHistory(t, seed)
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, history, 0), "seed %d", seed)
		})
	}
}

// stateMachine is the model that rapid drives: two processes that use one log, and the changes expected in the log.
type stateMachine struct {
	service *simulatedService
	stores  [2]*Store
	// seen is the configuration that each process read or committed last.
	seen [2]*cluster.State
	// accepted are the changes expected in the log. pending are those that may have been committed or may be later.
	accepted []*operatorv1.Change
	pending  []*operatorv1.Change
	next     int
}

// reconcile accepts a pending change that has taken effect. It fails if the log holds anything else.
func (m *stateMachine) reconcile(t *rapid.T) *cluster.State {
	state, err := m.service.store().Load(t.Context())
	require.NoError(t, err)
	for _, c := range m.pending {
		if c.GetRevision() == int64(len(m.accepted))+1 && state.Revision >= c.GetRevision() {
			got, err := m.service.store().Change(t.Context(), c.GetRevision())
			require.NoError(t, err)
			if got.GetOperationId() == c.GetOperationId() {
				m.accepted = append(m.accepted, c)
			}
		}
	}
	require.Equal(t, int64(len(m.accepted)), state.Revision)
	if n := len(m.accepted); n > 0 {
		require.Equal(t, weightOf(m.accepted[n-1]), state.Customer("c").GetWeight())
	}
	return state
}

func weightOf(c *operatorv1.Change) int32 { return c.GetUpserts()[0].GetCustomer().GetWeight() }

func (m *stateMachine) commit(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "process")
	outcome := kvserver.CallOutcome(rapid.IntRange(0, int(kvserver.Delayed)).Draw(t, "outcome"))
	if rapid.Bool().Draw(t, "fresh") {
		m.seen[i] = m.reconcile(t)
	}
	if rapid.Bool().Draw(t, "new") {
		m.next++
	}
	c := change(fmt.Sprintf("op%d", m.next), m.next+1)
	c.Revision = m.seen[i].Revision + 1
	if outcome != kvserver.Normal {
		m.service.local.Outcome = outcomeThenRefuse(outcome)
	}
	next, err := m.stores[i].Commit(t.Context(), m.seen[i], c)
	m.service.local.Outcome = nil
	m.check(t, c, err)
	if err == nil {
		m.seen[i] = next
	}
}

// check compares the result of a commit with the expected log.
func (m *stateMachine) check(t *rapid.T, c *operatorv1.Change, err error) {
	acceptedIndex := slices.IndexFunc(m.accepted, func(a *operatorv1.Change) bool {
		return a.GetOperationId() == c.GetOperationId()
	})
	var alreadyCommitted *AlreadyCommittedError
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	var unavailable *kv.UnavailableError
	switch {
	case errors.As(err, &alreadyCommitted):
		m.reconcile(t)
		require.Equal(t, c.GetOperationId(), m.accepted[alreadyCommitted.Change.GetRevision()-1].GetOperationId())
	case errors.As(err, &conflict):
		m.reconcile(t)
		require.GreaterOrEqual(t, int64(len(m.accepted)), c.GetRevision(), "a conflict requires a committed change")
	case errors.As(err, &unknown):
		m.pending = append(m.pending, c)
	case errors.As(err, &unavailable):
	default:
		require.NoError(t, err)
		if acceptedIndex < 0 {
			m.pending = append(m.pending, c)
			m.reconcile(t)
		}
		require.GreaterOrEqual(t, int64(len(m.accepted)), c.GetRevision(), "a committed change must be in the log")
		require.Equal(t, c.GetOperationId(), m.accepted[c.GetRevision()-1].GetOperationId())
	}
}

// Guards against sequences of commits, retries, lost and late responses, snapshots and trims after which the log
// differs from the accepted changes.
func TestStoreStateMachine(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20261204"))
	rapid.Check(t, runStateMachine)
}

func runStateMachine(t *rapid.T) {
	m := &stateMachine{service: newSimulatedService(), seen: [2]*cluster.State{cluster.Empty(), cluster.Empty()}}
	for i := range m.stores {
		m.stores[i] = m.service.store()
		m.stores[i].sleep = func(context.Context, time.Duration) bool { return true }
	}
	t.Repeat(map[string]func(*rapid.T){
		"commit": m.commit,
		"run":    m.commitSeveral,
		"late":   func(t *rapid.T) { m.reconcile(t); m.service.local.ReleaseDelayed(); m.reconcile(t) },
		"maintain": func(t *rapid.T) {
			_, err := m.stores[0].Maintain(t.Context(), m.reconcile(t))
			require.NoError(t, err)
		},
		"at": m.at,
	})
}

// at checks that an earlier configuration can be read back.
func (m *stateMachine) at(t *rapid.T) {
	m.reconcile(t)
	if len(m.accepted) == 0 {
		return
	}
	revision := rapid.IntRange(max(1, len(m.accepted)-7), len(m.accepted)).Draw(t, "revision")
	at, err := m.service.store().At(t.Context(), int64(revision))
	require.NoError(t, err)
	require.Equal(t, weightOf(m.accepted[revision-1]), at.Customer("c").GetWeight())
}

// commitSeveral commits several changes, so that there is something to trim.
func (m *stateMachine) commitSeveral(t *rapid.T) {
	state := m.reconcile(t)
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		m.next++
		c := change(fmt.Sprintf("op%d", m.next), m.next+1)
		c.Revision = state.Revision + 1
		next, err := m.stores[1].Commit(t.Context(), state, c)
		m.check(t, c, err)
		if err != nil {
			return
		}
		state = next
	}
}

func lastOp(s *cluster.State) string {
	if v := s.Model("last").GetVersions(); len(v) > 0 {
		return v[0]
	}
	return ""
}
