package orders

import "slices"

// EngineState is what an engine has loaded, or should load, and its role.
type EngineState struct {
	Model, Version string
	Adapters       []string
	Role           string
}

// Diff returns the orders, without IDs, that bring an engine from one state to another: loads first, then the role,
// then unloads, so that the engine can serve throughout. Pass the zero EngineState for an engine whose state is not
// known; a load of something already loaded has no effect.
func Diff(have, want EngineState) []Order {
	var out []Order
	sameModel := have.Model == want.Model && have.Version == want.Version
	if !sameModel && want.Model != "" {
		out = append(out, Order{Kind: Load, Model: want.Model, Version: want.Version, Class: CustomerFacing})
	}
	for _, a := range want.Adapters {
		if !sameModel || !slices.Contains(have.Adapters, a) {
			out = append(out, Order{Kind: Load, Model: want.Model, Version: want.Version, Adapter: a, Class: CustomerFacing})
		}
	}
	if have.Role != want.Role {
		out = append(out, Order{Kind: SetRole, Role: want.Role})
	}
	for _, a := range have.Adapters {
		if !sameModel || !slices.Contains(want.Adapters, a) {
			out = append(out, Order{Kind: Unload, Model: have.Model, Version: have.Version, Adapter: a})
		}
	}
	if !sameModel && have.Model != "" {
		out = append(out, Order{Kind: Unload, Model: have.Model, Version: have.Version})
	}
	return out
}

// UnloadOthers returns the orders, without IDs, that unload all versions and adapters of a model that the engine should
// not have. It is for an engine whose state is not known; an unload of something not loaded has no effect.
func UnloadOthers(want EngineState, versions, adapters []string) []Order {
	var out []Order
	for _, a := range adapters {
		if !slices.Contains(want.Adapters, a) {
			out = append(out, Order{Kind: Unload, Model: want.Model, Version: want.Version, Adapter: a})
		}
	}
	for _, v := range versions {
		if v == want.Version {
			continue
		}
		for _, a := range adapters {
			out = append(out, Order{Kind: Unload, Model: want.Model, Version: v, Adapter: a})
		}
		out = append(out, Order{Kind: Unload, Model: want.Model, Version: v})
	}
	return out
}
