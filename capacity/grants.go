package capacity

import (
	"context"
	"fmt"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/member"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
)

// leaseLength is so long that no lease expires during a trial.
const leaseLength = time.Hour

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// leaseTableOf returns a leader's lease table in which the first count instances hold leases.
func leaseTableOf(count int) control.LeaseTable {
	lt := control.NewLeaseTable(startTime.Add(-2*leaseLength), leaseLength).WithRevision(startTime, 1)
	for _, in := range instancesOf(count) {
		lt, _, _ = lt.WithRenewal(startTime, control.Renewal{Instance: in, InForce: 1}, count)
	}
	return lt
}

// grantOf handles a renewal that names the current list of lease holders as the leader does,
// but without configuration files.
func grantOf(lt control.LeaseTable, now time.Time, rn control.Renewal, maxEntries int) (control.LeaseTable, control.Grant) {
	lt, ok, reason := lt.WithRenewal(now, rn, maxEntries)
	return lt, control.Grant{
		Granted: ok, Reason: reason, LeaseMillis: lt.LeaseMillis(), Term: 1, Revision: 1, Leader: "entry-000",
		Roster: rn.Roster, Entries: lt.Divisor(rn.Instance),
	}
}

// grants measures the renewal of a lease: the decisions and the codec at both ends, without
// the transport.
func grants() Measurement {
	const repetitions = 200
	return Measurement{
		Name: "leader/grants", SizeUnit: "instances", Sizes: []int{9, 90, 300, 890}, Quick: []int{9, 90, 890}, Target: TargetInstances,
		Columns: []Column{
			{"entry", "frame of a renewal", "bytes", Linear},
			{"leader", "frame of a grant", "bytes", Linear},
			{"leader", "a renewal: book and encoding of the grant", "processor µs", Linear},
			{"leader", "what a changed list of lease holders adds to a grant", "bytes", Linear},
			{"leader", "a changed list: making and encoding it", "processor µs", Linear},
			{"entry", "a grant: decoding and taking over", "processor µs", Linear},
			{"leader", "one look whether a change is in force", "processor µs", Linear},
			{"leader", "book of leases", "bytes held", Linear},
		},
		Take: takeGrants(repetitions),
	}
}

func takeGrants(repetitions int) func(context.Context, Trial) ([]float64, error) {
	return func(_ context.Context, tr Trial) ([]float64, error) {
		co := peer.NewCodec(control.Messages(), member.Messages())
		empty := liveBytes()
		lt := leaseTableOf(tr.Size)
		tableBytes := liveBytes() - empty
		rn := control.Renewal{Instance: instanceOf(tr.Size / 2), InForce: 1, Leased: true, Entries: tr.Size}
		renewal, err := co.Encode(rn)
		if err != nil {
			return nil, err
		}
		var frame []byte
		leader := cpuMicrosPerRun(repetitions, func(int) {
			var gr control.Grant
			lt, gr = grantOf(lt, startTime, rn, tr.Size)
			frame, err = co.Encode(gr)
		})
		if err != nil {
			return nil, err
		}
		var listed []byte
		list := cpuMicrosPerRun(repetitions, func(int) {
			listed, err = co.Encode(control.Grant{Granted: true, Instances: lt.Instances(startTime)})
		})
		if err != nil {
			return nil, err
		}
		holders := lt.Instances(startTime)
		me := member.New(rn.Instance, 1, startTime)
		entry := cpuMicrosPerRun(repetitions, func(int) {
			_, _ = co.Decode(frame)
			me, _ = member.Step(me, member.InstancesGranted{Now: startTime, Instances: holders})
			me.Instances()
		})
		check := cpuMicrosPerRun(repetitions, func(int) { lt.InForce(startTime, 1) })
		return []float64{float64(len(renewal)), float64(len(frame)), leader, float64(len(listed)), list, entry, check, tableBytes}, nil
	}
}

// serviceFile returns an operators' file that defines one service.
func serviceFile(ix, deadline int) operator.File {
	return operator.File{
		Name: fmt.Sprintf("%03d.yaml", ix),
		Content: fmt.Appendf(nil, "Services:\n  service-%d:\n    DeadlineMillis: %d\n    Policy: Best\n    Selector: {Service: service-%d}\n"+
			"    Partitions: [{Number: 1, Shards: 13}]\n", ix, deadline, ix),
	}
}

// stateOf returns the replicated state after a single change of count files.
func stateOf(count int) control.State {
	ch := control.Change{ChangeID: "folder", Author: "ana", When: startTime}
	for ix := range count {
		fi := serviceFile(ix, 100)
		ch.Files = append(ch.Files, control.FileChange{Name: fi.Name, Content: fi.Content})
	}
	st, _ := control.NewState().Apply(1, ch)
	return st
}

// files measures the distribution of a configuration: after a change of one file the leader
// sends that file and the names of all files to each instance.
func files() Measurement {
	const repetitions = 10
	return Measurement{
		Name: "leader/files", SizeUnit: "files", Sizes: []int{9, 27, 90, 270}, Quick: []int{9, 27, 270}, Target: TargetControlFiles,
		Columns: []Column{
			{"leader", "what a change of one file adds to a grant", "bytes", Linear},
			{"leader", "encoding of a grant with one file", "processor µs", Linear},
			{"entry", "a change: decoding, merging and checking all files", "processor µs", Linear},
		},
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			co := peer.NewCodec(control.Messages())
			st := stateOf(tr.Size)
			if st.Revision() != 1 {
				return nil, fmt.Errorf("the change was refused")
			}
			bare, err := co.Encode(control.Grant{Granted: true, Revision: 1})
			if err != nil {
				return nil, err
			}
			all := st.Files()
			names := make([]string, len(all))
			for ix := range all {
				names[ix] = all[ix].Name
			}
			var frame []byte
			leader := cpuMicrosPerRun(repetitions, func(int) {
				frame, err = co.Encode(control.Grant{Granted: true, Revision: 1, Names: names, Files: all[:1]})
			})
			if err != nil {
				return nil, err
			}
			entry := cpuMicrosPerRun(repetitions, func(int) {
				_, _ = co.Decode(frame)
				var fis []operator.File
				for _, fi := range all {
					fis = append(fis, operator.File{Name: fi.Name, Content: fi.Content})
				}
				operator.Merge(fis)
			})
			return []float64{float64(len(frame) - len(bare)), leader, entry}, nil
		},
	}
}
