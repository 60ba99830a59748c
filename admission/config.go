package admission

import (
	"fmt"
	"time"
)

// MaxWaiting is the default maximum number of requests that wait at one sidecar.
const MaxWaiting = 10_000

// AgingStep is the waiting time that raises a request by one priority level.
const AgingStep = 2 * time.Second

// Config configures a Queue. Single mechanisms can be turned off for baselines, tests and measurements.
type Config struct {
	Policy     PolicyName
	MaxWaiting int
	// ReservedShare is the fraction of the slots that requests of kind Long may not use.
	ReservedShare float64
	AgingStep     time.Duration
	// KindBoost is added to the priority of a request when kinds are compared.
	KindBoost [numKinds]int
	// ExcessPenalty is subtracted from the priority of requests of a customer that exceeds its share of a saturated
	// server; 0 turns it off.
	ExcessPenalty int
	// KindWeight is the value of a request of priority 0, by kind; at priority p the value is p+1 times as high. Load
	// shedding compares values.
	KindWeight [numKinds]float64
	// RefuseUnmeetable refuses on arrival requests that cannot meet their deadline given the predicted wait.
	RefuseUnmeetable bool
	// DropExpired drops waiting requests that can no longer meet their deadline.
	DropExpired bool
	// ShedByValue sheds the least valuable request of a full queue, beginning with customers that exceed their share
	// of it. If it is false, a full queue refuses new requests.
	ShedByValue bool
	Limit       LimitConfig
}

// DefaultConfig returns the configuration of sidecars.
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

// BaselineConfig returns a baseline for comparison: the given policy and a bounded queue that refuses new requests
// when it is full. Expired requests are dropped, since their callers no longer wait for the response.
func BaselineConfig(policy PolicyName) Config {
	c := DefaultConfig()
	c.Policy = policy
	c.ReservedShare = 0
	c.RefuseUnmeetable = false
	c.ShedByValue = false
	return c
}

// ConfigError reports an invalid value of a Config field.
type ConfigError struct {
	Field string
	Value any
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: invalid %s: %v", e.Field, e.Value)
}

func (c *Config) validate() error {
	l := c.Limit
	switch {
	case c.Policy != Fair && c.Policy != FIFO && c.Policy != Priority:
		return &ConfigError{"policy", c.Policy}
	case c.MaxWaiting < 1:
		return &ConfigError{"maximum queue length", c.MaxWaiting}
	case c.ReservedShare < 0 || c.ReservedShare >= 1:
		return &ConfigError{"reserved share", c.ReservedShare}
	case c.AgingStep <= 0:
		return &ConfigError{"aging step", c.AgingStep}
	case l.Min < 1 || l.Initial < l.Min || l.Max < l.Initial:
		return &ConfigError{"concurrency limit", l}
	case !l.Fixed && l.Tolerance <= 1:
		return &ConfigError{"concurrency limit tolerance", l.Tolerance}
	}
	return nil
}

// laneBoost returns the number of levels added to the priority of requests in each lane.
func (c *Config) laneBoost() [numLanes]int {
	var out [numLanes]int
	for k, boost := range c.KindBoost {
		out[k], out[k+numKinds] = boost, boost-c.ExcessPenalty
	}
	return out
}
