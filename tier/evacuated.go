package tier

import (
	"slices"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/registry"
)

// evacuated returns the backend servers with those in evacuated data centres as Draining:
// they end what they have and get nothing new. The given map stays as it is.
func evacuated(ses map[string][]registry.Server, st evacuation.Set) map[string][]registry.Server {
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
