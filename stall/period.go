package stall

import (
	"math"
	"time"
)

const (
	// minPeriod and maxPeriod bound the periods that are looked for.
	minPeriod = 1500 * time.Millisecond
	maxPeriod = 12 * time.Second
	// periodStep is the distance of the periods that are tried. It stays below tolerance
	// over maxMultiple periods.
	periodStep = 10 * time.Millisecond
	// maxMultiple is how many periods two starts may be apart to be compared.
	maxMultiple = 6
	// tolerance is the deviation up to which the time between two starts agrees with a
	// period. Each start varies by up to 50 ms, and the first stuck request may be sent
	// 20 ms before or 30 ms after it.
	tolerance = 80 * time.Millisecond
	// minScore is by how many standard deviations more times must agree with a period than
	// by chance. Most of what looks like a stall may be none, such as work that takes long by
	// itself, so only a small part of the times may agree. Some thousand periods are tried,
	// and random stalls score 4 with the best of them.
	minScore = 7.0
	// minGaps is how many times between starts are needed, minAgreeing how many of them must
	// agree.
	minGaps     = 16
	minAgreeing = 10
	// sameScoreRatio is the ratio of its score to the best one from which another period
	// counts as agreeing as well.
	sameScoreRatio = 0.8
	// maxGaps bounds the times that are compared, which bounds a search to some 3 ms.
	maxGaps = 300
	// maxLag is how many stalls of a server may lie between two that are compared.
	maxLag = 3
)

// gapsOf appends the times between the starts of stalls of one server to gaps.
func gapsOf(gaps []time.Duration, stalls []interval) []time.Duration {
	for ix := range stalls {
		for _, ot := range stalls[ix+1 : min(len(stalls), ix+1+maxLag)] {
			if gap := ot.start - stalls[ix].start; gap >= minPeriod/2 && gap <= maxMultiple*maxPeriod {
				gaps = append(gaps, gap)
			}
		}
	}
	return gaps
}

// findPeriod returns the period that agrees best with the times between starts of stalls.
// It returns false if no period agrees with clearly more of them than by chance.
//
// Every divisor of the true period agrees, too. But the shorter a period, the more times
// agree with it by chance. So the period is taken whose number of agreeing times exceeds
// that of chance by the most standard deviations, which is the largest one that agrees.
func findPeriod(gaps []time.Duration) (time.Duration, bool) {
	if len(gaps) > maxGaps {
		gaps = gaps[len(gaps)-maxGaps:]
	}
	var best time.Duration
	bestScore := minScore
	for period := minPeriod; period <= maxPeriod; period += periodStep {
		if score := periodScore(gaps, period); score > bestScore {
			best, bestScore = period, score
		}
	}
	if best == 0 {
		return 0, false
	}
	return refine(gaps, refine(gaps, best)), true
}

// periodScore returns by how many standard deviations more gaps agree with a period than by
// chance, or 0 if there are too few.
func periodScore(gaps []time.Duration, period time.Duration) float64 {
	count, agreeing := agreement(gaps, period)
	if count < minGaps || agreeing < minAgreeing {
		return 0
	}
	chance := chanceOf(tolerance, period)
	return (float64(agreeing) - chance*float64(count)) / math.Sqrt(chance*(1-chance)*float64(count))
}

// chanceOf returns the probability with which a random time is within a deviation of a
// multiple of the period.
func chanceOf(deviation, period time.Duration) float64 {
	return min(0.5, 2*float64(deviation)/float64(period))
}

// agreement returns how many gaps are short enough to be compared with a period, and how
// many of them agree with it.
func agreement(gaps []time.Duration, period time.Duration) (count, agreeing int) {
	for _, gap := range gaps {
		if gap > maxMultiple*period+tolerance {
			continue
		}
		count++
		if _, off := multipleOf(gap, period); off <= tolerance && off >= -tolerance {
			agreeing++
		}
	}
	return count, agreeing
}

// multipleOf returns the multiple of the period that is nearest to a time, and the rest.
func multipleOf(span, period time.Duration) (multiple, rest time.Duration) {
	multiple = (span + period/2) / period
	if span < -period/2 {
		multiple = -((-span + period/2) / period)
	}
	return multiple, span - multiple*period
}

// refine returns the period with the least squares of the deviations of the gaps that agree.
func refine(gaps []time.Duration, period time.Duration) time.Duration {
	sum, squares := 0.0, 0.0
	for _, gap := range gaps {
		multiple, off := multipleOf(gap, period)
		if multiple == 0 || multiple > maxMultiple || off > tolerance || off < -tolerance {
			continue
		}
		sum += float64(gap) * float64(multiple)
		squares += float64(multiple) * float64(multiple)
	}
	if squares == 0 {
		return period
	}
	return time.Duration(sum / squares)
}
