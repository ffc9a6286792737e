package caller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/limit"
	"balsamwinch.example/view"
)

// Choose returns the instances that a caller in the given data centre may use
// for a service, nearest first: those of its data centre, those of its region,
// the others. Equals are ordered by a hash with the salt, so that callers which
// all use the first address still spread. An empty service means any; a named one
// gives the few that share the slots of its backend servers.
func RankInstances(vi *view.View, service, dataCentre string, salt uint64) []view.Instance {
	ins := entries(vi)
	if se, ok := vi.Configuration.Services[service]; ok {
		ins = limit.Subset(service, limit.NumEntries(se, vi.Servers), ins)
	}
	region := regionOf(vi, dataCentre)
	slices.SortFunc(ins, func(aa, bb view.Instance) int {
		if co := cmp.Compare(distance(aa, dataCentre, region), distance(bb, dataCentre, region)); co != 0 {
			return co
		}
		return cmp.Compare(spread(aa, salt), spread(bb, salt))
	})
	return ins
}

// entries returns the instances that take callers. An instance that sees none,
// because its own view is wrong, still names itself if it may serve: an empty
// list would cut off every caller that asks it.
func entries(vi *view.View) []view.Instance {
	var ins []view.Instance
	for _, in := range vi.Instances {
		if in.Entry && !in.Draining && in.CallerAddress != "" {
			ins = append(ins, in)
		}
	}
	if len(ins) == 0 && vi.Self.CallerAddress != "" {
		ins = append(ins, vi.Self)
	}
	return ins
}

func regionOf(vi *view.View, dataCentre string) string {
	for _, in := range vi.Instances {
		if in.DataCentre == dataCentre {
			return in.Region
		}
	}
	return vi.Self.Region
}

func distance(in view.Instance, dataCentre, region string) int {
	switch {
	case in.DataCentre == dataCentre:
		return 0
	case in.Region == region:
		return 1
	default:
		return 2
	}
}

func spread(in view.Instance, salt uint64) uint64 {
	var di xxhash.Digest
	di.ResetWithSeed(salt)
	_, _ = di.WriteString(in.Name)
	return di.Sum64()
}
