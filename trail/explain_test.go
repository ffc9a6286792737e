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

// logLine returns a line of an instance at the given second. Fields is JSON without the
// enclosing braces.
func logLine(second int, instance, event, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"Level":"info","Time":"2026-01-01T00:00:%02dZ","Event":%q,"Instance":%q%s}`, second, event, instance, fields)
}

// withPrefix returns a line with a prefix as collectors of logs add it.
func withPrefix(seconds, line string) string { return "  " + seconds + " entry-9 " + line }

func explain(t *testing.T, id string, sos ...Source) RequestReport {
	t.Helper()
	rr, err := Explain(id, sos)
	qt.Assert(t, err, qt.IsNil)
	return rr
}

// summarize formats lines as time, instance and event.
func summarize(lis []Line) []string {
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
		{logLine(1, "entry-1", "a", `"B":1,"C":"x"`), `{"When":"2026-01-01T00:00:01.000Z","Instance":"entry-1","Level":"info","Event":"a","B":1,"C":"x"}`},
		{withPrefix("35.0070", logLine(1, "entry-1", "a", "")), `{"When":"35.007","Instance":"entry-9","Level":"info","Event":"a","OtherInstance":"entry-1"}`},
		{withPrefix("-9.5", `{"Event":"a","Instance":"entry-9"}`), `{"When":"-9.500","Instance":"entry-9","Level":"","Event":"a"}`},
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

// A log holds a line without an end, as another program may write it. It must not fill the
// memory, and the lines after it must still be read.
func TestScanBoundsLongLine(t *testing.T) {
	rd := io.MultiReader(strings.NewReader(`{"Event":"long`), io.LimitReader(&endless{}, 5*maxLineBytes), strings.NewReader("\n"+`{"Event":"a"}`+"\n"))
	var got []string
	unread, err := Scan(rd, func(raw []byte) bool {
		qt.Assert(t, len(raw) <= maxLineBytes+(64<<10), qt.IsTrue)
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

func TestExplainInstanceView(t *testing.T) {
	log := []string{
		logLine(1, "entry-1", "instance-starting", ""),
		logLine(2, "entry-1", "control-link-up", `"Control":"control-1","Address":"10.0.0.1:7"`),
		logLine(3, "entry-1", "control-link-down", `"Control":"","Address":"10.0.0.2:7","error":"refused"`),
		logLine(3, "entry-1", "control-link-up", `"Control":"control-3","Address":"10.0.0.3:7"`),
		logLine(4, "entry-1", "configuration-in-force", `"Version":7`),
		logLine(5, "entry-1", "entries-known", `"Entries":3`),
		logLine(6, "entry-1", "configuration-in-force", `"Version":9`),
		logLine(7, "entry-1", "control-forgotten", `"Address":"10.0.0.3:7"`),
		logLine(20, "entry-1", "control-link-down", `"Control":"control-1","Address":"10.0.0.1:7","error":"EOF"`),
		logLine(21, "entry-1", "request-failed", `"RequestID":"r-1","Millis":2000`),
		logLine(22, "entry-1", "configuration-in-force", `"Version":10`),
		logLine(23, "entry-1", "instance-stopping", ""),
	}
	rr := explain(t, "r-1", source("a", log...))
	qt.Assert(t, summarize(rr.Lines), qt.DeepEquals, []string{"2026-01-01T00:00:21.000Z entry-1 request-failed"})
	qt.Assert(t, rr.Beliefs, qt.HasLen, 1)
	iv := rr.Beliefs[0]
	qt.Assert(t, summarize(iv.During), qt.DeepEquals, []string{"2026-01-01T00:00:20.000Z entry-1 control-link-down"})
	iv.During = nil
	qt.Assert(t, iv, qt.DeepEquals, InstanceView{
		Instance: "entry-1", State: StateServing, Since: "2026-01-01T00:00:04.000Z",
		Version: 9, VersionSince: "2026-01-01T00:00:06.000Z", Entries: 3,
		Links: []Link{
			{Control: "control-1", Address: "10.0.0.1:7", Since: "2026-01-01T00:00:20.000Z", Error: "EOF"},
			{Address: "10.0.0.2:7", Since: "2026-01-01T00:00:03.000Z", Error: "refused"},
		},
	})
}

func TestExplainInstanceState(t *testing.T) {
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
			log = append(log, logLine(number, "entry-1", event, `"Version":7`))
		}
		log = append(log, logLine(30, "entry-1", "request-failed", `"RequestID":"r-1","Millis":1`))
		iv := explain(t, "r-1", source("a", log...)).Beliefs[0]
		qt.Check(t, iv.State, qt.Equals, tt.want, qt.Commentf("%s", tt.name))
		if tt.want == StateStarting {
			qt.Check(t, iv.Version, qt.Equals, int64(0), qt.Commentf("%s: a new process knows nothing", tt.name))
		}
	}
}

// A caller sends its request to a second instance after the first one failed. The clock of one
// of them is set back in between; its lines must stay in their order.
func TestExplainOrder(t *testing.T) {
	rr := explain(t, "r-1",
		source("entry-2.log", logLine(9, "entry-2", "request-answered", `"RequestID":"r-1"`)),
		source("entry-1.log",
			logLine(8, "entry-1", "request-left", `"RequestID":"r-1"`),
			logLine(5, "entry-1", "request-failed", `"RequestID":"r-1"`),
			logLine(12, "entry-1", "request-failed", `"RequestID":"r-10"`),
			logLine(13, "entry-1", "request-failed", `"RequestID":"r-2","Detail":"r-1"`)),
	)
	qt.Assert(t, summarize(rr.Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:08.000Z entry-1 request-left",
		"2026-01-01T00:00:05.000Z entry-1 request-failed",
		"2026-01-01T00:00:09.000Z entry-2 request-answered",
	})
	qt.Assert(t, rr.Beliefs, qt.HasLen, 2)
}

// The names of rotated parts of a log sort after that of its newest part.
func TestExplainRotatedLog(t *testing.T) {
	rr := explain(t, "r-1",
		source("entry-1.log", logLine(20, "entry-1", "request-failed", `"RequestID":"r-1"`)),
		source("entry-1.log.1", logLine(10, "entry-1", "configuration-in-force", `"Version":8`)),
		source("entry-1.log.2", logLine(1, "entry-1", "instance-starting", ""), logLine(2, "entry-1", "configuration-in-force", `"Version":7`)),
		source("notes.txt", "not a log"),
	)
	qt.Assert(t, rr.Beliefs[0].Version, qt.Equals, int64(8))
	qt.Assert(t, rr.Beliefs[0].State, qt.Equals, StateServing)
}

// The lines are prefixed with the time of the collector. The clocks of the instances differ
// widely and must then be ignored.
func TestExplainUsesCollectorTime(t *testing.T) {
	rr := explain(t, "r-1", source("all",
		"a report about the day",
		"  1.0 entry-1 "+logLine(50, "entry-1", "request-left", `"RequestID":"r-1"`),
		"  2.0 entry-2 "+logLine(3, "entry-2", "request-answered", `"RequestID":"r-1"`),
	))
	qt.Assert(t, summarize(rr.Lines), qt.DeepEquals, []string{"1.000 entry-1 request-left", "2.000 entry-2 request-answered"})
}

func TestExplainServers(t *testing.T) {
	failed := logLine(20, "entry-1", "request-failed", `"RequestID":"r-1","Attempts":[`+
		`{"Service":"desk","Server":"i-1","End":"Lost"},{"Service":"cut","End":"NotAsked","Cause":"none"}]`)
	rr := explain(t, "r-1",
		source("control-1",
			logLine(1, "control-1", "backend-server-announced", `"ID":"i-1","Service":"desk","State":"Ready"`),
			logLine(2, "control-1", "backend-server-announced", `"ID":"i-2","Service":"desk","State":"Ready"`),
			logLine(3, "control-1", "backend-server-announced", `"ID":"i-3","Service":"cut","State":"Ready"`),
			logLine(19, "control-1", "backend-server-silent", `"ID":"i-3"`),
			logLine(19, "control-1", "backend-server-left", `"ID":"i-2"`),
			logLine(25, "control-1", "backend-server-left", `"ID":"i-1"`)),
		source("entry-1",
			logLine(4, "entry-1", "backend-server-changed", `"ID":"i-1","Service":"desk","State":"Ready"`),
			logLine(10, "entry-1", "server-unreachable", `"Server":"i-1"`),
			logLine(11, "entry-1", "server-unreachable", `"Server":"i-1"`),
			failed,
			logLine(21, "entry-1", "server-regained", `"Server":"i-1"`)),
		source("entry-2",
			logLine(5, "entry-2", "backend-server-changed", `"ID":"i-1","Service":"desk","State":"Ready"`),
			logLine(12, "entry-2", "server-unreachable", `"Server":"i-1"`),
			logLine(30, "entry-2", "server-regained", `"Server":"i-1"`)),
	)
	qt.Assert(t, rr.Servers, qt.HasLen, 2)
	qt.Assert(t, rr.Servers[0].ID+" "+rr.Servers[0].Service, qt.Equals, "i-3 cut")
	qt.Assert(t, summarize(rr.Servers[0].Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:03.000Z control-1 backend-server-announced",
		"2026-01-01T00:00:19.000Z control-1 backend-server-silent",
	})
	qt.Assert(t, rr.Servers[1].ID+" "+rr.Servers[1].Service, qt.Equals, "i-1 desk")
	qt.Assert(t, summarize(rr.Servers[1].Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:01.000Z control-1 backend-server-announced",
		"2026-01-01T00:00:04.000Z entry-1 backend-server-changed",
		"2026-01-01T00:00:11.000Z entry-1 server-unreachable",
		"2026-01-01T00:00:12.000Z entry-2 server-unreachable",
	})
}

func TestLastOfEachEvent(t *testing.T) {
	var lis []Line
	for _, event := range strings.Split("aabacaadaa", "") {
		lis = append(lis, Line{Event: event, index: len(lis)})
	}
	var got []int
	for _, li := range lastOfEachEvent(lis) {
		got = append(got, li.index)
	}
	qt.Assert(t, got, qt.DeepEquals, []int{2, 4, 6, 7, 8, 9})
}

// A request failed at a backend server. Attempts of other requests at the same server, at
// other instances too, tell a faulty server from a faulty instance.
func TestExplainCountsAttemptsAround(t *testing.T) {
	attempt := func(id, server, end string) string {
		return fmt.Sprintf(`"RequestID":%q,"Millis":1000,"Attempts":[{"Service":"desk","Server":%q,"End":%q}]`, id, server, end)
	}
	rr := explain(t, "r-1",
		source("entry-1",
			logLine(16, "entry-1", "request-failed", attempt("r-2", "i-1", "Lost")),
			logLine(17, "entry-1", "request-failed", attempt("r-3", "i-1", "Lost")),
			logLine(20, "entry-1", "request-failed", attempt("r-1", "i-1", "Lost"))),
		source("entry-2",
			logLine(21, "entry-2", "request-answered", attempt("r-4", "i-1", "UnderWay")),
			logLine(21, "entry-2", "request-answered", attempt("r-5", "i-2", "UnderWay")),
			logLine(22, "entry-2", "request-answered", attempt("r-6", "i-1", "Lost")),
			logLine(23, "entry-2", "request-answered", attempt("r-7", "i-1", "Lost"))))
	qt.Assert(t, rr.Servers, qt.HasLen, 1)
	qt.Assert(t, rr.Servers[0].Around, qt.DeepEquals, map[string]int{"Lost": 2, "UnderWay": 1})
	qt.Assert(t, rr.Servers[0].Instances, qt.Equals, 2)
}

// A busy instance writes many lines during a slow request; the report must stay bounded.
func TestExplainDuringIsBounded(t *testing.T) {
	var log []string
	for number := range 50 {
		log = append(log, logLine(number, "entry-1", "limits-changed", ""))
	}
	log = append(log, logLine(50, "entry-1", "request-failed", `"RequestID":"r-1","Millis":45000`))
	iv := explain(t, "r-1", source("a", log...)).Beliefs[0]
	qt.Assert(t, iv.During, qt.HasLen, maxDuring)
	qt.Assert(t, iv.Before, qt.Equals, 45-maxDuring)
	qt.Assert(t, iv.During[0].FormatTime(), qt.Equals, "2026-01-01T00:00:20.000Z")
}

// The line of a request may have been left out. The report must say so, because the request
// could otherwise pass for a successful one.
func TestExplainCountsLeftOutLines(t *testing.T) {
	rr := explain(t, "r-1", source("a",
		logLine(1, "entry-1", "request-failed", `"RequestID":"r-2"`),
		logLine(2, "entry-1", eventLeftOut, `"Of":"request-answered","Count":5`),
		logLine(3, "entry-1", eventLeftOut, `"Of":"request-answered","Count":2`),
		logLine(3, "entry-1", eventLeftOut, `"Of":"backend-server-changed","Count":2`),
		logLine(4, "entry-2", eventDropped, `"Count":40,"Bytes":9000`),
		`{"Event":"request-failed","Requ`,
		`{"Event":"control-link-up","Addr`,
	))
	qt.Assert(t, rr.Lines, qt.HasLen, 0)
	qt.Assert(t, rr.LeftOut, qt.DeepEquals, map[string]int{"request-answered": 7, eventDropped: 40})
	qt.Assert(t, rr.Unread, qt.Equals, 2)
}

func TestExplainReturnsOpenError(t *testing.T) {
	want := errors.New("no such file")
	_, err := Explain("r-1", []Source{{Name: "a", Open: func() (io.ReadCloser, error) { return nil, want }}})
	qt.Assert(t, err, qt.Equals, want)
}

// An instance without a name in its lines is named after its log.
func TestExplainNamesInstanceAfterLog(t *testing.T) {
	rr := explain(t, "r-1",
		source("entry-1.log", `{"Time":"2026-01-01T00:00:01Z","Event":"request-failed","RequestID":"r-1"}`),
		source("entry-2.log", `{"Time":"2026-01-01T00:00:02Z","Event":"request-failed","RequestID":"r-1"}`))
	qt.Assert(t, summarize(rr.Lines), qt.DeepEquals, []string{
		"2026-01-01T00:00:01.000Z entry-1.log request-failed", "2026-01-01T00:00:02.000Z entry-2.log request-failed",
	})
}
