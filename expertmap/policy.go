package expertmap

import "fmt"

// Policy decides whether to replace the current map, and by which map. Improve is the default; the other policies are
// baselines for comparison.
type Policy func(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error)

// Policy names in settings.
const (
	PolicyImprove      = "improve"
	PolicyNever        = "never"
	PolicyOnce         = "once"
	PolicyFull         = "full"
	PolicyLongestFirst = "longest_first"
)

// UnknownPolicyError reports an unknown policy name.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("placement policy %q does not exist", e.Name)
}

// PolicyByName returns the policy with the given name; the empty name selects Improve. It fails with an
// *UnknownPolicyError.
func PolicyByName(name string) (Policy, error) {
	switch name {
	case PolicyImprove, "":
		return Improve, nil
	case PolicyNever:
		return never, nil
	case PolicyOnce:
		return once, nil
	case PolicyFull:
		return fullPlacement(Balanced), nil
	case PolicyLongestFirst:
		return fullPlacement(longestFirst), nil
	}
	return nil, &UnknownPolicyError{Name: name}
}

// never keeps the current map at every decision.
func never(current *Map, load *ExpertLoad, speed []float64, _ Costs) (Plan, error) {
	t := PredictStepTiming(current, load, speed).Step
	return Plan{Before: t, After: t}, nil
}

// once replaces the first map, which was placed without load measurements, and keeps the second one.
func once(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error) {
	if current.Version > 1 {
		return never(current, load, speed, costs)
	}
	return fullPlacement(Balanced)(current, load, speed, costs)
}

// fullPlacement returns a policy that places all experts from scratch at each decision, regardless of cost.
func fullPlacement(place func(int64, *ExpertLoad, []float64) (*Map, error)) Policy {
	return func(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error) {
		next, err := place(current.Version+1, load, speed)
		if err != nil {
			return Plan{}, err
		}
		transfers := TotalTransfers(current, next)
		return Plan{
			Map: next, Transfers: transfers, Bytes: int64(transfers) * costs.ExpertBytes,
			Before: PredictStepTiming(current, load, speed).Step, After: PredictStepTiming(next, load, speed).Step,
		}, nil
	}
}
