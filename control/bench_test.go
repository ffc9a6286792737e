package control_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/load"
	"balsamwinch.example/quorum"
	"balsamwinch.example/view"
	"balsamwinch.example/wal"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// numFiles is the number of operator files in the Huamán deployment, one for each
// service.
const numFiles = 27

func serviceFile(service, deadline int) []byte {
	return fmt.Appendf(nil, "Services:\n  service-%d:\n    DeadlineMillis: %d\n    Policy: Best\n    Selector: {Service: service-%d}\n"+
		"    Partitions: [{Number: 1, Shards: 13}]\n", service, deadline, service)
}

// initialChange returns the first change, which adds all files.
func initialChange(files int) control.Change {
	ch := control.Change{ChangeID: "folder", Author: "ana", When: start}
	for i := range files {
		ch.Files = append(ch.Files, control.FileChange{Name: fmt.Sprintf("%03d.yaml", i), Content: serviceFile(i, 100)})
	}
	return ch
}

// fileEdit returns the change with the given number after the first. It changes one
// file.
func fileEdit(number, files int) control.Change {
	base := uint64(1)
	if number >= files {
		base = uint64(number - files + 2)
	}
	fc := control.FileChange{Name: fmt.Sprintf("%03d.yaml", number%files), Base: base, Content: serviceFile(number%files, 101+number%1000)}
	return control.Change{
		ChangeID: fmt.Sprintf("0195a000-0000-7000-8000-%012d", number),
		Author:   "ana", When: start.Add(time.Duration(number) * time.Second), Files: []control.FileChange{fc},
	}
}

func mustAccept(tb testing.TB, st control.State, cm control.Command) control.State {
	ne, oc := st.Apply(st.Index()+1, cm)
	if co, ok := oc.(control.ChangeOutcome); ok && co.Revision == 0 {
		tb.Fatalf("change rejected: %+v", co)
	}
	return ne
}

func mustEncode(tb testing.TB, cm control.Command) []byte {
	data, err := control.Encode(cm)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func heapBytes() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

func report(b *testing.B, sl load.Slope) {
	fi := sl.Fit()
	b.Logf("%s: %.4g %s at %v; slope %.4g each, base %.4g, R2 %.3f", sl.Kind, sl.Values, sl.Unit, sl.Sizes, fi.PerItem, fi.Base, fi.R2)
}

// reportMemory prints the slopes up to a bound and beyond it.
func reportMemory(b *testing.B, kind string, bound float64, sizes, values []float64) {
	below := load.Slope{Kind: kind + " up to the bound", Unit: "bytes"}
	beyond := load.Slope{Kind: kind + " beyond the bound", Unit: "bytes"}
	for i, size := range sizes {
		if size <= bound {
			below.Sizes, below.Values = append(below.Sizes, size), append(below.Values, values[i])
		}
		if size >= bound {
			beyond.Sizes, beyond.Values = append(beyond.Sizes, size), append(beyond.Values, values[i])
		}
	}
	report(b, below)
	report(b, beyond)
}

// BenchmarkApplyChange measures the cost of a committed change of one file at each
// voter.
func BenchmarkApplyChange(b *testing.B) {
	for _, files := range []int{9, numFiles, 90} {
		b.Run(fmt.Sprintf("files=%d", files), func(b *testing.B) {
			st := mustAccept(b, control.NewState(), initialChange(files))
			for i := 0; b.Loop(); i++ {
				st = mustAccept(b, st, fileEdit(i, files))
			}
		})
	}
}

func intentPair(number int) (control.BeginIntent, control.FinishIntent) {
	key := fmt.Sprintf("empfang-%028d", number)
	digest := fmt.Sprintf("%064d", number)
	attempt := fmt.Sprintf("halle-schwabing-1/%d", number)
	bi := control.BeginIntent{Key: key, Digest: digest, Service: "raumfinder", Instance: "halle-schwabing-1", Attempt: attempt, When: start.Add(time.Duration(number) * time.Second)}
	return bi, control.FinishIntent{Key: key, Digest: digest, Attempt: attempt, Answer: make([]byte, 100), When: bi.When}
}

// BenchmarkApplyIntent measures the cost of beginning and finishing an intent at
// each voter when the table is full.
func BenchmarkApplyIntent(b *testing.B) {
	st := control.NewState()
	for i := range control.MaxIntents {
		bi, fi := intentPair(i)
		st = mustAccept(b, mustAccept(b, st, bi), fi)
	}
	for i := control.MaxIntents; b.Loop(); i++ {
		bi, fi := intentPair(i)
		st = mustAccept(b, mustAccept(b, st, bi), fi)
	}
	bi, fi := intentPair(1)
	b.ReportMetric(float64(len(mustEncode(b, bi))), "log-bytes/begin")
	b.ReportMetric(float64(len(mustEncode(b, fi))), "log-bytes/finish")
}

// BenchmarkRenewal measures the cost of a renewal at the leader of 890 entry
// instances.
func BenchmarkRenewal(b *testing.B) {
	const instances = 890
	lt := control.NewLeaseTable(start.Add(-time.Hour), time.Hour)
	for i := 0; b.Loop(); i++ {
		rn := control.Renewal{Instance: view.Instance{Name: fmt.Sprintf("instance-%03d", i%instances), Entry: true}}
		lt, _, _ = lt.WithRenewal(start, rn, instances)
	}
}

// BenchmarkMemory prints how the memory of a state grows with the number of applied
// changes and intents, up to their bounds and beyond, where it must not grow
// further, and the cost of its snapshot.
func BenchmarkMemory(b *testing.B) {
	const files = 9
	for b.Loop() {
		var sizes, values []float64
		st := mustAccept(b, control.NewState(), initialChange(files))
		baseline := heapBytes()
		for i := range 3 * control.MaxAuditEntries {
			st = mustAccept(b, st, fileEdit(i, files))
			if at := i + 1; at == 2048 || at == 4096 || at%control.MaxAuditEntries == 0 {
				sizes, values = append(sizes, float64(at)), append(values, heapBytes()-baseline)
			}
		}
		reportMemory(b, "changes", control.MaxAuditEntries, sizes, values)
		reportSnapshot(b, st)

		sizes, values = nil, nil
		baseline = heapBytes()
		for i := range 3 * control.MaxIntents {
			bi, fi := intentPair(i)
			st = mustAccept(b, mustAccept(b, st, bi), fi)
			if at := i + 1; at == 8192 || at == 16384 || at%control.MaxIntents == 0 {
				sizes, values = append(sizes, float64(at)), append(values, heapBytes()-baseline)
			}
		}
		reportMemory(b, "intents", control.MaxIntents, sizes, values)
		reportSnapshot(b, st)
	}
}

func reportSnapshot(b *testing.B, st control.State) {
	began := time.Now()
	data, err := st.Encode()
	encoded := time.Now()
	if err == nil {
		_, err = control.DecodeState(data)
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Logf("snapshot of %d audit entries and %d intents: %d bytes, encoded in %v, decoded in %v",
		len(st.Audit(0)), st.Intents(), len(data), encoded.Sub(began), time.Since(encoded))
}

// BenchmarkRecovery prints the time from opening the data folder to the recovered
// state, by number of changes: without a snapshot, and with one taken after nine
// tenths of the changes.
func BenchmarkRecovery(b *testing.B) {
	for _, snapshot := range []bool{false, true} {
		sl := load.Slope{Kind: fmt.Sprintf("recovery, snapshot %t", snapshot), Unit: "seconds"}
		for _, changes := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("snapshot=%t/changes=%d", snapshot, changes), func(b *testing.B) {
				dir := b.TempDir()
				want := writeLog(b, dir, changes, snapshot)
				for b.Loop() {
					if got := recoverState(b, dir); got.AuditHead() != want.AuditHead() || got.Revision() != want.Revision() {
						b.Fatalf("want %v, got %v", want.AuditHead(), got.AuditHead())
					}
				}
				sl.Sizes = append(sl.Sizes, float64(changes))
				sl.Values = append(sl.Values, b.Elapsed().Seconds()/float64(b.N))
			})
		}
		b.Run(fmt.Sprintf("snapshot=%t/slope", snapshot), func(b *testing.B) {
			for b.Loop() {
				report(b, sl)
			}
		})
	}
}

func writeLog(b *testing.B, dir string, changes int, snapshot bool) control.State {
	jo, _, err := wal.Open(dir, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	defer jo.Close()
	st := control.NewState()
	var ens []quorum.Entry
	flush := func() {
		if err := jo.Save(quorum.Save{Hard: &quorum.HardState{Term: 1}, Entries: ens}); err != nil {
			b.Fatal(err)
		}
		ens = nil
	}
	for i := range changes {
		cm := fileEdit(i-1, numFiles)
		if i == 0 {
			cm = initialChange(numFiles)
		}
		st = mustAccept(b, st, cm)
		ens = append(ens, quorum.Entry{Index: st.Index(), Term: 1, Data: mustEncode(b, cm)})
		if len(ens) == 64 {
			flush()
		}
		if snapshot && i == changes*9/10 {
			flush()
			data, err := st.Encode()
			if err != nil {
				b.Fatal(err)
			}
			if err := jo.SaveSnapshot(wal.Snapshot{Index: st.Index(), Term: 1, Data: data}); err != nil {
				b.Fatal(err)
			}
		}
	}
	flush()
	return st
}

func recoverState(b *testing.B, dir string) control.State {
	jo, re, err := wal.Open(dir, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	defer jo.Close()
	st := control.NewState()
	if re.Snapshot.Index > 0 {
		if st, err = control.DecodeState(re.Snapshot.Data); err != nil {
			b.Fatal(err)
		}
	}
	for _, en := range re.Entries {
		cm, err := control.Decode(en.Data)
		if err != nil {
			b.Fatal(err)
		}
		st, _ = st.Apply(en.Index, cm)
	}
	return st
}
