package capacity

import (
	"context"
	"fmt"

	"balsamwinch.example/limit"
)

// servicesTwoYearsOut is how many services there are if each of them has
// QueryLeaves shards and every shard two replicas.
const servicesTwoYearsOut = TargetServers / (TargetQueryLeaves * replicas)

// connections works out what subsets of the instances leave of the connection
// limits, with the real choice of subsets. It is exact, not sampled.
func connections() Measurement {
	return Measurement{
		Name: "entry/connections", SizeUnit: "entries of a service", Sizes: []int{3, 12, 25, 47, 110}, Quick: []int{3, 47, 110}, Target: 47,
		Columns: []Column{
			{"entry", "instances that serve at least one service", "instances", Constant},
			{"entry", "services on the busiest instance", "services", Constant},
			{"entry", "leaf requests of the busiest instance", "a second", Constant},
			{"entry", "connections of the busiest instance, one to each of its backend servers", "connections", Constant},
			{"backend server", "connections that each entry may have, of 25", "connections", Constant},
			{"backend server", "connections that each entry may have, of 110", "connections", Constant},
			{"backend server", "the same with today's division by all instances, of 110", "connections", Constant},
		},
		Sample: func(_ context.Context, tr Trial) ([]float64, error) {
			counts := make(map[string]int)
			ins := instancesOf(TargetInstances)
			for se := range servicesTwoYearsOut {
				for _, in := range limit.Subset(fmt.Sprintf("service-%02d", se), tr.Size, ins) {
					counts[in.Name]++
				}
			}
			most := 0
			for _, count := range counts {
				most = max(most, count)
			}
			perEntry := leafRequests / float64(servicesTwoYearsOut*tr.Size)
			share := func(bound, divisor int) float64 { return float64(limit.ConnectionsPerInstance(bound, divisor)) }
			return []float64{
				float64(len(counts)), float64(most), perEntry * float64(most), float64(most * TargetQueryLeaves * replicas),
				share(25, tr.Size), share(serverLimit, tr.Size), share(serverLimit, TargetInstances),
			}, nil
		},
	}
}

// leafRequests is how many leaf requests a second there are two years out.
const leafRequests = 190_000 * TargetQueryLeaves
