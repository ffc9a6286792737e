// Package examples_test loads the example settings and configurations with the code that the
// programs use.
package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/emulate"
	"balsamwinch.example/operator"
	"balsamwinch.example/settings"
)

// serviceGroup is a number of services with the same name prefix and number of shards.
type serviceGroup struct {
	prefix           string
	services, shards int
}

var firms = []struct {
	name        string
	policy      operator.Policy
	dataCentres int
	groups      []serviceGroup
}{
	{"huaman", operator.Best, 3, []serviceGroup{{"quote-desk-", 10, 3}, {"workshop-cut-", 15, 3}, {"archivo", 1, 13}, {"agenda-visitas", 1, 6}}},
	{"aumueller", operator.Complete, 4, []serviceGroup{{"raumfinder-", 10, 3}, {"elternportal-", 15, 3}, {"empfang", 1, 8}, {"altbuch-bruecke", 1, 4}}},
}

func TestInstanceSettingsAreConsistent(t *testing.T) {
	for _, fm := range firms {
		t.Run(fm.name, func(t *testing.T) {
			c := qt.New(t)
			paths, err := filepath.Glob(filepath.Join(fm.name, "instances", "*.yaml"))
			c.Assert(err, qt.IsNil)
			c.Assert(paths, qt.HasLen, 9)
			unique := make(map[string]string)
			centres := make(map[string]bool)
			controls := 0
			var voters []settings.Voter
			for _, pa := range paths {
				in, err := settings.LoadInstance(pa)
				c.Assert(err, qt.IsNil)
				c.Assert(filepath.Base(pa), qt.Equals, in.Name+".yaml")
				c.Assert(in.Has(settings.Entry), qt.IsTrue)
				centres[in.DataCentre] = true
				if in.Has(settings.Control) {
					controls++
				}
				if voters == nil {
					voters = in.Control.Voters
				}
				c.Assert(in.Control.Voters, qt.DeepEquals, voters)
				ad := in.Addresses
				for _, va := range []string{in.Name, ad.Caller, ad.Backend, ad.Operator, ad.Peer} {
					c.Assert(unique[va], qt.Equals, "", qt.Commentf("%s of %s", va, in.Name))
					unique[va] = in.Name
				}
			}
			c.Assert(centres, qt.HasLen, fm.dataCentres)
			c.Assert(controls, qt.Equals, 3)
			c.Assert(voters, qt.HasLen, 3)
		})
	}
}

func TestConfigurationHasExpectedServices(t *testing.T) {
	for _, fm := range firms {
		t.Run(fm.name, func(t *testing.T) {
			c := qt.New(t)
			files, err := operator.ReadFolder(filepath.Join(fm.name, "configuration"))
			c.Assert(err, qt.IsNil)
			cf, fs := operator.Merge(files)
			c.Assert(fs.Error(), qt.Equals, "")
			c.Assert(cf.Limits.MaxEntries >= 9, qt.IsTrue)
			services := 0
			for _, gr := range fm.groups {
				n := 0
				for na, se := range cf.Services {
					if strings.HasPrefix(na, gr.prefix) {
						n++
						c.Assert(se.Policy, qt.Equals, fm.policy)
						c.Assert(se.Partitions[0].Shards, qt.HasLen, gr.shards)
					}
				}
				c.Assert(n, qt.Equals, gr.services, qt.Commentf(gr.prefix))
				services += n
			}
			c.Assert(cf.Services, qt.HasLen, services)
		})
	}
}

// The example with customers must be accepted, require keys and have a public route.
func TestCustomersExample(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile(filepath.Join("customers", "configuration.yaml"))
	c.Assert(err, qt.IsNil)
	tb, err := emulate.Dialect{}.Parse(data)
	c.Assert(err, qt.IsNil)
	cu, ok := tb.Customers().ByKey("replace-museo-key-1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(cu.Name, qt.Equals, "museo")
	c.Assert(cu.Quota.Bounded(), qt.IsTrue)
	ro, ok := tb.Match("archivo.example", "/hours/today")
	c.Assert(ok, qt.IsTrue)
	c.Assert(ro.Public, qt.IsTrue)
}
