package upstream

import (
	"context"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/routing"
)

type callAnswer struct {
	result *peerapi.CallResult
	e      *callerapi.Error
}

// hedged runs a call and sends it again to another replica when it takes longer than such calls usually do. The
// first answer wins; an error waits for the other answer.
func (c *Client) hedged(
	ctx context.Context, r *peerapi.CallRequest, f *flight, first *routing.Replica, delay time.Duration,
) (*peerapi.CallResult, *callerapi.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan callAnswer, 2)
	send := func(f *flight, replica *routing.Replica) {
		result, e := f.run(ctx, replica, r)
		answers <- callAnswer{result, e}
	}
	go send(f, first)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed *callerapi.Error
	for {
		select {
		case a := <-answers:
			running--
			failed = weaker(failed, a.e)
			if a.e == nil || running == 0 {
				return a.result, ifFailed(a.e, failed)
			}
		case <-timer.C:
			if second, replica := c.second(r, first); second != nil {
				running++
				go send(second, replica)
			}
		}
	}
}

// second returns the flight of a hedge at another replica, or nil.
func (c *Client) second(r *peerapi.CallRequest, first *routing.Replica) (*flight, *routing.Replica) {
	f := c.newCall(r)
	f.query.Tried = []*routing.Replica{first}
	replica, e := f.next()
	if e != nil || !c.mayRetry() {
		return nil, nil
	}
	c.counts.hedged.Add(1)
	return f, replica
}

// weaker returns the error that claims less: one that says "no" must not hide one that says "unknown".
func weaker(a, b *callerapi.Error) *callerapi.Error {
	if a == nil || (b != nil && a.Executed == callerapi.ExecutedNo) {
		return b
	}
	return a
}

func ifFailed(last, failed *callerapi.Error) *callerapi.Error {
	if last == nil {
		return nil
	}
	return failed
}
