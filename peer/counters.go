package peer

import "sync/atomic"

// Traffic counts messages and the bytes of their frames, without QUIC, UDP and IP headers.
type Traffic struct {
	MessagesIn  uint64
	MessagesOut uint64
	BytesIn     uint64
	BytesOut    uint64
}

// Counters counts the traffic since the start, by range of kinds.
type Counters struct {
	Quorum  Traffic
	Control Traffic
	Member  Traffic
	Other   Traffic
	Dropped uint64 // one-way messages that were dropped
	Dialled uint64 // connections that this instance established
}

// Ranges of kinds, in the order of the fields of Counters.
const (
	rangeQuorum = iota
	rangeControl
	rangeMember
	rangeOther
	numRanges
)

func rangeOf(ki Kind) int {
	switch {
	case ki >= KindMember:
		return rangeMember
	case ki >= KindControl:
		return rangeControl
	case ki >= KindQuorum:
		return rangeQuorum
	default:
		return rangeOther
	}
}

type trafficCounter struct {
	messagesIn, messagesOut, bytesIn, bytesOut atomic.Uint64
}

type counters struct {
	traffic          [numRanges]trafficCounter
	dropped, dialled atomic.Uint64
}

func (cs *counters) countIn(ki Kind, bytes int) {
	tc := &cs.traffic[rangeOf(ki)]
	tc.messagesIn.Add(1)
	tc.bytesIn.Add(uint64(bytes))
}

func (cs *counters) countOut(ki Kind, bytes int) {
	tc := &cs.traffic[rangeOf(ki)]
	tc.messagesOut.Add(1)
	tc.bytesOut.Add(uint64(bytes))
}

func (tc *trafficCounter) load() Traffic {
	return Traffic{
		MessagesIn:  tc.messagesIn.Load(),
		MessagesOut: tc.messagesOut.Load(),
		BytesIn:     tc.bytesIn.Load(),
		BytesOut:    tc.bytesOut.Load(),
	}
}

// Counters returns the traffic since the start.
func (pe *Peer) Counters() Counters {
	return Counters{
		Quorum:  pe.cs.traffic[rangeQuorum].load(),
		Control: pe.cs.traffic[rangeControl].load(),
		Member:  pe.cs.traffic[rangeMember].load(),
		Other:   pe.cs.traffic[rangeOther].load(),
		Dropped: pe.cs.dropped.Load(),
		Dialled: pe.cs.dialled.Load(),
	}
}
