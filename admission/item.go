package admission

import "time"

// MaxPriority is the highest priority of a request.
const MaxPriority = 9

// Request describes a request to the queue.
type Request struct {
	ID       string
	Customer string
	// Weight is the customer's weight; values below 1 count as 1.
	Weight int
	Kind   Kind
	// Priority is 0 (lowest) to MaxPriority; values outside are clamped.
	Priority int
	// Deadline is the time by which the response must be complete; 0 means none.
	Deadline time.Duration
	// Model and MaxTokens describe a generation; MaxTokens is 0 when the caller set no limit.
	Model     string
	MaxTokens int
}

type itemState uint8

const (
	stateNew itemState = iota
	stateWaiting
	stateRunning
	stateDone
	stateRefused
)

// Item is the state of one request in a Queue. It must not be copied or offered twice. Its fields may be changed
// only before it is offered.
type Item struct {
	Request
	// Owner holds data of the code that uses the queue; the queue does not read it.
	Owner any

	cust *customer
	// tokens is the predicted number of generated tokens, 0 for kinds that are not generations.
	tokens float64
	// serviceSeconds is the predicted service time.
	serviceSeconds float64
	// uncorrectedWait is the wait in seconds that was predicted on arrival, before the correction by waitBias.
	uncorrectedWait float64
	arrived         time.Duration
	// key orders items by effective priority: arrival time minus level times aging step. All waiting items gain one
	// level per aging step, so the order of two items never changes while they wait.
	key time.Duration
	// latestStart is the latest start at which the request is expected to meet its deadline.
	latestStart time.Duration
	// seq numbers the items by arrival.
	seq uint64
	// orderPos and deadlinePos are the positions in the heaps of the policy and of the deadlines.
	orderPos    int32
	deadlinePos int32
	// valueClass is the rank of the item's value; load shedding begins with the lowest class.
	valueClass uint8
	state      itemState
	started    bool
	// inCustomer and inAll link the item in the lists of its customer and of all waiting items.
	inCustomer links
	inAll      links
}

// Wait returns the time from the item's arrival to now.
func (it *Item) Wait(now time.Duration) time.Duration { return now - it.arrived }

// Refused reports whether the item was refused.
func (it *Item) Refused() bool { return it.state == stateRefused }

// Started reports whether the item ever held a slot.
func (it *Item) Started() bool { return it.started }

// Running reports whether the item holds a slot.
func (it *Item) Running() bool { return it.state == stateRunning }

// Predicted returns the predicted number of tokens and the predicted service time.
func (it *Item) Predicted() (tokens float64, service time.Duration) {
	return it.tokens, time.Duration(it.serviceSeconds * float64(time.Second))
}

func (it *Item) lane() uint8 { return laneOf(it.Kind, it.cust.excess) }

func (r *Request) normalize() {
	r.Weight = max(r.Weight, 1)
	r.Priority = min(max(r.Priority, 0), MaxPriority)
}
