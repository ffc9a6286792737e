package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/control"
	"balsamwinch.example/limit"
	"balsamwinch.example/member"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// states measures the memory that a voter needs for each intent and audit entry, and the
// snapshot, whose encoding blocks the control thread.
func states() Measurement {
	const (
		intentsPerAuditEntry = 4
		stateFiles           = 9
	)
	return Measurement{
		Name: "voter/states", SizeUnit: "intents, and a quarter as many audit entries",
		Sizes: []int{8192, 16384, 32768}, Quick: []int{2048, 4096, 8192}, Target: control.MaxIntents,
		Columns: []Column{
			{"voter", "intents", "bytes held", Linear},
			{"voter", "audit entries", "bytes held", Linear},
			{"voter", "snapshot", "bytes", Linear},
			{"voter", "encoding of a snapshot: the control thread stands still", "ms", Linear},
			{"voter", "decoding of a snapshot at start", "ms", Linear},
		},
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			empty := liveBytes()
			st := withIntents(stateOf(stateFiles), tr.Size)
			intents := liveBytes() - empty
			st = withChanges(st, tr.Size/intentsPerAuditEntry)
			audit := liveBytes() - empty - intents
			want := min(tr.Size/intentsPerAuditEntry+1, control.MaxAuditEntries)
			if len(st.Audit(0)) != want || st.Intents() != tr.Size {
				return nil, fmt.Errorf("want %d intents, got %d with %d audit entries", tr.Size, st.Intents(), len(st.Audit(0)))
			}
			start := time.Now()
			data, err := st.Encode()
			encoded := time.Now()
			if err != nil {
				return nil, err
			}
			_, err = control.DecodeState(data)
			decoded := time.Now()
			return []float64{
				intents, audit, float64(len(data)), micros(encoded.Sub(start)) / 1000, micros(decoded.Sub(encoded)) / 1000,
			}, err
		},
	}
}

func withIntents(st control.State, count int) control.State {
	for ix := range count {
		key := fmt.Sprintf("empfang-%028d", ix)
		digest := fmt.Sprintf("%064d", ix)
		attempt := fmt.Sprintf("halle-schwabing-1/%d", ix)
		when := startTime.Add(time.Duration(ix) * time.Millisecond)
		st, _ = st.Apply(st.Index()+1, control.BeginIntent{
			Key: key, Digest: digest, Service: "service-1", Instance: "halle-schwabing-1", Attempt: attempt, When: when,
		})
		st, _ = st.Apply(st.Index()+1, control.FinishIntent{
			Key: key, Digest: digest, Attempt: attempt, Answer: make([]byte, 100), When: when,
		})
	}
	return st
}

func withChanges(st control.State, count int) control.State {
	for ix := range count {
		base := st.Revision()
		if ix == 0 {
			base = 1
		}
		fi := serviceFile(0, 101+ix%1000)
		st, _ = st.Apply(st.Index()+1, control.Change{
			ChangeID: fmt.Sprintf("0195a000-0000-7000-8000-%012d", ix), Author: "ana", When: startTime.Add(time.Duration(ix) * time.Second),
			Files: []control.FileChange{{Name: fi.Name, Base: base, Content: fi.Content}},
		})
	}
	return st
}

// publishing measures the cost of one changed record at an instance that holds many: the list,
// the view and everything derived from them are rebuilt.
func publishing() Measurement {
	const repetitions = 20
	return Measurement{
		Name: "entry/publishing", SizeUnit: "backend servers", Sizes: []int{600, 2300, 6900}, Quick: []int{600, 2300, 6900}, Target: TargetServers,
		Columns: []Column{
			{"entry", "records of backend servers", "bytes held", Linear},
			{"entry", "statistics of backend servers", "bytes held", Linear},
			{"entry", "a changed record: list of servers", "processor µs", Linear},
			{"entry", "a changed record: statistics and connections", "processor µs", Linear},
			{"entry", "an announcement that changes nothing", "processor µs", Linear},
		},
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			ts := timer.New()
			res := recordsOf(tr.Size)
			empty := liveBytes()
			me := member.New(instanceOf(0), 1, startTime)
			for _, re := range res {
				me, _ = member.Step(me, member.Announced{Now: startTime, Record: re})
			}
			me.Servers()
			recordBytes := liveBytes() - empty
			vi := &view.View{Configuration: configuration(TargetQueryLeaves), Instances: instancesOf(9), Servers: me.Servers()}
			ta := limit.NewTable(ts, limit.TableConfig{})
			ta.Update(vi)
			tableBytes := liveBytes() - empty - recordBytes
			cl := backend.NewClient(ts, zap.NewNop(), backend.ClientConfig{})
			list := cpuMicrosPerRun(repetitions, func(int) {
				res[0].Sequence++
				me, _ = member.Step(me, member.Announced{Now: startTime, Record: res[0]})
				me.Servers()
			})
			derived := cpuMicrosPerRun(repetitions, func(int) {
				ta.Update(vi)
				cl.SetTargets(targets(vi))
			})
			repeated := cpuMicrosPerRun(len(res), func(ix int) {
				me, _ = member.Step(me, member.Announced{Now: startTime, Record: res[ix]})
			})
			runtime.KeepAlive(ta)
			return []float64{recordBytes, tableBytes, list, derived, repeated}, nil
		},
	}
}

// targets returns the connection targets that an instance derives from a view.
func targets(vi *view.View) map[string]backend.Target {
	tas := make(map[string]backend.Target, len(vi.Servers))
	for _, re := range vi.Servers {
		tas[re.Server] = backend.Target{
			Server: re.Server, Address: re.Address, Incarnation: re.Incarnation,
			MaxConnections: limit.ConnectionsPerInstance(re.ConnectionLimit, vi.Divisor()),
		}
	}
	return tas
}
