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

// recordInstances is how many instances take the announcements.
const recordInstances = 6

// records measures whole instances that hold many records: each backend server
// announces itself once, by HTTP, and all of them within as short a time as the
// instances can take them.
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
		Sample: takeRecords,
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
	bare, err := ti.watch(ctx, tr.Window/2)
	if err != nil {
		return nil, err
	}
	empty := held()
	res := recordsOf(tr.Size)
	before := ti.read()
	if err := ti.announce(ctx, res); err != nil {
		return nil, err
	}
	knows := func(in *instance.Instance) bool { return len(in.View().Servers) == tr.Size }
	if err := ti.lo.Wait(ctx, knows); err != nil {
		return nil, err
	}
	mass := before.until(ti.read())
	massBytes := mean(mass.member).bytes - mean(bare.member).bytes*mass.seconds/bare.seconds
	heldEach := (held() - empty) / recordInstances
	if _, err := ti.watch(ctx, tr.Window/2); err != nil {
		return nil, err
	}
	quiet, err := ti.watch(ctx, tr.Window)
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

// announce posts each record to one of the instances in turn.
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

// changeRecords lets some backend servers say something new, each once the one
// before is known everywhere, and returns the processor time of each in ms, mean
// over the instances, beyond what they spend in the same time anyway.
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
	spent := micros(processorTime()-before) / 1000 / recordInstances
	return (spent - quiet*time.Since(start).Seconds()) / changes, nil
}
