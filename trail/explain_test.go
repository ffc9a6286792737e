package trail

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func source(name string, lines ...string) Source {
	return Source{Name: name, Open: func() (io.ReadCloser, error) {
		return io.NopCloser(strings.NewReader(strings.Join(lines, "\n") + "\n")), nil
	}}
}

// at returns a line of an instance at a second; fields is JSON without its braces.
func at(second int, instance, event, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"Level":"info","Time":"2026-01-01T00:00:%02dZ","Event":%q,"Instance":%q%s}`, second, event, instance, fields)
}

// under returns a line with a prefix.
func under(mark, line string) string { return "  " + mark + " entry-9 " + line }

func explain(t *testing.T, id string, sos ...Source) RequestReport {
	t.Helper()
	st, err := Explain(id, sos)
	qt.Assert(t, err, qt.IsNil)
	return st
}

// told returns lines as when, instance and event.
func told(lis []Line) []string {
	out := []string{}
	for _, li := range lis {
		out = append(out, li.FormatTime()+" "+li.Instance+" "+li.Event)
	}
	return out
}

func TestScan(t *testing.T) {
	tests := []struct {
		line string
		want string
	}{
		{at(1, "entry-1", "a", `"B":1,"C":"x"`), `{"When":"2026-01-01T00:00:01.000Z","Instance":"entry-1","Level":"info","Event":"a","B":1,"C":"x"}`},
		{under("35.0070", at(1, "entry-1", "a", "")), `{"When":"35.007","Instance":"entry-9","Level":"info","Event":"a","OtherInstance":"entry-1"}`},
		{under("-9.5", `{"Event":"a","Instance":"entry-9"}`), `{"When":"-9.500","Instance":"entry-9","Level":"","Event":"a"}`},
		{`{"Event":"link-up","Instance":"entry-1","Instance":"control-2","Event":"b"}`, `{"When":"0001-01-01T00:00:00.000Z","Instance":"entry-1","Level":"","Event":"link-up","OtherInstance":"control-2","OtherEvent":"b"}`},
		{`{"Event":"a","List":[{"X":1}],"Odd":null}`, `{"When":"0001-01-01T00:00:00.000Z","Instance":"","Level":"","Event":"a","List":[{"X":1}],"Odd":null}`},
		{`{"Event":"a","Cut":"sho`, "unread"},
		{`{"Event":"a"  3.1 entry-1 {"Event":"b"}`, "unread"},
		{`"Event": in other text`, ""},
		{`panic: something`, ""},
		{``, ""},
	}
	for _, tt := range tests {
		got := ""
		unread, err := Scan(strings.NewReader(tt.line), func([]byte) bool { return true }, func(li Line) bool {
			data, err := json.Marshal(li)
			qt.Assert(t, err, qt.IsNil)
			got = string(data)
			return true
		})
		qt.Assert(t, err, qt.IsNil)
		if unread > 0 {
			got = "unread"
		}
		qt.Check(t, got, qt.Equals, tt.want, qt.Commentf("%s", tt.line))
	}
}

// A log holds a line without end, as from another program. It must not fill the
// memory, and the lines after it are read.
func TestScanLongLine(t *testing.T) {
	rd := io.MultiReader(strings.NewReader(`{"Event":"long`), io.LimitReader(&endless{}, 5*longestLine), strings.NewReader("\n"+`{"Event":"a"}`+"\n"))
	var got []string
	unread, err := Scan(rd, func(raw []byte) bool {
		qt.Assert(t, len(raw) <= longestLine+(64<<10), qt.IsTrue)
		return true
	}, func(li Line) bool {
		got = append(got, li.Event)
		return true
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, unread, qt.Equals, 1)
	qt.Assert(t, got, qt.DeepEquals, []string{"a"})
}

type endless struct{}

func (*endless) Read(data []byte) (int, error) {
	copy(data, bytes.Repeat([]byte("x"), len(data)))
	return len(data), nil
}

func TestExplainBelief(t *testing.T) {
	log := []string{
		at(1, "entry-1", "instance-starting", ""),
		at(2, "entry-1", "control-link-up", `"Control":"control-1","Address":"10.0.0.1:7"`),
		at(3, "entry-1", "control-link-down", `"Control":"","Address":"10.0.0.2:7","error":"refused"`),
		at(3, "entry-1", "control-link-up", `"Control":"control-3","Address":"10.0.0.3:7"`),
		at(4, "entry-1", "configuration-in-force", `"Version":7`),
		at(5, "entry-1", "entries-known", `"Entries":3`),
		at(6, "entry-1", "configuration-in-force", `"Version":9`),
		at(7, "entry-1", "control-forgotten", `"Address":"10.0.0.3:7"`),
		at(20, "entry-1", "control-link-down", `"Control":"control-1","Address":"10.0.0.1:7","error":"EOF"`),
		at(21, "entry-1", "request-failed", `"RequestID":"r-1","Millis":2000`),
		at(22, "entry-1", "configuration-in-force", `"Version":10`),
		at(23, "entry-1", "instance-stopping", ""),
	}
	st := explain(t, "r-1", source("a", log...))
	qt.Assert(t, told(st.Lines), qt.DeepEquals, []string{"2026-01-01T00:00:21.000Z entry-1 request-failed"})
	qt.Assert(t, st.Beliefs, qt.HasLen, 1)
	be := st.Beliefs[0]
	qt.Assert(t, told(be.During), qt.DeepEquals, []string{"2026-01-01T00:00:20.000Z entry-1 control-link-down"})
	be.During = nil
	qt.Assert(t, be, qt.DeepEquals, InstanceView{
		Instance: "entry-1", State: StateServing, Since: "2026-01-01T00:00:04.000Z",
		Version: 9, VersionSince: "2026-01-01T00:00:06.000Z", Entries: 3,
		Links: []Link{
			{Control: "control-1", Address: "10.0.0.1:7", Since: "2026-01-01T00:00:20.000Z", Error: "EOF"},
			{Address: "10.0.0.2:7", Since: "2026-01-01T00:00:03.000Z", Error: "refused"},
		},
	})
}

func TestExplainState(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		want   string
	}{
		{"the log begins later", []string{"configuration-in-force"}, ""},
		{"starting", []string{"instance-starting"}, StateStarting},
		{"serving", []string{"instance-starting", "configuration-in-force"}, StateServing},
		{"stopping", []string{"instance-starting", "configuration-in-force", "instance-stopping", "configuration-in-force"}, StateStopping},
		{"stopped", []string{"instance-stopping", "instance-stopped"}, StateStopped},
		{"started anew", []string{"configuration-in-force", "instance-stopping", "instance-stopped", "instance-starting"}, StateStarting},
	}
	for _, tt := range tests {
		var log []string
		for number, event := range tt.events {
			log = append(log, at(number, "entry-1", event, `"Version":7`))
		}
		log = append(log, at(30, "entry-1", "request-failed", `"RequestID":"r-1","Millis":1`))
		be := explain(t, "r-1", source("a", log...)).Beliefs[0]
		qt.Check(t, be.State, qt.Equals, tt.want, qt.Commentf("%s", tt.name))
		if tt.want == StateStarting {
			qt.Check(t, be.Version, qt.Equals, int64(0), qt.Commentf("%s: a new process knows nothing", tt.name))
		}
	}
}

// A caller sends its request to a second instance after the first one failed. The
// clock of one of them is set back in between: its lines must stay in their order.
func TestExplainOrder(t *testing.T) {
	st := explain(t, "r-1",
		source("entry-2.log", at(9, "entry-2", "request-answered", `"RequestID":"r-1"`)),
		source("entry-1.log",
			at(8, "entry-1", "request-left", `"RequestID":"r-1"`),
			at(5, "entry-1", "request-failed", `"RequestID":"r-1"`),
			at(12, "entry-1", "request-failed", `"RequestID":"r-10"`),
			at(13, "entry-1", "request-failed", `"RequestID":"r-2","Detail":"r-1"`)),
	)
	qt.Assert(t, told(st.Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:08.000Z entry-1 request-left",
		"2026-01-01T00:00:05.000Z entry-1 request-failed",
		"2026-01-01T00:00:09.000Z entry-2 request-answered",
	})
	qt.Assert(t, st.Beliefs, qt.HasLen, 2)
}

// Old parts of a log have names that sort after the newest part.
func TestExplainRotatedLog(t *testing.T) {
	st := explain(t, "r-1",
		source("entry-1.log", at(20, "entry-1", "request-failed", `"RequestID":"r-1"`)),
		source("entry-1.log.1", at(10, "entry-1", "configuration-in-force", `"Version":8`)),
		source("entry-1.log.2", at(1, "entry-1", "instance-starting", ""), at(2, "entry-1", "configuration-in-force", `"Version":7`)),
		source("notes.txt", "not a log"),
	)
	qt.Assert(t, st.Beliefs[0].Version, qt.Equals, int64(8))
	qt.Assert(t, st.Beliefs[0].State, qt.Equals, StateServing)
}

// Logs were collected with the time of the collector before each line. The clocks
// of the instances differ by much and decide nothing then.
func TestExplainMarkedLog(t *testing.T) {
	st := explain(t, "r-1", source("all",
		"a report about the day",
		"  1.0 entry-1 "+at(50, "entry-1", "request-left", `"RequestID":"r-1"`),
		"  2.0 entry-2 "+at(3, "entry-2", "request-answered", `"RequestID":"r-1"`),
	))
	qt.Assert(t, told(st.Lines), qt.DeepEquals, []string{"1.000 entry-1 request-left", "2.000 entry-2 request-answered"})
}

func TestExplainServers(t *testing.T) {
	failed := at(20, "entry-1", "request-failed", `"RequestID":"r-1","Attempts":[`+
		`{"Service":"desk","Server":"i-1","End":"Lost"},{"Service":"cut","End":"NotAsked","Cause":"none"}]`)
	st := explain(t, "r-1",
		source("control-1",
			at(1, "control-1", "backend-server-announced", `"ID":"i-1","Service":"desk","State":"Ready"`),
			at(2, "control-1", "backend-server-announced", `"ID":"i-2","Service":"desk","State":"Ready"`),
			at(3, "control-1", "backend-server-announced", `"ID":"i-3","Service":"cut","State":"Ready"`),
			at(19, "control-1", "backend-server-silent", `"ID":"i-3"`),
			at(19, "control-1", "backend-server-left", `"ID":"i-2"`),
			at(25, "control-1", "backend-server-left", `"ID":"i-1"`)),
		source("entry-1",
			at(4, "entry-1", "backend-server-changed", `"ID":"i-1","Service":"desk","State":"Ready"`),
			at(10, "entry-1", "server-unreachable", `"Server":"i-1"`),
			at(11, "entry-1", "server-unreachable", `"Server":"i-1"`),
			failed,
			at(21, "entry-1", "server-regained", `"Server":"i-1"`)),
		source("entry-2",
			at(5, "entry-2", "backend-server-changed", `"ID":"i-1","Service":"desk","State":"Ready"`),
			at(12, "entry-2", "server-unreachable", `"Server":"i-1"`),
			at(30, "entry-2", "server-regained", `"Server":"i-1"`)),
	)
	qt.Assert(t, st.Servers, qt.HasLen, 2)
	qt.Assert(t, st.Servers[0].ID+" "+st.Servers[0].Service, qt.Equals, "i-3 cut")
	qt.Assert(t, told(st.Servers[0].Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:03.000Z control-1 backend-server-announced",
		"2026-01-01T00:00:19.000Z control-1 backend-server-silent",
	})
	qt.Assert(t, st.Servers[1].ID+" "+st.Servers[1].Service, qt.Equals, "i-1 desk")
	qt.Assert(t, told(st.Servers[1].Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:01.000Z control-1 backend-server-announced",
		"2026-01-01T00:00:04.000Z entry-1 backend-server-changed",
		"2026-01-01T00:00:11.000Z entry-1 server-unreachable",
		"2026-01-01T00:00:12.000Z entry-2 server-unreachable",
	})
}

func TestLast(t *testing.T) {
	var lis []Line
	for _, event := range strings.Split("aabacaadaa", "") {
		lis = append(lis, Line{Event: event, place: len(lis)})
	}
	var got []int
	for _, li := range last(lis) {
		got = append(got, li.place)
	}
	qt.Assert(t, got, qt.DeepEquals, []int{2, 4, 6, 7, 8, 9})
}

// A request failed at a backend server. Whether others met the same there, at
// other instances too, tells a sick backend server from a sick instance.
func TestExplainAround(t *testing.T) {
	attempt := func(id, server, end string) string {
		return fmt.Sprintf(`"RequestID":%q,"Millis":1000,"Attempts":[{"Service":"desk","Server":%q,"End":%q}]`, id, server, end)
	}
	st := explain(t, "r-1",
		source("entry-1",
			at(16, "entry-1", "request-failed", attempt("r-2", "i-1", "Lost")),
			at(17, "entry-1", "request-failed", attempt("r-3", "i-1", "Lost")),
			at(20, "entry-1", "request-failed", attempt("r-1", "i-1", "Lost"))),
		source("entry-2",
			at(21, "entry-2", "request-answered", attempt("r-4", "i-1", "UnderWay")),
			at(21, "entry-2", "request-answered", attempt("r-5", "i-2", "UnderWay")),
			at(22, "entry-2", "request-answered", attempt("r-6", "i-1", "Lost")),
			at(23, "entry-2", "request-answered", attempt("r-7", "i-1", "Lost"))))
	qt.Assert(t, st.Servers, qt.HasLen, 1)
	qt.Assert(t, st.Servers[0].Around, qt.DeepEquals, map[string]int{"Lost": 2, "UnderWay": 1})
	qt.Assert(t, st.Servers[0].Instances, qt.Equals, 2)
}

// A busy instance writes much while a slow request runs.
func TestExplainDuringIsBounded(t *testing.T) {
	var log []string
	for number := range 50 {
		log = append(log, at(number, "entry-1", "limits-changed", ""))
	}
	log = append(log, at(50, "entry-1", "request-failed", `"RequestID":"r-1","Millis":45000`))
	be := explain(t, "r-1", source("a", log...)).Beliefs[0]
	qt.Assert(t, be.During, qt.HasLen, mostDuring)
	qt.Assert(t, be.Before, qt.Equals, 45-mostDuring)
	qt.Assert(t, be.During[0].FormatTime(), qt.Equals, "2026-01-01T00:00:20.000Z")
}

// The line of a request may have been left out. Whoever looks for it must learn
// that, or they would take the request for a good one.
func TestExplainWithoutLine(t *testing.T) {
	st := explain(t, "r-1", source("a",
		at(1, "entry-1", "request-failed", `"RequestID":"r-2"`),
		at(2, "entry-1", eventLeftOut, `"Of":"request-answered","Count":5`),
		at(3, "entry-1", eventLeftOut, `"Of":"request-answered","Count":2`),
		at(3, "entry-1", eventLeftOut, `"Of":"backend-server-changed","Count":2`),
		at(4, "entry-2", eventDropped, `"Count":40,"Bytes":9000`),
		`{"Event":"request-failed","Requ`,
		`{"Event":"control-link-up","Addr`,
	))
	qt.Assert(t, st.Lines, qt.HasLen, 0)
	qt.Assert(t, st.LeftOut, qt.DeepEquals, map[string]int{"request-answered": 7, eventDropped: 40})
	qt.Assert(t, st.Unread, qt.Equals, 2)
}

func TestExplainUnreadable(t *testing.T) {
	want := errors.New("no such file")
	_, err := Explain("r-1", []Source{{Name: "a", Open: func() (io.ReadCloser, error) { return nil, want }}})
	qt.Assert(t, err, qt.Equals, want)
}

// An instance without a name in its lines is called after its log.
func TestExplainWithoutInstance(t *testing.T) {
	st := explain(t, "r-1",
		source("entry-1.log", `{"Time":"2026-01-01T00:00:01Z","Event":"request-failed","RequestID":"r-1"}`),
		source("entry-2.log", `{"Time":"2026-01-01T00:00:02Z","Event":"request-failed","RequestID":"r-1"}`))
	qt.Assert(t, told(st.Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:01.000Z entry-1.log request-failed", "2026-01-01T00:00:02.000Z entry-2.log request-failed",
	})
}
