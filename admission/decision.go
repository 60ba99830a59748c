package admission

import "time"

// Verdict is what was decided about a request.
type Verdict uint8

// The verdicts.
const (
	// Wait means that the request is in the queue.
	Wait Verdict = iota
	// Run means that the request holds a slot and must be given back with Done or Release.
	Run
	// Refuse means that the request did not run and will not run.
	Refuse
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"wait", "run", "refuse"}[v] }

// Reason says why a verdict was reached.
type Reason uint8

// The reasons.
const (
	// FreeSlot: a slot was free on arrival and nothing was ahead.
	FreeSlot Reason = iota
	// NextInOrder: the request waited and was the next in order.
	NextInOrder
	// NoSlot: every slot is busy, or other work is ahead.
	NoSlot
	// LongSlotsBusy: the free slots are reserved for kinds other than Long.
	LongSlotsBusy
	// Unmeetable: the deadline cannot be met given the predicted wait.
	Unmeetable
	// Expired: the deadline can no longer be met, after the request waited.
	Expired
	// ShedValue: the queue was full and the request had the lowest value.
	ShedValue
	// ShedShare: the queue was full and the customer held more than its share of it.
	ShedShare
	// QueueFull: the queue was full and does not shed by value.
	QueueFull
	// Draining: the process accepts no new work.
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
	// PredictedWait is the wait expected when the decision was made.
	PredictedWait time.Duration
	// RetryAfter is set on every refusal: the time after which the same request would be
	// accepted, as far as the queue can tell.
	RetryAfter time.Duration
}

// Outcome is a decision about an item that was waiting.
type Outcome struct {
	Item *Item
	Decision
}
