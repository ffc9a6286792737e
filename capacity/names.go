package capacity

import (
	"fmt"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/view"
)

const (
	dataCentres   = 12
	replicas      = 2
	serverSlots   = 6
	serverLimit   = 110
	serviceName   = "archivo"
	firstRun      = 1_760_000_000_000 // firstRun is an incarnation of usual length.
	recordTTL     = 600_000           // recordTTL is long enough that no record ends within a trial.
	heldVersions  = 2
	firstVersion  = 4200
	addressesEach = 250
)

// instanceOf returns an instance with names and addresses of usual length.
func instanceOf(ix int) view.Instance {
	address := func(port int) string {
		return fmt.Sprintf("10.20.%d.%d:%d", ix/addressesEach, ix%addressesEach, port)
	}
	return view.Instance{
		Name: fmt.Sprintf("entry-%03d", ix), Region: fmt.Sprintf("region-%d", ix%3), DataCentre: centreOf(ix), Entry: true,
		CallerAddress: address(7101), BackendAddress: address(7102), OperatorAddress: address(7103), PeerAddress: address(7104),
		Incarnation: firstRun + uint64(ix),
	}
}

func centreOf(ix int) string {
	return fmt.Sprintf("data-centre-%02d", ix%dataCentres)
}

// instancesOf returns the first instances by number.
func instancesOf(count int) []view.Instance {
	ins := make([]view.Instance, 0, count)
	for ix := range count {
		ins = append(ins, instanceOf(ix))
	}
	return ins
}

// recordOf returns a record of ordinary size: one shard in two versions. Two
// records in a row hold the same shard.
func recordOf(ix int) backend.Record {
	re := backend.Record{
		Server: fmt.Sprintf("leaf-%05d", ix), Service: serviceName,
		Address:    fmt.Sprintf("10.30.%d.%d:8080", ix/addressesEach, ix%addressesEach),
		DataCentre: centreOf(ix), State: backend.Serving, Slots: serverSlots, ConnectionLimit: serverLimit,
		Incarnation: firstRun, Sequence: 1, TTLMillis: recordTTL,
	}
	for ve := range uint64(heldVersions) {
		id := snapshot.ID{Partition: 1, Version: firstVersion + ve}
		re.Holdings = append(re.Holdings, backend.Holding{Shard: shardOf(ix), Snapshot: id})
	}
	return re
}

func shardOf(ix int) string {
	return fmt.Sprintf("shard-%03d", ix/replicas%TargetQueryLeaves)
}

func recordsOf(count int) []backend.Record {
	res := make([]backend.Record, 0, count)
	for ix := range count {
		res = append(res, recordOf(ix))
	}
	return res
}

// configuration returns a service with as many shards as leaves.
func configuration(leaves int) operator.Configuration {
	var shards []string
	for ix := range leaves {
		shards = append(shards, shardOf(ix*replicas))
	}
	return operator.Configuration{
		Revision: 1,
		Services: map[string]operator.Service{serviceName: {
			Name: serviceName, Partitions: []operator.Partition{{Number: 1, Shards: shards}},
			Selector: operator.Selector{Service: serviceName}, Policy: operator.Best, ExtraLoadPercent: 5, DeadlineMillis: 60_000, Weight: 1,
		}},
		Limits: operator.Limits{MaxEntries: 1},
	}
}
