package admission

import "time"

// Verdict is the outcome of an admission decision.
type Verdict uint8

// The verdicts.
const (
	// Wait means that the request is in the queue.
	Wait Verdict = iota
	// Run means that the request holds a slot, which Done or Release must return.
	Run
	// Refuse means that the request did not run and will not run.
	Refuse
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"wait", "run", "refuse"}[v] }

// Reason is the reason of a verdict.
type Reason uint8

// The reasons.
const (
	// FreeSlot: a slot was free on arrival and no waiting request went first.
	FreeSlot Reason = iota
	// NextInOrder: the request waited and was next in the order of the policy.
	NextInOrder
	// NoSlot: all slots are busy, or other requests go first.
	NoSlot
	// LongSlotsBusy: the free slots are reserved for kinds other than Long.
	LongSlotsBusy
	// Unmeetable: the deadline cannot be met given the predicted wait.
	Unmeetable
	// Expired: while the request waited, its deadline became unmeetable.
	Expired
	// ShedValue: the queue was full and the request had the lowest value.
	ShedValue
	// ShedShare: the queue was full and the customer exceeded its share of it.
	ShedShare
	// QueueFull: the queue was full and does not shed by value.
	QueueFull
	// Draining: the process accepts no new requests.
	Draining
)

var reasonNames = [...]string{
	"free_slot", "turn", "no_slot", "long_slots_busy", "deadline_unmeetable", "expired", "shed_value",
	"shed_share", "queue_full", "draining",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Decision is a verdict and its reason.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// PredictedWait is the wait that was predicted when the decision was made.
	PredictedWait time.Duration
	// RetryAfter is set on every refusal: the predicted time after which the same request would be accepted.
	RetryAfter time.Duration
}

// Outcome is a decision about an item that waited.
type Outcome struct {
	Item *Item
	Decision
}
