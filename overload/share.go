package overload

import "slices"

// allocate divides a rate among demands by max-min fairness: nobody gets more than it
// demands, and what the small ones leave goes to the others in equal parts. Everybody gets
// at least the given fraction of its demand.
func allocate(demands []float64, rate, minFraction float64) []float64 {
	total, low, high := 0.0, 0.0, 0.0
	for _, de := range demands {
		total, high = total+de, max(high, de)
	}
	out := slices.Clone(demands)
	if rate >= total {
		return out
	}
	given := func(level float64) float64 {
		sum := 0.0
		for ix, de := range demands {
			out[ix] = min(de, max(level, minFraction*de))
			sum += out[ix]
		}
		return sum
	}
	const steps = 40
	for range steps {
		if middle := (low + high) / 2; given(middle) > rate {
			high = middle
		} else {
			low = middle
		}
	}
	given(low)
	return out
}

// byClass divides a rate among the demands of classes, the most urgent first. Each class
// gets at least minShare of the overall fraction.
func byClass(demands []float64, rate float64) []float64 {
	total := 0.0
	for _, de := range demands {
		total += de
	}
	out := slices.Clone(demands)
	if rate >= total {
		return out
	}
	left := rate
	for ix, de := range demands {
		out[ix] = minShare * rate / total * de
		left -= out[ix]
	}
	for ix, de := range demands {
		more := min(left, de-out[ix])
		out[ix] += more
		left -= more
	}
	return out
}
