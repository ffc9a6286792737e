package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/instance"
)

// recordInstances is the number of instances that receive the announcements.
const recordInstances = 6

// records measures complete instances that hold many records. Each backend server announces
// itself once over HTTP, and the announcements are sent as fast as the instances accept them.
func records() Measurement {
	return Measurement{
		Name: "instance/records", SizeUnit: "backend servers", Sizes: []int{600, 2300, 4600}, Quick: []int{60, 150, 300}, Target: TargetServers,
		Columns: []Column{
			{"instance", "mass announcement at six instances until all know all", "seconds", Linear},
			{"instance", "mass announcement, mean over all", "processor ms", Linear},
			{"instance", "mass announcement, mean over all, beyond quiet", "membership bytes", Linear},
			{"instance", "records, statistics and what else each holds", "bytes held", Linear},
			{"instance", "membership, nothing changes", "bytes a second", Constant},
			{"instance", "nothing changes, mean over all", "processor ms a second", Linear},
			{"instance", "one changed record, mean over all", "processor ms", Linear},
		},
		Take: takeRecords,
	}
}

func takeRecords(ctx context.Context, tr Trial) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, tierTimeout)
	defer cancel()
	ti, err := startTier(ctx, recordInstances)
	if err != nil {
		return nil, err
	}
	defer ti.close()
	bare, err := ti.observe(ctx, tr.Window/2)
	if err != nil {
		return nil, err
	}
	empty := liveBytes()
	res := recordsOf(tr.Size)
	before := ti.takeSample()
	if err := ti.announce(ctx, res); err != nil {
		return nil, err
	}
	knows := func(in *instance.Instance) bool { return len(in.View().Servers) == tr.Size }
	if err := ti.lo.Wait(ctx, knows); err != nil {
		return nil, err
	}
	mass := before.usageUntil(ti.takeSample())
	massBytes := mean(mass.member).bytes - mean(bare.member).bytes*mass.seconds/bare.seconds
	heldEach := (liveBytes() - empty) / recordInstances
	if _, err := ti.observe(ctx, tr.Window/2); err != nil {
		return nil, err
	}
	quiet, err := ti.observe(ctx, tr.Window)
	if err != nil {
		return nil, err
	}
	processor := quiet.processorMillis / quiet.seconds / recordInstances
	changed, err := ti.changeRecords(ctx, res, processor)
	if err != nil {
		return nil, err
	}
	return []float64{
		mass.seconds, mass.processorMillis / recordInstances, massBytes, heldEach,
		mean(quiet.member).bytes / quiet.seconds, processor, changed,
	}, nil
}

// announce posts the records to the instances in turn.
func (ti *tier) announce(ctx context.Context, res []backend.Record) error {
	addresses := ti.lo.Addresses("Backend")
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for at, address := range addresses {
		wg.Go(func() {
			for ix := at; ix < len(res) && errs[at] == nil; ix += len(addresses) {
				errs[at] = post(ctx, address, res[ix])
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func post(ctx context.Context, address string, re backend.Record) error {
	data, err := json.Marshal(re)
	if err != nil {
		return err
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+backend.AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return err
	}
	rp, err := http.DefaultClient.Do(hr)
	if err != nil {
		return err
	}
	defer rp.Body.Close()
	var ar backend.AnnounceReply
	if err := json.NewDecoder(rp.Body).Decode(&ar); err != nil || rp.StatusCode != http.StatusOK {
		return fmt.Errorf("announcement of %s: %s: %w", re.Server, rp.Status, err)
	}
	return nil
}

// changeRecords announces new versions of some records, each after the previous one is known
// everywhere. It returns the processor time per change in ms, as a mean over the instances,
// without what they use in the same time anyway (quiet, in ms per second).
func (ti *tier) changeRecords(ctx context.Context, res []backend.Record, quiet float64) (float64, error) {
	const changes = 10
	start, before := time.Now(), processorTime()
	for ix := range changes {
		re := res[ix]
		re.Sequence++
		if err := ti.announce(ctx, []backend.Record{re}); err != nil {
			return 0, err
		}
		newer := func(in *instance.Instance) bool { return in.View().Servers[ix].Sequence == re.Sequence }
		if err := ti.lo.Wait(ctx, newer); err != nil {
			return 0, err
		}
	}
	used := micros(processorTime()-before) / 1000 / recordInstances
	return (used - quiet*time.Since(start).Seconds()) / changes, nil
}
