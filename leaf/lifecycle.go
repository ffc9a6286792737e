package leaf

import (
	_ "embed" // for the state chart

	"balsamwinch.example/chart"
)

// Events of a Leaf's life cycle.
const (
	eventWarm  chart.Event = "Warm"  // the cold start has ended
	eventDrain chart.Event = "Drain" // the Leaf accepts no more requests
	eventStop  chart.Event = "Stop"  // all requests have ended
)

//go:embed lifecycle.yaml
var lifecycleYAML []byte

var lifecycle = chart.MustLoad(lifecycleYAML, eventWarm, eventDrain, eventStop)
