package capacity

import (
	"context"
	"encoding/json"

	"balsamwinch.example/caller"
	"balsamwinch.example/view"
)

// addresses measures the size of the address list that a caller keeps.
func addresses() Measurement {
	return Measurement{
		Name: "caller/addresses", SizeUnit: "instances", Sizes: []int{9, 90, 890}, Quick: []int{9, 90, 890}, Target: TargetInstances,
		Columns: []Column{
			{"caller", "address list, all instances", "bytes", Linear},
		},
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			vi := &view.View{Instances: instancesOf(tr.Size)}
			var ad caller.Addresses
			for _, in := range caller.RankInstances(vi, "", "", 0) {
				ad.Addresses = append(ad.Addresses, in.CallerAddress)
			}
			data, err := json.Marshal(ad)
			return []float64{float64(len(data))}, err
		},
	}
}
