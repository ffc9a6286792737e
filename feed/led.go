package feed

import "maps"

// SetLed tells each entry instance the groups whose callers are led to it, each with how
// many instances they are led to: a map by the instances' names, which must not be
// changed afterwards. An instance that isn't named is told that it has none.
//
// Each is told its own alone, and only when that changes. One list of all for everybody
// would be some 900 bytes at 45 members, 191 times for each change.
func (pu *Publisher) SetLed(led map[string]map[string]int) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.led = led
	for sb := range pu.subscribers {
		pu.tellLed(sb)
	}
}

// tellLed tells a subscriber what it wasn't told yet. Until something was decided nobody
// is told anything: to have no group is a word too.
func (pu *Publisher) tellLed(sb *subscriber) {
	if pu.led == nil || sb.listener {
		return
	}
	groups := pu.led[sb.en.Name]
	if groups == nil {
		groups = map[string]int{} // A nil map would be sent as if nothing were said.
	}
	if sb.led != nil && maps.Equal(*sb.led, groups) {
		return
	}
	sb.led = &groups
	_ = sb.co.Send(Update{Led: &groups}) // The end of the link is seen where it is read.
}

// ledBy returns the groups whose callers are led to this instance, each with how many
// instances these callers are led to, and false while no control instance has said so.
//
// Control instances may choose a few instances more or less for a while. A group counts
// if all that have said anything name it, and the highest number goes: who shares it then
// are no more than any of them chose.
func (su *Subscriber) ledBy() (map[string]int, bool) {
	var led map[string]int
	said := false
	for _, so := range su.sources {
		if !so.up.Load() || so.led == nil {
			continue
		}
		if !said {
			said, led = true, maps.Clone(*so.led)
			continue
		}
		for group, count := range led {
			other, ok := (*so.led)[group]
			if !ok {
				delete(led, group)
				continue
			}
			led[group] = max(count, other)
		}
	}
	return led, said
}
