package leaf

import (
	_ "embed" // the chart stands in a file of its own

	"balsamwinch.example/chart"
)

// The events of a Leaf's life.
const (
	eventWarm  chart.Event = "Warm"  // The cold start is over.
	eventDrain chart.Event = "Drain" // The Leaf takes no more work.
	eventStop  chart.Event = "Stop"  // All work has ended.
)

//go:embed lifecycle.yaml
var lifecycleYAML []byte

var lifecycle = chart.MustLoad(lifecycleYAML, eventWarm, eventDrain, eventStop)
