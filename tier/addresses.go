package tier

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamwinch.example/feed"
)

// minAddressTTL is the minimum TTL of an address list, so that callers don't look up
// addresses before each request.
const minAddressTTL = 500 * time.Millisecond

// addressTTL returns how long callers may keep an address list.
//
// With a longer TTL, fewer look-ups fail while the nearest control instance is down;
// callers wait a second for each. But an entry instance that stops serves callers with an
// older list only until shortly before the end of its stop, and callers that keep a list
// for longer would find it gone. So that serving time is the upper bound.
func (ti Timing) addressTTL() time.Duration {
	return min(ti.AddressTTL, max(minAddressTTL, ti.StopWithin-inFlightTimeout-exitMargin))
}

// addresses returns the addresses for callers of the ready entry instances, those of the
// data centre first, and shuffled otherwise: a response may be cut to fewer addresses,
// and must not leave out the same ones each time.
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
