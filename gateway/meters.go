package gateway

import "time"

// meters counts what happened to requests.
type meters struct{}

func (mt *meters) request(_ *call, _ time.Duration) {}
