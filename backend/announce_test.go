package backend_test

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const validRecord = `{"Server":"sv","Service":"archivo","Address":"10.1.2.3:7001","DataCentre":"surquillo","Labels":{"Rack":"r1"},
"Incarnation":7,"Sequence":1,"State":"Serving","Slots":6,"ConnectionLimit":110,"TTLMillis":5000,
"Holdings":[{"Shard":"a","Snapshot":{"Partition":1,"Version":1}}]}`

// Compares the responses to valid and invalid announcements with the golden
// file.
func TestAnnouncementReplies(t *testing.T) {
	c := qt.New(t)
	ha := backend.NewAnnounceHandler(func(re backend.Record) backend.AnnounceReply {
		return backend.AnnounceReply{Instance: "took " + re.Server, Instances: []string{"10.1.1.1:7102"}, RepeatMillis: 1000}
	}, zap.NewNop())
	with := func(old, nu string) string { return strings.Replace(validRecord, old, nu, 1) }
	var got strings.Builder
	for _, tc := range []struct{ method, body string }{
		{http.MethodPost, validRecord},
		{http.MethodGet, validRecord},
		{http.MethodPost, `{"Server":`},
		{http.MethodPost, with(`"Slots"`, `"Slot"`)},
		{http.MethodPost, with(`6`, `"six"`)},
		{http.MethodPost, validRecord + "{}"},
		{http.MethodPost, with(`10.1.2.3:7001`, `host-3:7001`)},
		{http.MethodPost, with(`10.1.2.3:7001`, `0.0.0.0:7001`)},
		{http.MethodPost, with(`"Serving"`, `"Busy"`)},
		{http.MethodPost, with(`[{`, `[{"Shard":"a","Snapshot":{"Partition":1,"Version":1}},{`)},
		{http.MethodPost, with(`"r1"`, `"`+strings.Repeat("x", 200)+`"`)},
		{http.MethodPost, with(`"r1"`, `"r\u001b[2J"`)},
		{http.MethodPost, with(`"sv"`, `"s\r\nv"`)},
		{http.MethodPost, `{}`},
		{http.MethodPost, with(`"sv"`, `"`+strings.Repeat("x", 1<<20)+`"`)},
	} {
		rw := httptest.NewRecorder()
		ha.ServeHTTP(rw, httptest.NewRequest(tc.method, backend.AnnouncePath, strings.NewReader(tc.body)))
		fmt.Fprintf(&got, "%d %s\n", rw.Code, rw.Body)
	}
	const golden = "testdata/announce.golden"
	if *update {
		c.Assert(os.WriteFile(golden, []byte(got.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Check(got.String(), qt.Equals, string(want))
}
