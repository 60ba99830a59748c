package upstream

import (
	"context"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/routing"
)

type callResponse struct {
	result *peerapi.CallResult
	e      *callerapi.Error
}

// callHedged runs a call, and sends it again to another replica if it takes longer than delay, that is, longer than
// usual. It returns the first result. After an error, it waits for the other response if one is pending.
func (c *Client) callHedged(
	ctx context.Context, r *peerapi.CallRequest, state *requestState, first *routing.Replica, delay time.Duration,
) (*peerapi.CallResult, *callerapi.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan callResponse, 2)
	send := func(state *requestState, replica *routing.Replica) {
		result, e := state.run(ctx, replica, r)
		responses <- callResponse{result, e}
	}
	go send(state, first)
	pending := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var combined *callerapi.Error
	for {
		select {
		case resp := <-responses:
			pending--
			combined = lessCertain(combined, resp.e)
			if resp.e == nil || pending == 0 {
				return resp.result, errorUnlessOK(resp.e, combined)
			}
		case <-timer.C:
			if hedge, replica := c.newHedge(r, first); hedge != nil {
				pending++
				go send(hedge, replica)
			}
		}
	}
}

// newHedge returns the state and the replica of a hedge, or nil if there is no other replica or the retry budget is
// used up.
func (c *Client) newHedge(r *peerapi.CallRequest, first *routing.Replica) (*requestState, *routing.Replica) {
	state := c.newCallState(r)
	state.query.Tried = []*routing.Replica{first}
	replica, e := state.nextReplica()
	if e != nil || !c.takeRetry() {
		return nil, nil
	}
	c.counters.hedged.Add(1)
	return state, replica
}

// lessCertain returns the error that leaves the outcome of the call less certain. An error that reports that the call
// did not run must not hide one that reports that it may have run.
func lessCertain(a, b *callerapi.Error) *callerapi.Error {
	if a == nil || (b != nil && a.Executed == callerapi.ExecutedNo) {
		return b
	}
	return a
}

func errorUnlessOK(last, combined *callerapi.Error) *callerapi.Error {
	if last == nil {
		return nil
	}
	return combined
}
