package capacity

import (
	"context"
	"fmt"

	"balsamwinch.example/limit"
)

// targetServices is the number of services at the target size if each of them has
// TargetQueryLeaves shards and every shard has two replicas.
const targetServices = TargetServers / (TargetQueryLeaves * replicas)

// connections computes how many connections are left to each entry if every service is served
// by a subset of the instances, with the subsets that package limit chooses. The result is
// exact, not sampled.
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
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			counts := make(map[string]int)
			ins := instancesOf(TargetInstances)
			for se := range targetServices {
				for _, in := range limit.Subset(fmt.Sprintf("service-%02d", se), tr.Size, ins) {
					counts[in.Name]++
				}
			}
			maxServices := 0
			for _, count := range counts {
				maxServices = max(maxServices, count)
			}
			perEntry := targetLeafRequestRate / float64(targetServices*tr.Size)
			share := func(bound, divisor int) float64 { return float64(limit.ConnectionsPerInstance(bound, divisor)) }
			return []float64{
				float64(len(counts)), float64(maxServices), perEntry * float64(maxServices), float64(maxServices * TargetQueryLeaves * replicas),
				share(25, tr.Size), share(serverLimit, tr.Size), share(serverLimit, TargetInstances),
			}, nil
		},
	}
}

// targetLeafRequestRate is the number of leaf requests per second at the target size.
const targetLeafRequestRate = 190_000 * TargetQueryLeaves
