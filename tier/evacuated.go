package tier

import (
	"slices"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/registry"
)

// drainEvacuated returns the backend servers with the ready ones of evacuated data
// centres set to Draining, so that they finish their requests and get no new ones. The
// given map isn't modified.
func drainEvacuated(ses map[string][]registry.Server, st evacuation.Set) map[string][]registry.Server {
	if len(st.DataCentres) == 0 {
		return ses
	}
	out := make(map[string][]registry.Server, len(ses))
	for service, list := range ses {
		list = slices.Clone(list)
		for ix := range list {
			if list[ix].State == registry.Ready && st.Has(list[ix].DataCentre) {
				list[ix].State = registry.Draining
			}
		}
		out[service] = list
	}
	return out
}
