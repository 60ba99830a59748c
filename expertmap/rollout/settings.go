package rollout

import (
	"time"

	"lavendermoor.example/expertmap"
)

// Settings are the parameters by which a Planner decides whether a new map is worth its cost.
type Settings struct {
	Shape expertmap.Shape
	// MaxNewPerLayer is the largest number of experts of one layer that a rank can transfer for one map.
	MaxNewPerLayer int
	// ExpertTransferTime is the time that a rank needs to transfer one expert of one layer.
	ExpertTransferTime time.Duration
	// DemandTimeConstant is the time constant of the demand estimate.
	DemandTimeConstant time.Duration
	// Horizon is the time for which a map is expected to be useful.
	Horizon time.Duration
	// MinGain is the fraction of the pass time that a map must save while passes are long. With shorter passes, a map
	// must save more.
	MinGain float64
	// TargetGap is the target for the longest gap between two events of a response stream, 0 if unknown.
	TargetGap time.Duration
	// PollInterval is the time between two polls of the counts of the sampled ranks, FullPollInterval that between two
	// polls of all ranks while no map is changed.
	PollInterval, FullPollInterval time.Duration
	// LeaseRemaining returns the remaining time of the planner's lease. Nil means that the lease does not expire.
	LeaseRemaining func() time.Duration
	// PrepareTimeout is added to transferTimeMargin times the expected transfer time. A map that is not loaded on every
	// rank by then is abandoned.
	PrepareTimeout time.Duration
}

// DefaultSettings returns the default settings for a shape.
func DefaultSettings(s expertmap.Shape, maxNewPerLayer int, expertTransferTime time.Duration) Settings {
	return Settings{
		Shape: s, MaxNewPerLayer: maxNewPerLayer, ExpertTransferTime: expertTransferTime,
		DemandTimeConstant: 700 * time.Millisecond, Horizon: time.Second,
		MinGain: 0.03, PrepareTimeout: 400 * time.Millisecond,
		PollInterval:     pollBaseInterval + time.Duration(s.Ranks)*pollIntervalPerRank,
		FullPollInterval: fullPollBaseInterval + time.Duration(s.Ranks)*fullPollIntervalPerRank,
	}
}

const (
	// pollBaseInterval plus pollIntervalPerRank for each rank is the time between two polls of the counts, 70 ms for 63
	// ranks. The time until a shift of demand is detected follows from it.
	pollBaseInterval    = 45 * time.Millisecond
	pollIntervalPerRank = 400 * time.Microsecond
	// fullPollBaseInterval plus fullPollIntervalPerRank for each rank is the time between two polls of all ranks. The
	// planner's CPU time and network traffic for a poll grow with the number of ranks.
	fullPollBaseInterval    = 110 * time.Millisecond
	fullPollIntervalPerRank = 4500 * time.Microsecond
	// changePollBaseInterval plus changePollIntervalPerRank for each rank is the time between two polls during a map
	// change. These polls request no counts and are cheaper.
	changePollBaseInterval    = 40 * time.Millisecond
	changePollIntervalPerRank = 700 * time.Microsecond
	// switchPollInterval is the time between two reads of the planner's own rank until the pass of a switch begins.
	switchPollInterval = 15 * time.Millisecond
	// transferSlowdown is the fraction by which passes take longer while a rank transfers experts.
	transferSlowdown = 0.15
	// switchDelay is the approximate time between the last transfer and the pass at which the map is switched.
	switchDelay = 150 * time.Millisecond
	// minLeaseForSwitch is the remaining lease time required to begin a switch.
	minLeaseForSwitch = time.Second
	// transferTimeMargin is the factor by which the transfers may exceed their expected time before the map is
	// abandoned.
	transferTimeMargin = 2
)
