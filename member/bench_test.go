package member

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/peer"
	"balsamwinch.example/snapshot"
)

// meteredCluster is a cluster whose messages are encoded, decoded and counted.
type meteredCluster struct {
	*cluster
	co              *peer.Codec
	records         []backend.Record
	messages, bytes int
}

// newMeteredCluster returns a cluster that holds the given number of records, with
// owners assigned in turn.
func newMeteredCluster(instances, records int) *meteredCluster {
	mc := &meteredCluster{cluster: newCluster(instances, 1), co: peer.NewCodec(Messages())}
	for ix := range records {
		mc.records = append(mc.records, typicalRecord(ix))
	}
	for _, name := range mc.names {
		sp := &step{State: mc.states[name]}
		sp.setNow(mc.now)
		for ix, re := range mc.records {
			owner := mc.names[ix%len(mc.names)]
			sp.merge(newServerEntry(&re, version{epoch: 1, owner: owner, ownerIncarnation: 1}), 0)
		}
		sp.pushQueue = nil
		mc.states[name] = sp.State
	}
	mc.announceAll()
	mc.drop = func(pk packet) bool {
		frame, err := mc.co.Encode(pk.ms)
		if err != nil {
			panic(err)
		}
		if _, err := mc.co.Decode(frame); err != nil {
			panic(err)
		}
		mc.messages++
		mc.bytes += len(frame)
		return false
	}
	return mc
}

// typicalRecord returns a record of typical size: one shard in two versions.
func typicalRecord(ix int) backend.Record {
	re := backend.Record{
		Server: fmt.Sprintf("leaf-%05d", ix), Service: "archivo", Address: fmt.Sprintf("10.%d.%d.7:8080", ix/250, ix%250),
		DataCentre: "san-isidro", State: backend.Serving, Slots: 6, ConnectionLimit: 110,
		Incarnation: 1_760_000_000_000, Sequence: 1, TTLMillis: 10_000,
	}
	for ve := range uint64(2) {
		re.Holdings = append(re.Holdings, backend.Holding{Shard: fmt.Sprintf("shard-%03d", ix%180), Snapshot: snapshot.ID{Partition: 1, Version: 4200 + ve}})
	}
	return re
}

// announceAll lets every server repeat its announcement to its owner.
func (mc *meteredCluster) announceAll() {
	for ix, re := range mc.records {
		mc.step(mc.names[ix%len(mc.names)], Announced{Now: mc.now, Record: re})
	}
	mc.deliver()
}

// announceChange lets a server announce a change.
func (mc *meteredCluster) announceChange(ix int) {
	mc.records[ix].Sequence++
	mc.step(mc.names[ix%len(mc.names)], Announced{Now: mc.now, Record: mc.records[ix]})
}

// simulateSecond advances the time by one second in which every server repeats its
// announcement and some announce a change.
func (mc *meteredCluster) simulateSecond(changes int) {
	mc.announceAll()
	for half := range 2 {
		for ix := half; ix < changes; ix += 2 {
			mc.announceChange(mc.random.IntN(len(mc.records)))
		}
		mc.deliver()
		mc.ticks(1)
	}
}

// processorTime returns the CPU time used by the process.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// cost is the cost of one instance per second.
type cost struct {
	instances, records, changes int
	messages, bytes, micros     float64
}

// measure returns the cost of gossip: encoding, decoding and Step, without the cost
// of the transport.
func measure(b *testing.B, instances, records, changes int) cost {
	mc := newMeteredCluster(instances, records)
	const warmUp, seconds = 5, 20
	for range warmUp {
		mc.simulateSecond(changes)
	}
	mc.messages, mc.bytes = 0, 0
	runtime.GC()
	start := processorTime()
	rounds := 0
	for b.Loop() {
		for range seconds {
			mc.simulateSecond(changes)
		}
		rounds++
	}
	per := float64(instances * seconds * rounds)
	co := cost{
		instances: instances, records: records, changes: changes,
		messages: float64(mc.messages) / per, bytes: float64(mc.bytes) / per,
		micros: float64((processorTime() - start).Microseconds()) / per,
	}
	b.ReportMetric(co.messages, "messages/instance/s")
	b.ReportMetric(co.bytes, "B/instance/s")
	b.ReportMetric(co.micros, "cpu-µs/instance/s")
	b.ReportMetric(0, "ns/op")
	return co
}

// BenchmarkSpread reports the cost of gossip per instance and second, by the
// numbers of instances, records and changes per second in the whole tier, and
// prints the slopes.
func BenchmarkSpread(b *testing.B) {
	var cs []cost
	for _, instances := range []int{3, 9, 30, 100, 300} {
		for _, records := range []int{60, 600, 6900} {
			for _, changes := range []int{0, 1, 10, 100} {
				if instances*records*(changes+1) > 15_000_000 {
					continue // These take minutes and add no new slope.
				}
				b.Run(fmt.Sprintf("instances=%d/records=%d/changes=%d", instances, records, changes), func(b *testing.B) {
					cs = append(cs, measure(b, instances, records, changes))
				})
			}
		}
	}
	printSlope(cs, "record, 9 instances, no change", func(co cost) (float64, bool) {
		return float64(co.records), co.instances == 9 && co.changes == 0
	})
	printSlope(cs, "record, 100 instances, no change", func(co cost) (float64, bool) {
		return float64(co.records), co.instances == 100 && co.changes == 0
	})
	printSlope(cs, "instance, 60 records, no change", func(co cost) (float64, bool) {
		return float64(co.instances), co.records == 60 && co.changes == 0
	})
	for _, instances := range []int{9, 30, 100} {
		printSlope(cs, fmt.Sprintf("change a second, %d instances, 600 records", instances), func(co cost) (float64, bool) {
			return float64(co.changes), co.records == 600 && co.instances == instances
		})
	}
}

// printSlope prints the least-squares slopes of the costs over the value that by
// returns, for the costs that by selects.
func printSlope(cs []cost, per string, by func(co cost) (float64, bool)) {
	var xs, messages, bytes, micros []float64
	for _, co := range cs {
		if x, ok := by(co); ok {
			xs = append(xs, x)
			messages, bytes, micros = append(messages, co.messages), append(bytes, co.bytes), append(micros, co.micros)
		}
	}
	if len(xs) >= 3 {
		fmt.Printf("slope of each %s: %.4f messages, %.4f B, %.4f cpu-µs for each instance and second (%d sizes)\n",
			per, slope(xs, messages), slope(xs, bytes), slope(xs, micros), len(xs))
	}
}

func slope(xs, ys []float64) float64 {
	var sx, sy, sxx, sxy float64
	for ix, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[ix], sxx+x*x, sxy+x*ys[ix]
	}
	n := float64(len(xs))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// BenchmarkMassAnnouncement lets every server announce a change within one tick,
// and reports the cost per instance and the time until all instances have all
// changes.
func BenchmarkMassAnnouncement(b *testing.B) {
	for _, instances := range []int{3, 9, 30, 100} {
		for _, records := range []int{600, 6900} {
			b.Run(fmt.Sprintf("instances=%d/records=%d", instances, records), func(b *testing.B) {
				mc := newMeteredCluster(instances, records)
				mc.simulateSecond(0)
				runtime.GC()
				mc.messages, mc.bytes = 0, 0
				start, rounds, seconds := processorTime(), 0, 0.0
				for b.Loop() {
					for ix := range mc.records {
						mc.announceChange(ix)
					}
					mc.deliver()
					for !mc.converged() {
						mc.ticks(1)
						seconds += tickInterval.Seconds()
					}
					rounds++
				}
				per := float64(instances * rounds)
				b.ReportMetric(float64(mc.messages)/per, "messages/instance")
				b.ReportMetric(float64(mc.bytes)/per, "B/instance")
				b.ReportMetric(float64(mc.bytes)/per/float64(records), "B/instance/record")
				b.ReportMetric(float64((processorTime()-start).Microseconds())/per, "cpu-µs/instance")
				b.ReportMetric(seconds/float64(rounds), "s-until-alike")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkDraining reports the longest time of many tries until no instance would
// send requests to a draining server, without loss and with a fifth of all messages
// lost.
func BenchmarkDraining(b *testing.B) {
	for _, instances := range []int{9, 30, 100, 300} {
		for _, lost := range []int{0, 20} {
			b.Run(fmt.Sprintf("instances=%d/lost=%d%%", instances, lost), func(b *testing.B) {
				cl := newCluster(instances, 1)
				cl.drop = func(packet) bool { return cl.random.IntN(100) < lost }
				const tries = 30
				worst := 0
				for b.Loop() {
					for try := range tries {
						server := fmt.Sprint("s", try)
						cl.announce(cl.names[try%instances], record(server, uint64(try+1), 1, backend.Serving))
						cl.ticks(6)
						cl.announce(cl.names[(try+1)%instances], record(server, uint64(try+1), 2, backend.Draining))
						ticks := 0
						for ; len(cl.listedStates(server)) != 1; ticks++ {
							cl.ticks(1)
						}
						worst = max(worst, ticks)
					}
				}
				b.ReportMetric(float64(worst)*tickInterval.Seconds(), "s-at-worst")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkMemory reports the memory that an instance needs for each record that it
// received in a message.
func BenchmarkMemory(b *testing.B) {
	for _, records := range []int{600, 6900, 27600} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			co := peer.NewCodec(Messages())
			source := &step{State: New(instance("a", 1), 1, time.Unix(0, 0))}
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				st := New(instance("b", 1), 1, time.Unix(0, 0))
				for ix := range records {
					re := typicalRecord(ix)
					it := item{entry: newServerEntry(&re, version{epoch: 1, owner: "a", ownerIncarnation: 1})}
					frame, _ := co.Encode(Transfer{Entries: []Entry{source.pack(it)}})
					ms, _ := co.Decode(frame)
					st, _ = Step(st, Received{Now: st.origin, From: "a", Message: ms})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(records), "B/record")
				runtime.GC()
				list := st.Servers()
				runtime.ReadMemStats(&before)
				b.ReportMetric((float64(before.HeapAlloc)-float64(after.HeapAlloc))/float64(len(list)), "B/record-listed")
				runtime.KeepAlive(st)
			}
		})
	}
}
