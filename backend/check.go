package backend

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// The bounds of what a backend server may announce.
const (
	maxNameBytes       = 128
	maxLabels          = 64
	maxHoldings        = 4096
	maxSlots           = 100_000
	maxConnectionLimit = 1_000_000
	minTTL             = 100 * time.Millisecond
	maxTTL             = time.Hour
)

// RecordFault is one thing that is wrong with a Record.
type RecordFault struct {
	Field string
	Want  string
	Got   string
}

// recordCheck collects the faults of a record.
type recordCheck struct {
	faults []RecordFault
}

func (rc *recordCheck) want(ok bool, field, want string, got any) {
	if !ok {
		rc.faults = append(rc.faults, RecordFault{Field: field, Want: want, Got: fmt.Sprint(got)})
	}
}

func (rc *recordCheck) name(field, na string) {
	ok := na != "" && len(na) <= maxNameBytes
	rc.want(ok, field, fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes), fmt.Sprintf("%d bytes", len(na)))
}

func (rc *recordCheck) between(field string, nu, lo, hi int64) {
	rc.want(nu >= lo && nu <= hi, field, fmt.Sprintf("a number from %d to %d", lo, hi), nu)
}

// Check returns all that is wrong with the record.
func (re Record) Check() []RecordFault {
	var rc recordCheck
	rc.name("Server", re.Server)
	rc.name("Service", re.Service)
	rc.want(len(re.DataCentre) <= maxNameBytes, "DataCentre", fmt.Sprintf("at most %d bytes", maxNameBytes), len(re.DataCentre))
	rc.address(re.Address)
	rc.labels(re.Labels)
	rc.want(re.Incarnation > 0, "Incarnation", "a number from 1", re.Incarnation)
	states := []State{Serving, Cold, Draining, Left}
	rc.want(slices.Contains(states, re.State), "State", fmt.Sprintf("one of %v", states), re.State)
	rc.between("Slots", int64(re.Slots), 1, maxSlots)
	rc.between("ConnectionLimit", int64(re.ConnectionLimit), 1, maxConnectionLimit)
	rc.between("TTLMillis", re.TTLMillis, minTTL.Milliseconds(), maxTTL.Milliseconds())
	rc.holdings(re.Holdings)
	return rc.faults
}

func (rc *recordCheck) address(ad string) {
	ap, err := netip.ParseAddrPort(ad)
	ok := err == nil && !ap.Addr().IsUnspecified() && ap.Port() != 0
	rc.want(ok, "Address", "an IP number and a port such as 10.1.2.3:7001", fmt.Sprintf("%q", ad))
}

func (rc *recordCheck) labels(la map[string]string) {
	rc.want(len(la) <= maxLabels, "Labels", fmt.Sprintf("at most %d", maxLabels), len(la))
	want := fmt.Sprintf("a key, with its value of at most %d bytes", maxNameBytes)
	for _, ke := range slices.Sorted(maps.Keys(la)) {
		rc.want(ke != "" && len(ke)+len(la[ke]) <= maxNameBytes, "Labels", want, fmt.Sprintf("%d bytes", len(ke)+len(la[ke])))
	}
}

func (rc *recordCheck) holdings(hs []Holding) {
	if len(hs) > maxHoldings {
		rc.want(false, "Holdings", fmt.Sprintf("at most %d", maxHoldings), len(hs))
		return
	}
	seen := make(map[Holding]bool, len(hs))
	for i, ho := range hs {
		field := fmt.Sprintf("Holdings[%d]", i)
		rc.name(field+".Shard", ho.Shard)
		rc.want(!seen[ho], field, "each shard of a snapshot once", ho.Shard+" of "+ho.Snapshot.String()+" again")
		seen[ho] = true
	}
}
