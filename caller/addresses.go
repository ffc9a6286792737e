package caller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/limit"
	"balsamwinch.example/view"
)

// RankInstances returns the instances that a caller in the given data centre may
// use for a service, nearest first: those in the same data centre, those in the
// same region, then the others. Equally near ones are ordered by a hash with the
// salt, so that callers spread even if each uses the first address. An empty
// service means any; for a named one, only the few instances are returned that
// share the slots of its backend servers.
func RankInstances(vi *view.View, service, dataCentre string, salt uint64) []view.Instance {
	ins := entryInstances(vi)
	if se, ok := vi.Configuration.Services[service]; ok {
		ins = limit.Subset(service, limit.NumEntries(se, vi.Servers), ins)
	}
	region := regionOf(vi, dataCentre)
	slices.SortFunc(ins, func(aa, bb view.Instance) int {
		if co := cmp.Compare(distance(aa, dataCentre, region), distance(bb, dataCentre, region)); co != 0 {
			return co
		}
		return cmp.Compare(saltedHash(aa, salt), saltedHash(bb, salt))
	})
	return ins
}

// entryInstances returns the instances that accept callers. An instance that
// sees none, because its own view is wrong, still returns itself if it may
// serve: an empty list would cut off every caller that asks it.
func entryInstances(vi *view.View) []view.Instance {
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

func saltedHash(in view.Instance, salt uint64) uint64 {
	var di xxhash.Digest
	di.ResetWithSeed(salt)
	_, _ = di.WriteString(in.Name)
	return di.Sum64()
}
