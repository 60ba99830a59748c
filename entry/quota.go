package entry

import (
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/routing"
)

// Quota bounds what a customer sends through this entry.
type Quota struct {
	Buckets *routing.Quota
	// Entries returns the number of live entries, over which the quota of a customer is divided.
	Entries func() int
}

// grant takes one request from the customer's quota.
func (x *exchange) grant() *callerapi.Error {
	q := x.s.opts.Quota
	if q == nil {
		return nil
	}
	wait, ok := q.Buckets.TakeRequest(time.Now(), x.customer, q.Entries())
	if ok {
		return nil
	}
	return callerapi.NotRun(callerapi.QuotaExceeded, "the quota of customer %q is used up", x.customer.GetName()).
		WithRetryAfter(wait)
}

// spent takes generated tokens from the customer's quota.
func (x *exchange) spent(tokens int) {
	if q := x.s.opts.Quota; q != nil && tokens > 0 {
		q.Buckets.TakeTokens(x.customer, tokens)
	}
}
