package operator

import (
	"maps"
	"regexp"
	"slices"
	"strconv"

	"balsamwinch.example/settings"
)

// Defaults of fields that no file sets.
const (
	DefaultMaxEntries       = 16
	DefaultAddressTTLMillis = 5000
	DefaultDeadlineMillis   = 1000
	DefaultExtraLoadPercent = 5
	DefaultWeight           = 1
)

// Bounds of the fields of a configuration.
const (
	minDeadlineMillis   = 10
	maxDeadlineMillis   = 60_000
	maxExtraLoadPercent = 100
	maxWeight           = 1000
	maxMaxEntries       = 10_000
	minAddressTTLMillis = 100
	maxAddressTTLMillis = 600_000
)

// NewService returns a service with the defaults. It selects the servers that announce the
// service's own name.
func NewService(na string) Service {
	return Service{
		Name:             na,
		Selector:         Selector{Service: na},
		Policy:           Complete,
		Tactics:          Adaptive,
		DeadlineMillis:   DefaultDeadlineMillis,
		ExtraLoadPercent: DefaultExtraLoadPercent,
		Weight:           DefaultWeight,
	}
}

func (cf Configuration) check(ck *settings.Checker) {
	settings.Between(ck, cf.Limits.MaxEntries, 1, maxMaxEntries, "Limits", "MaxEntries")
	settings.Between(ck, cf.Limits.AddressTTLMillis, minAddressTTLMillis, maxAddressTTLMillis, "Limits", "AddressTTLMillis")
	for _, na := range slices.Sorted(maps.Keys(cf.Services)) {
		cf.checkService(ck, cf.Services[na])
	}
}

func (cf Configuration) checkService(ck *settings.Checker, se Service) {
	at := func(path ...string) []string {
		return append([]string{"Services", se.Name}, path...)
	}
	ck.Name(se.Name, at()...)
	settings.OneOf(ck, se.Policy, []Policy{Complete, Best}, at("Policy")...)
	settings.OneOf(ck, se.Tactics, []Tactics{Adaptive, Baseline}, at("Tactics")...)
	settings.Between(ck, se.DeadlineMillis, minDeadlineMillis, maxDeadlineMillis, at("DeadlineMillis")...)
	settings.Between(ck, se.ExtraLoadPercent, 0, maxExtraLoadPercent, at("ExtraLoadPercent")...)
	settings.Between(ck, se.Weight, 1, maxWeight, at("Weight")...)
	settings.Between(ck, se.Entries, 0, cf.Limits.MaxEntries, at("Entries")...)
	checkNames(ck, "server", se.Exclude, at("Exclude"))
	checkNames(ck, "data centre", se.Selector.DataCentres, at("Selector", "DataCentres"))
	checkPartitions(ck, se.Partitions, at("Partitions"))
}

func checkPartitions(ck *settings.Checker, ps []Partition, path []string) {
	ck.Want(len(ps) > 0, "at least one partition", ps, path...)
	numbers := make([]string, len(ps))
	paths := make([][]string, len(ps))
	for i, pa := range ps {
		at := appendPath(path, strconv.Itoa(i))
		numbers[i] = strconv.FormatUint(pa.Number, 10)
		paths[i] = appendPath(at, "Number")
		ck.Want(pa.Number > 0, "a number from 1", pa.Number, paths[i]...)
		ck.Want(len(pa.Shards) > 0, "at least one shard", pa.Shards, appendPath(at, "Shards")...)
		checkNames(ck, "shard", pa.Shards, appendPath(at, "Shards"))
	}
	ck.Unique("number", numbers, paths)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// checkNames checks that the names are valid and unique.
func checkNames(ck *settings.Checker, kind string, names, path []string) {
	paths := make([][]string, len(names))
	for i, na := range names {
		paths[i] = appendPath(path, strconv.Itoa(i))
		ck.Want(namePattern.MatchString(na), "a name of letters, digits, dots, hyphens and underscores", na, paths[i]...)
	}
	ck.Unique(kind, names, paths)
}

func appendPath(path []string, more string) []string {
	return append(slices.Clone(path), more)
}
