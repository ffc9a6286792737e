package capacity

import (
	"fmt"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/view"
)

const (
	dataCentres        = 12
	replicas           = 2
	serverSlots        = 6
	serverLimit        = 110
	serviceName        = "archivo"
	firstIncarnation   = 1_760_000_000_000 // incarnation of typical length
	recordTTL          = 600_000           // ms; so long that no record expires during a trial
	heldVersions       = 2
	firstVersion       = 4200
	addressesPerSubnet = 250
)

// instanceOf returns an instance with names and addresses of typical length.
func instanceOf(ix int) view.Instance {
	address := func(port int) string {
		return fmt.Sprintf("10.20.%d.%d:%d", ix/addressesPerSubnet, ix%addressesPerSubnet, port)
	}
	return view.Instance{
		Name: fmt.Sprintf("entry-%03d", ix), Region: fmt.Sprintf("region-%d", ix%3), DataCentre: dataCentreOf(ix), Entry: true,
		CallerAddress: address(7101), BackendAddress: address(7102), OperatorAddress: address(7103), PeerAddress: address(7104),
		Incarnation: firstIncarnation + uint64(ix),
	}
}

func dataCentreOf(ix int) string {
	return fmt.Sprintf("data-centre-%02d", ix%dataCentres)
}

// instancesOf returns the first count instances.
func instancesOf(count int) []view.Instance {
	ins := make([]view.Instance, 0, count)
	for ix := range count {
		ins = append(ins, instanceOf(ix))
	}
	return ins
}

// recordOf returns a record of typical size, with one shard in two versions. Records 2n and
// 2n+1 hold the same shard.
func recordOf(ix int) backend.Record {
	re := backend.Record{
		Server: fmt.Sprintf("leaf-%05d", ix), Service: serviceName,
		Address:    fmt.Sprintf("10.30.%d.%d:8080", ix/addressesPerSubnet, ix%addressesPerSubnet),
		DataCentre: dataCentreOf(ix), State: backend.Serving, Slots: serverSlots, ConnectionLimit: serverLimit,
		Incarnation: firstIncarnation, Sequence: 1, TTLMillis: recordTTL,
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

// configuration returns a configuration of one service with the given number of shards.
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
