package expertmap

import "fmt"

// Policy decides on the next map. Improve is the usual one, the others are baselines to compare it with.
type Policy func(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error)

// Names of policies in settings.
const (
	PolicyImprove      = "improve"
	PolicyNever        = "never"
	PolicyOnce         = "once"
	PolicyFull         = "full"
	PolicyLongestFirst = "longest_first"
)

// PolicyError says that there is no policy of a name.
type PolicyError struct{ Name string }

func (e *PolicyError) Error() string {
	return fmt.Sprintf("placement policy %q does not exist", e.Name)
}

// PolicyByName returns a policy; the empty name is that of Improve. It fails with a *PolicyError.
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
	return nil, &PolicyError{Name: name}
}

// never keeps the map.
func never(current *Map, load *ExpertLoad, speed []float64, _ Costs) (Plan, error) {
	t := StepTimes(current, load, speed).Step
	return Plan{Before: t, After: t}, nil
}

// once replaces the first map, which was made without knowledge of popularity, and then keeps the second.
func once(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error) {
	if current.Version > 1 {
		return never(current, load, speed, costs)
	}
	return fullPlacement(Balanced)(current, load, speed, costs)
}

// fullPlacement places all experts anew at each decision, whatever it costs.
func fullPlacement(place func(int64, *ExpertLoad, []float64) (*Map, error)) Policy {
	return func(current *Map, load *ExpertLoad, speed []float64, costs Costs) (Plan, error) {
		next, err := place(current.Version+1, load, speed)
		if err != nil {
			return Plan{}, err
		}
		transfers := TotalTransfers(current, next)
		return Plan{
			Map: next, Transfers: transfers, Bytes: int64(transfers) * costs.ExpertBytes,
			Before: StepTimes(current, load, speed).Step, After: StepTimes(next, load, speed).Step,
		}, nil
	}
}
