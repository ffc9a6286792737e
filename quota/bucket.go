package quota

import (
	"math"
	"time"

	"balsamwinch.example/customer"
)

// bucket is one owner's share of a customer's quota.
type bucket struct {
	quota       customer.Quota
	level       float64 // tokens
	capacity    float64 // at the last refill
	at          time.Time
	nextRetry   time.Time  // when the entry instance that was told last may ask again
	spares      []spareLot // outstanding, the oldest first
	unusedSince time.Time  // when the customer lost its quota; zero if it has one
}

// refill adds the given part of the tokens since the last refill and lowers the level to the capacity. The
// capacity is a whole token above the share of the burst, since a smaller bucket would never
// hold a token of a customer without a burst.
func (bu *bucket) refill(now time.Time, voters int, part, reserve float64) {
	rate := bu.quota.Rate / float64(voters)
	bu.capacity = bu.quota.Burst/float64(voters) + 1 + reserve*rate
	bu.level = min(bu.capacity, bu.level+part*rate*max(0, now.Sub(bu.at).Seconds()))
	if now.After(bu.at) {
		bu.at = now
	}
}

// take removes up to count whole tokens and returns their number.
func (bu *bucket) take(count uint32) uint32 {
	got := math.Min(float64(count), math.Floor(max(0, bu.level)))
	bu.level -= got
	return uint32(got)
}

// takeSurplus removes up to count whole tokens of those above half of the capacity.
func (bu *bucket) takeSurplus(count uint32) uint32 {
	got := math.Min(float64(count), math.Floor(max(0, bu.level-bu.capacity/2)))
	bu.level -= got
	return uint32(got)
}

// retryDelay returns when an entry instance should ask again: when there is a token for it,
// if each entry instance that was told before takes one. The delay is at most the spread, or
// the time until the next token if that is longer, and at most maxRetryDelay.
func (bu *bucket) retryDelay(now time.Time, voters int, spread time.Duration) time.Duration {
	interval := seconds(float64(voters) / bu.quota.Rate)
	wait := seconds((1 - bu.level) * float64(voters) / bu.quota.Rate)
	at := bu.nextRetry.Add(interval)
	if earliest := now.Add(wait); at.Before(earliest) {
		at = earliest
	}
	if latest := now.Add(max(wait, spread)); at.After(latest) {
		at = latest
	}
	bu.nextRetry = at
	return min(at.Sub(now), maxRetryDelay)
}

// seconds converts seconds to a duration of at most an hour.
func seconds(se float64) time.Duration {
	return time.Duration(min(max(0, se), 3600) * float64(time.Second))
}
