package entry

import (
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/routing"
)

// Quota limits the requests and tokens of each customer at this entry.
type Quota struct {
	Limiter *routing.QuotaLimiter
	// Entries returns the number of live entries, among which a customer's quota is divided.
	Entries func() int
}

// takeQuota takes one request from the customer's quota, or refuses it.
func (x *exchange) takeQuota() *callerapi.Error {
	q := x.server.opts.Quota
	if q == nil {
		return nil
	}
	wait, ok := q.Limiter.TakeRequest(time.Now(), x.customer, q.Entries())
	if ok {
		return nil
	}
	return callerapi.NotExecuted(callerapi.QuotaExceeded, "the quota of customer %q is used up", x.customer.GetName()).
		WithRetryAfter(wait)
}

// chargeTokens charges generated tokens to the customer's quota.
func (x *exchange) chargeTokens(tokens int) {
	if q := x.server.opts.Quota; q != nil && tokens > 0 {
		q.Limiter.TakeTokens(x.customer, tokens)
	}
}
