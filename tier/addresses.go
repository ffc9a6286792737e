package tier

import (
	"slices"

	"balsamwinch.example/feed"
)

// addresses returns the callers' addresses of the entry instances that are ready,
// those of the data centre first.
func addresses(ens []feed.Entry, dataCentre string) []string {
	var near, far []string
	for _, en := range ens {
		switch {
		case en.State != feed.Ready:
		case en.DataCentre == dataCentre:
			near = append(near, en.Address)
		default:
			far = append(far, en.Address)
		}
	}
	return slices.Concat(near, far)
}
