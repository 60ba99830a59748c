package orders

import "slices"

// EngineState is what an engine has loaded, or should load, and its role.
type EngineState struct {
	Model, Version string
	Adapters       []string
	Role           string
}

// Diff returns the orders, without IDs, that bring an engine from its current state to the target state: loads first,
// then the role, then unloads. The engine can therefore serve throughout. Pass the zero EngineState if the current
// state is unknown; a load of something already loaded has no effect.
func Diff(current, target EngineState) []Order {
	var out []Order
	sameModel := current.Model == target.Model && current.Version == target.Version
	if !sameModel && target.Model != "" {
		out = append(out, Order{Kind: Load, Model: target.Model, Version: target.Version, Class: CustomerFacing})
	}
	for _, a := range target.Adapters {
		if !sameModel || !slices.Contains(current.Adapters, a) {
			out = append(out, Order{
				Kind: Load, Model: target.Model, Version: target.Version, Adapter: a, Class: CustomerFacing,
			})
		}
	}
	if current.Role != target.Role {
		out = append(out, Order{Kind: SetRole, Role: target.Role})
	}
	for _, a := range current.Adapters {
		if !sameModel || !slices.Contains(target.Adapters, a) {
			out = append(out, Order{Kind: Unload, Model: current.Model, Version: current.Version, Adapter: a})
		}
	}
	if !sameModel && current.Model != "" {
		out = append(out, Order{Kind: Unload, Model: current.Model, Version: current.Version})
	}
	return out
}

// UnloadOthers returns the orders, without IDs, that unload all versions and adapters of a model that are not part of
// the target state. It is for an engine in an unknown state; an unload of something not loaded has no effect.
func UnloadOthers(target EngineState, versions, adapters []string) []Order {
	var out []Order
	for _, a := range adapters {
		if !slices.Contains(target.Adapters, a) {
			out = append(out, Order{Kind: Unload, Model: target.Model, Version: target.Version, Adapter: a})
		}
	}
	for _, v := range versions {
		if v == target.Version {
			continue
		}
		for _, a := range adapters {
			out = append(out, Order{Kind: Unload, Model: target.Model, Version: v, Adapter: a})
		}
		out = append(out, Order{Kind: Unload, Model: target.Model, Version: v})
	}
	return out
}
