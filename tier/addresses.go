package tier

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamwinch.example/feed"
)

// leastAddressTTL is how long an address list may be kept at least: callers must not
// ask before each request.
const leastAddressTTL = 500 * time.Millisecond

// addressTTL returns how long callers may keep an address list.
//
// The longer, the fewer look-ups fail while the nearest control instance is down, for
// which callers wait a second. But an entry instance that stops serves those who hold
// an older list only until shortly before the end of its stop; one who kept its list for
// longer would find it gone. So the time that it serves bounds it.
func (ti Timing) addressTTL() time.Duration {
	return min(ti.AddressTTL, max(leastAddressTTL, ti.StopWithin-answerWithin-exitBefore))
}

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
