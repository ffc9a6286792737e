package result

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const page = "../docs/RESULTS.md"

var update = flag.Bool("update", false, "rewrite docs/RESULTS.md")

// sections are the sections of the page by the lowest code of each.
var sections = []struct {
	from        Code
	title, text string
}{
	{Complete, "Answers", "The query was answered."},
	{NotRunOverloaded, "Not run", "No backend server can have begun the request, so it may be sent again, also one that must run at most once."},
	{Incomplete, "Failed", "A backend server may have begun the request."},
	{Accepted, "Changes", "Results of changes by operators."},
	{BadSettings, "Faults", "Faults of settings, keys and stored state."},
}

func markdown() string {
	var sb strings.Builder
	sb.WriteString("# Result codes\n\n")
	sb.WriteString("This page is generated from the table in package result by\n`go test ./result -update`; a test compares the two. A code never changes its meaning.\n")
	for i, se := range sections {
		fmt.Fprintf(&sb, "\n## %s\n\n%s\n\n| Code | Name | HTTP status | Meaning |\n|---:|---|---|---|\n", se.title, se.text)
		for _, ro := range Table {
			if ro.Code >= se.from && (i+1 == len(sections) || ro.Code < sections[i+1].from) {
				fmt.Fprintf(&sb, "| %d | `%s` | %d %s | %s |\n", ro.Code, ro.Name, ro.Status, http.StatusText(ro.Status), ro.Meaning)
			}
		}
	}
	return sb.String()
}

// A code that is added or changed without regenerating the page would be missing from the
// documentation or described wrongly.
func TestPageMatchesTable(t *testing.T) {
	c := qt.New(t)
	if *update {
		c.Assert(os.WriteFile(page, []byte(markdown()), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	c.Assert(markdown(), qt.Equals, string(got))
}

// A code without a row in the table would be reported as a bare number with the HTTP status
// 500.
func TestTableHasEveryCode(t *testing.T) {
	c := qt.New(t)
	src, err := os.ReadFile("result.go")
	c.Assert(err, qt.IsNil)
	defs := regexp.MustCompile(`(?m)^\t(\w+) Code = (\d+)$`).FindAllStringSubmatch(string(src), -1)
	c.Assert(defs, qt.HasLen, len(Table))
	for i, de := range defs {
		c.Assert(fmt.Sprintf("%s %d", Table[i].Name, Table[i].Code), qt.Equals, de[1]+" "+de[2])
	}
}

func TestTable(t *testing.T) {
	c := qt.New(t)
	c.Assert(slices.IsSortedFunc(Table, func(aa, bb Row) int { return int(aa.Code - bb.Code) }), qt.IsTrue)
	for i, ro := range Table {
		c.Assert(i > 0 && Table[i-1].Code == ro.Code, qt.IsFalse)
		c.Assert(ro.Code.String(), qt.Equals, ro.Name)
		c.Assert(http.StatusText(ro.Status), qt.Not(qt.Equals), "")
		c.Assert(ro.Code.NotRun(), qt.Equals, strings.HasPrefix(ro.Name, "NotRun"))
	}
	c.Assert(Code(999).String(), qt.Equals, "Code(999)")
	c.Assert(Code(999).Status(), qt.Equals, http.StatusInternalServerError)
}

func TestError(t *testing.T) {
	c := qt.New(t)
	cause := errors.New("no route")
	err := error(&Error{Code: BadKey, Op: "dial", Detail: "want a key", Err: cause})
	c.Assert(err, qt.ErrorMatches, `dial: BadKey \(401\): want a key: no route`)
	c.Assert(err, qt.ErrorIs, cause)
}
