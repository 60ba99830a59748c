package admission

import (
	"fmt"
	"time"
)

// MaxWaiting is the number of requests that may wait at one side process.
const MaxWaiting = 10_000

// AgingStep is the waiting time that raises a request by one priority level.
const AgingStep = 2 * time.Second

// Config sets a Queue. The switches turn single mechanisms off for baselines, tests and measurements.
type Config struct {
	Policy     PolicyName
	MaxWaiting int
	// ReservedShare is the part of the slots that long work may not use.
	ReservedShare float64
	AgingStep     time.Duration
	// KindBoost is added to the priority when kinds are compared.
	KindBoost [numKinds]int
	// ExcessPenalty is taken from the priority of work beyond the customer's share of a full server; 0 is off.
	ExcessPenalty int
	// KindWeight is the value of a request of priority 0.
	KindWeight [numKinds]float64
	// RefuseUnmeetable refuses on arrival what cannot meet its deadline given the predicted wait.
	RefuseUnmeetable bool
	// DropExpired gives up waiting requests that can no longer meet their deadline.
	DropExpired bool
	// ShedByValue gives up the least valuable request of a full queue, excess of heavy customers first;
	// otherwise the newcomer is refused.
	ShedByValue bool
	Limit       LimitConfig
}

// DefaultConfig returns the configuration that side processes use.
func DefaultConfig() Config {
	return Config{
		Policy:           Fair,
		MaxWaiting:       MaxWaiting,
		ReservedShare:    0.3,
		AgingStep:        AgingStep,
		KindBoost:        [numKinds]int{Status: 6, Command: 7, Short: 2, Long: 0},
		ExcessPenalty:    5,
		KindWeight:       [numKinds]float64{Status: 2, Command: 4, Short: 2, Long: 1},
		RefuseUnmeetable: true,
		DropExpired:      true,
		ShedByValue:      true,
		Limit:            LimitConfig{Initial: 16, Min: 4, Max: 512, Tolerance: 1.25},
	}
}

// BaselineConfig returns a baseline: the order of the given policy and a bounded queue that refuses newcomers
// when it is full. Expired requests are given up, since their callers no longer wait for the answer.
func BaselineConfig(policy PolicyName) Config {
	c := DefaultConfig()
	c.Policy = policy
	c.ReservedShare = 0
	c.RefuseUnmeetable = false
	c.ShedByValue = false
	return c
}

// ConfigError says that a field of a Config has no usable value.
type ConfigError struct {
	Field string
	Value any
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: %s cannot be %v", e.Field, e.Value)
}

func (c *Config) validate() error {
	l := c.Limit
	switch {
	case c.Policy != Fair && c.Policy != FIFO && c.Policy != Priority:
		return &ConfigError{"policy", c.Policy}
	case c.MaxWaiting < 1:
		return &ConfigError{"bound of the queue", c.MaxWaiting}
	case c.ReservedShare < 0 || c.ReservedShare >= 1:
		return &ConfigError{"reserved share", c.ReservedShare}
	case c.AgingStep <= 0:
		return &ConfigError{"aging step", c.AgingStep}
	case l.Min < 1 || l.Initial < l.Min || l.Max < l.Initial:
		return &ConfigError{"concurrency limit", l}
	case !l.Fixed && l.Tolerance <= 1:
		return &ConfigError{"tolerance of the concurrency limit", l.Tolerance}
	}
	return nil
}

// laneBoost returns the levels added to the priority of each lane.
func (c *Config) laneBoost() [numLanes]int {
	var out [numLanes]int
	for k, boost := range c.KindBoost {
		out[k], out[k+numKinds] = boost, boost-c.ExcessPenalty
	}
	return out
}
