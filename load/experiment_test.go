package load

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/operator"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func checkGolden(c *qt.C, name string, got []byte) {
	c.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.WriteFile(path, got, 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, string(want))
}

func TestReadExperimentReportsFaults(t *testing.T) {
	paths, err := filepath.Glob("testdata/faulty-*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, paths, qt.Not(qt.HasLen), 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			c := qt.New(t)
			_, err := ReadExperiment(path)
			c.Assert(err, qt.IsNotNil)
			checkGolden(c, filepath.Base(path)+".faults", []byte(err.Error()+"\n"))
		})
	}
}

// The experiments in the repository are valid, and the operators' files generated from them
// pass the operators' checks.
func TestRepositoryExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../experiments/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) >= 3, qt.IsTrue)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			c := qt.New(t)
			ex, err := ReadExperiment(path)
			c.Assert(err, qt.IsNil)
			files, err := ex.Files()
			c.Assert(err, qt.IsNil)
			cf, faults := operator.Merge(files)
			c.Assert(faults.Err(), qt.IsNil)
			c.Assert(cf.Services, qt.HasLen, len(ex.Streams(Phase{}))*len(ex.Arms))
			length := time.Duration(0)
			for _, bl := range ex.Blocks() {
				length += bl.Length + ex.Settle
			}
			c.Assert(length < 3*time.Minute, qt.IsTrue, qt.Commentf("%s", length))
		})
	}
}

func smallExperiment(c *qt.C) Experiment {
	ex, err := ReadExperiment("testdata/small.yaml")
	c.Assert(err, qt.IsNil)
	return ex
}

func TestFilesGivesEachArmItsServices(t *testing.T) {
	c := qt.New(t)
	files, err := smallExperiment(c).Files()
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	for _, fi := range files {
		out.WriteString("-- " + fi.Name + " --\n")
		out.Write(fi.Content)
	}
	checkGolden(c, "small.files", out.Bytes())
}

func TestBlocksAlternateArmsWithEqualArrivals(t *testing.T) {
	c := qt.New(t)
	ex := smallExperiment(c)
	bls := ex.Blocks()[:6]
	for ix, bl := range bls {
		c.Assert(bl.Arm, qt.Equals, ix%2)
		c.Assert(bl.seed(ex), qt.Equals, bls[ix-ix%2].seed(ex), qt.Commentf("both arms get the same arrivals"))
	}
	c.Assert(bls[0].seed(ex), qt.Not(qt.Equals), bls[2].seed(ex))
}

func TestExperimentServersShardsAndStreams(t *testing.T) {
	c := qt.New(t)
	ex := smallExperiment(c)
	archivo, desk := ex.Services[0], ex.Services[1]
	c.Assert(archivo.Capacity(), qt.Equals, 2*3/0.02)
	c.Assert(archivo.Shards(wholeMap), qt.DeepEquals, []string{"s01", "s02", "s03"})
	c.Assert(archivo.Shards(splitMap), qt.DeepEquals, []string{"s01a", "s01b", "s02", "s03"})
	c.Assert(desk.label(2), qt.Equals, "desk-02")
	c.Assert(ex.Servers(), qt.HasLen, 3*2+2*2)
	surge := ex.Streams(Phase{Surge: Surge{Service: "archivo", Times: 2}})
	c.Assert(surge[0].Rate, qt.Equals, 600.0)
	c.Assert(surge[1].Rate, qt.Equals, desk.Rate)
}

func TestScheduleBeginsAndEndsFaults(t *testing.T) {
	ms := time.Millisecond
	for _, tt := range []struct {
		name string
		spec FaultSpec
		want []time.Duration // times at which faults begin, and as negative values those at which they end
	}{
		{"whole block", FaultSpec{Kind: Slow, Share: 1, Factor: 2}, []time.Duration{0}},
		{"begins later", FaultSpec{Kind: Stuck, After: 400 * ms}, []time.Duration{400 * ms}},
		{"ends", FaultSpec{Kind: Lost, After: 100 * ms, For: 200 * ms}, []time.Duration{100 * ms, -300 * ms}},
		{"ends after the block", FaultSpec{Kind: Lost, After: 900 * ms, For: 200 * ms}, []time.Duration{900 * ms}},
		{"repeated", FaultSpec{Kind: NewVersion, After: 100 * ms, Every: 400 * ms}, []time.Duration{100 * ms, 500 * ms, 900 * ms}},
		{"fault without end", FaultSpec{Kind: Repartition, For: 100 * ms}, []time.Duration{0}},
		{"repeated with end", FaultSpec{Kind: KillInstance, Every: 500 * ms, For: 100 * ms}, []time.Duration{0, -100 * ms, 500 * ms, -600 * ms}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []time.Duration
			for _, st := range (Phase{Faults: []FaultSpec{tt.spec}}).Schedule(time.Second) {
				at := st.At
				if st.Ends {
					at = -at
				}
				got = append(got, at)
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}
