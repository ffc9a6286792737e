package backend

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"balsamwinch.example/identifier"
)

// Limits for the contents of an announced Record.
const (
	maxNameBytes       = 128
	maxLabels          = 64
	maxHoldings        = 4096
	maxSlots           = 100_000
	maxConnectionLimit = 1_000_000
	minTTL             = 100 * time.Millisecond
	maxTTL             = time.Hour
)

// RecordFault is one fault of a Record.
type RecordFault struct {
	Field string
	Want  string
	Got   string
}

// recordChecker collects the faults of a record.
type recordChecker struct {
	faults []RecordFault
}

func (rc *recordChecker) require(ok bool, field, want string, got any) {
	if !ok {
		rc.faults = append(rc.faults, RecordFault{Field: field, Want: want, Got: fmt.Sprint(got)})
	}
}

func (rc *recordChecker) checkName(field, na string) {
	ok := na != "" && len(na) <= maxNameBytes
	rc.require(ok, field, fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes), fmt.Sprintf("%d bytes", len(na)))
	rc.checkText(field, na)
}

// checkText checks that a text can be printed: operators see it in reports.
func (rc *recordChecker) checkText(field, te string) {
	if len(te) <= maxNameBytes {
		rc.require(identifier.CheckOptional(field, te) == nil, field, "UTF-8 without control characters and spaces at its ends", fmt.Sprintf("%q", te))
	}
}

func (rc *recordChecker) checkRange(field string, value, lo, hi int64) {
	rc.require(value >= lo && value <= hi, field, fmt.Sprintf("a number from %d to %d", lo, hi), value)
}

// Check returns all faults of the record.
func (re Record) Check() []RecordFault {
	var rc recordChecker
	rc.checkName("Server", re.Server)
	rc.checkName("Service", re.Service)
	rc.require(len(re.DataCentre) <= maxNameBytes, "DataCentre", fmt.Sprintf("at most %d bytes", maxNameBytes), len(re.DataCentre))
	rc.checkText("DataCentre", re.DataCentre)
	rc.checkAddress(re.Address)
	rc.checkLabels(re.Labels)
	rc.require(re.Incarnation > 0, "Incarnation", "a number from 1", re.Incarnation)
	states := []State{Serving, Cold, Draining, Left}
	rc.require(slices.Contains(states, re.State), "State", fmt.Sprintf("one of %v", states), re.State)
	rc.checkRange("Slots", int64(re.Slots), 1, maxSlots)
	rc.checkRange("ConnectionLimit", int64(re.ConnectionLimit), 1, maxConnectionLimit)
	rc.checkRange("TTLMillis", re.TTLMillis, minTTL.Milliseconds(), maxTTL.Milliseconds())
	rc.checkHoldings(re.Holdings)
	return rc.faults
}

func (rc *recordChecker) checkAddress(ad string) {
	ap, err := netip.ParseAddrPort(ad)
	ok := err == nil && !ap.Addr().IsUnspecified() && ap.Port() != 0
	rc.require(ok, "Address", "an IP number and a port such as 10.1.2.3:7001", fmt.Sprintf("%q", ad))
}

func (rc *recordChecker) checkLabels(la map[string]string) {
	rc.require(len(la) <= maxLabels, "Labels", fmt.Sprintf("at most %d", maxLabels), len(la))
	want := fmt.Sprintf("a key, with its value of at most %d bytes", maxNameBytes)
	for _, ke := range slices.Sorted(maps.Keys(la)) {
		rc.require(ke != "" && len(ke)+len(la[ke]) <= maxNameBytes, "Labels", want, fmt.Sprintf("%d bytes", len(ke)+len(la[ke])))
		rc.checkText("Labels", ke)
		rc.checkText("Labels", la[ke])
	}
}

func (rc *recordChecker) checkHoldings(hs []Holding) {
	if len(hs) > maxHoldings {
		rc.require(false, "Holdings", fmt.Sprintf("at most %d", maxHoldings), len(hs))
		return
	}
	seen := make(map[Holding]bool, len(hs))
	for i, ho := range hs {
		field := fmt.Sprintf("Holdings[%d]", i)
		rc.checkName(field+".Shard", ho.Shard)
		rc.require(!seen[ho], field, "each shard of a snapshot once", ho.Shard+" of "+ho.Snapshot.String()+" again")
		seen[ho] = true
	}
}
