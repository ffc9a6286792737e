package tier

import (
	"math/rand/v2"
	"slices"

	"balsamwinch.example/feed"
)

// addresses returns the callers' addresses of the entry instances that are ready,
// those of the data centre first, and otherwise in random order: an answer may
// hold fewer than there are, and the same ones must not be left out each time.
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
	shuffle(near)
	shuffle(far)
	return slices.Concat(near, far)
}

func shuffle(ads []string) {
	rand.Shuffle(len(ads), func(ii, jj int) { ads[ii], ads[jj] = ads[jj], ads[ii] })
}
