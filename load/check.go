package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"balsamwinch.example/fanout"
	"balsamwinch.example/leaf"
	"balsamwinch.example/result"
)

// Partitions maps the number of each partition map of a service to its shards.
type Partitions map[uint64][]string

// BreachKind names a promise that an answer broke.
type BreachKind string

// The promises whose breach an answer alone can show.
const (
	// Mixed means that rows came from another snapshot than the one that the answer states, or
	// that the service has no such snapshot.
	Mixed BreachKind = "Mixed"
	// WrongAnswer means that the answer or some of its rows belong to another request.
	WrongAnswer BreachKind = "WrongAnswer"
	// FalseCoverage means that the answer claims a shard without its rows, has rows of a shard
	// that it does not claim, or does not mention a shard.
	FalseCoverage BreachKind = "FalseCoverage"
)

// Breach is a promise that an answer broke.
type Breach struct {
	Kind      BreachKind
	RequestID string
	Detail    string
}

// Check compares an answer with its call and returns the promises that it broke.
func Check(ca Call, at Attempt) []Breach {
	ck := checker{ca: ca, at: at, an: at.Answer}
	if ck.an.RequestID != at.RequestID {
		ck.add(WrongAnswer, "the answer is for request %q", ck.an.RequestID)
	}
	if ck.an.Code.NotRun() {
		return ck.brs
	}
	ck.checkCoverage()
	for _, sr := range ck.an.Rows {
		for _, ro := range sr.Rows {
			ck.checkRow(sr.Shard, ro)
		}
	}
	return ck.brs
}

type checker struct {
	ca  Call
	at  Attempt
	an  fanout.Answer
	brs []Breach
}

func (ck *checker) add(kind BreachKind, format string, args ...any) {
	ck.brs = append(ck.brs, Breach{Kind: kind, RequestID: ck.at.RequestID, Detail: fmt.Sprintf(format, args...)})
}

// checkCoverage compares the claimed shards with the rows and with the partition map.
func (ck *checker) checkCoverage() {
	var withRows, named []string
	for _, sr := range ck.an.Rows {
		withRows = append(withRows, sr.Shard)
	}
	named = append(named, ck.an.Covered...)
	for _, mi := range ck.an.Missing {
		named = append(named, mi.Shard)
	}
	if !sameSet(withRows, ck.an.Covered) {
		ck.add(FalseCoverage, "rows of %v, but %v claimed as covered", withRows, ck.an.Covered)
	}
	if ck.an.Code == result.Complete && len(ck.an.Missing) > 0 {
		ck.add(FalseCoverage, "complete, but %v missing", ck.an.Missing)
	}
	ck.checkShardNames(named)
}

func (ck *checker) checkShardNames(named []string) {
	shards, ok := ck.ca.Partitions[ck.an.Snapshot.Partition]
	switch {
	case ck.an.Code == result.OutcomeUnknown || ck.an.Code == result.Failed && len(named) == 0:
		// A recorded outcome may come without shards.
	case !ok && len(ck.an.Covered) > 0:
		ck.add(Mixed, "unknown partition map %d", ck.an.Snapshot.Partition)
	case ok && !sameSet(named, shards):
		ck.add(FalseCoverage, "mentions %v of the shards %v", named, shards)
	}
}

// checkRow checks the fields that the backend server wrote into the row.
func (ck *checker) checkRow(shard string, raw json.RawMessage) {
	var ro leaf.Row
	if err := json.Unmarshal(raw, &ro); err != nil {
		ck.add(WrongAnswer, "a row of shard %s can't be decoded: %v", shard, err)
		return
	}
	if ro.Snapshot != ck.an.Snapshot.String() {
		ck.add(Mixed, "a row of shard %s is from snapshot %s, the answer from %s", shard, ro.Snapshot, ck.an.Snapshot)
	}
	if ro.Shard != shard {
		ck.add(WrongAnswer, "a row of shard %s is listed under shard %s", ro.Shard, shard)
	}
	if !sameJSON(ro.Query, ck.ca.Query) {
		ck.add(WrongAnswer, "a row of shard %s answers the query %s", shard, ro.Query)
	}
}

func sameSet(aa, bb []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(aa)), slices.Sorted(slices.Values(bb)))
}

// sameJSON reports whether two values are equal except for whitespace.
func sameJSON(aa, bb json.RawMessage) bool {
	if bytes.Equal(aa, bb) {
		return true
	}
	var ca, cb bytes.Buffer
	return json.Compact(&ca, aa) == nil && json.Compact(&cb, bb) == nil && bytes.Equal(ca.Bytes(), cb.Bytes())
}
