package trail

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Source is a log that can be read more than once.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// RequestReport is what logs say about one request.
type RequestReport struct {
	RequestID string
	Lines     []Line         // lines of the request, sorted by time
	Beliefs   []InstanceView // views of the instances that wrote those lines
	Servers   []ServerReport // backend servers that the lines name
	LeftOut   map[string]int // number of lines about requests that were left out of the logs, by event
	Unread    int            // number of lines that could not be parsed
}

// InstanceView is the view that an instance had of itself and the tier when it wrote its last
// line of the request.
type InstanceView struct {
	Instance string
	// State is Starting, Serving, Stopping or Stopped; empty if the log does not reach back to
	// the start of the process.
	State string
	Since string // time at which the instance entered the state
	// Version is that of the configuration in force, 0 for none. VersionSince is the time at
	// which it came into force.
	Version      int64
	VersionSince string
	Entries      int64  // number of entry instances it knew, including itself
	Links        []Link // links to control instances, sorted by address
	During       []Line // the instance's other lines between the arrival and the end of the request
	Before       int    // number of earlier lines that were dropped from During
}

// Link is a link to a control instance.
type Link struct {
	Control string // name; empty if the instance was never reached
	Address string
	Up      bool
	Since   string
	Error   string // reason why the link is down
}

// ServerReport is what the logs last said about a backend server before the request ended.
type ServerReport struct {
	ID      string
	Service string
	Lines   []Line // latest lines of each event and instance, sorted by time
	// Around counts the attempts of other requests at this server by how they ended, from
	// AroundWindow before the request arrived until AroundWindow after it ended. If several
	// instances had trouble with the server, the cause lies with the server and not with one
	// instance.
	Around    map[string]int
	Instances int // number of instances that wrote the lines counted in Around
}

// AroundWindow is the time span for ServerReport.Around before and after a request.
const AroundWindow = 2 * time.Second

// Values of InstanceView.State.
const (
	StateStarting = "Starting"
	StateServing  = "Serving"
	StateStopping = "Stopping"
	StateStopped  = "Stopped"
)

const (
	// maxDuring bounds InstanceView.During.
	maxDuring = 30
	// maxServers bounds the backend servers in a report.
	maxServers = 100
	// maxLinesPerEvent bounds the lines of one event in ServerReport.Lines.
	maxLinesPerEvent = 3
	// requestPrefix is the prefix of events about requests.
	requestPrefix = "request-"
)

// Explain reads the logs twice and reports what they say about the request. If no log holds a
// line about it, the report has no lines; LeftOut then counts the lines about requests that
// are missing from the logs.
func Explain(requestID string, sos []Source) (RequestReport, error) {
	ex := &explainer{id: requestID, report: RequestReport{RequestID: requestID, LeftOut: make(map[string]int)}}
	sos, err := ex.sortSources(sos)
	if err != nil {
		return RequestReport{}, err
	}
	if err := ex.scan(sos, ex.mentionsRequest, ex.addOwnLine); err != nil {
		return RequestReport{}, err
	}
	ex.prepareSecondPass()
	ex.report.Unread = 0 // The second pass counts them all.
	if err := ex.scan(sos, ex.isRelevant, ex.addOtherLine); err != nil {
		return RequestReport{}, err
	}
	ex.finish()
	return ex.report, nil
}

// explainer collects a report.
type explainer struct {
	id             string
	report         RequestReport
	serverPatterns [][]byte // text of lines that name one of the backend servers
	commonClock    bool     // whether every log has prefixed times, which come from one clock
	views          map[string]*viewTracker
	servers        map[string]*serverTracker
	services       map[string]bool // services that had no server to send the request to
	start          time.Duration   // arrival of the request at the first instance
	end            time.Duration
}

// timeOf returns the time of a line: the prefixed time if all logs have one, otherwise the
// time by the instance's own clock.
func (ex *explainer) timeOf(li Line) time.Duration {
	if ex.commonClock {
		return li.prefixTime
	}
	return time.Duration(li.Time.UnixNano())
}

// mergeByTime merges the lines of all instances by time. The lines of one instance stay in the
// order in which they were written, because its clock may have been set back.
func (ex *explainer) mergeByTime(lis []Line) []Line {
	slices.SortFunc(lis, func(aa, bb Line) int { return cmp.Compare(aa.index, bb.index) })
	remaining := make(map[string][]Line)
	for _, li := range lis {
		remaining[li.Instance] = append(remaining[li.Instance], li)
	}
	names := slices.Sorted(maps.Keys(remaining))
	out := make([]Line, 0, len(lis))
	for len(out) < len(lis) {
		next := ""
		for _, na := range names {
			if len(remaining[na]) > 0 && (next == "" || ex.timeOf(remaining[na][0]) < ex.timeOf(remaining[next][0])) {
				next = na
			}
		}
		out = append(out, remaining[next][0])
		remaining[next] = remaining[next][1:]
	}
	return out
}

// sortSources sorts the logs by their first lines, so that rotated parts of an instance's log
// follow each other whatever their names are.
func (ex *explainer) sortSources(sos []Source) ([]Source, error) {
	type first struct {
		so Source
		li Line
	}
	var firsts []first
	ex.commonClock = true
	for _, so := range sos {
		fi := first{so: so}
		found := false
		_, err := scanSource(so, func([]byte) bool { return true }, func(li Line) bool {
			fi.li, found = li, true
			return false
		})
		if err != nil {
			return nil, err
		}
		ex.commonClock = ex.commonClock && (!found || fi.li.hasPrefixTime)
		if found {
			firsts = append(firsts, fi)
		}
	}
	slices.SortStableFunc(firsts, func(aa, bb first) int { return cmp.Compare(ex.timeOf(aa.li), ex.timeOf(bb.li)) })
	out := make([]Source, 0, len(firsts))
	for _, fi := range firsts {
		out = append(out, fi.so)
	}
	return out, nil
}

// scan reads all logs as if they were one.
func (ex *explainer) scan(sos []Source, match func([]byte) bool, add func(Line)) error {
	const maxLinesPerSource = 1 << 40
	for index, so := range sos {
		unread, err := scanSource(so, match, func(li Line) bool {
			li.index += index * maxLinesPerSource
			if li.Instance == "" {
				li.Instance = so.Name
			}
			add(li)
			return true
		})
		ex.report.Unread += unread
		if err != nil {
			return err
		}
	}
	return nil
}

func scanSource(so Source, match func([]byte) bool, yield func(Line) bool) (unread int, err error) {
	rd, err := so.Open()
	if err != nil {
		return 0, err
	}
	defer rd.Close()
	return Scan(rd, match, yield)
}

func (ex *explainer) mentionsRequest(raw []byte) bool { return bytes.Contains(raw, []byte(ex.id)) }

// addOwnLine adds a line if it is about the request.
func (ex *explainer) addOwnLine(li Line) {
	if li.Text("RequestID") == ex.id {
		ex.report.Lines = append(ex.report.Lines, li)
	}
}

// prepareSecondPass determines which instances, servers and services the second pass collects
// lines about.
func (ex *explainer) prepareSecondPass() {
	ex.views = make(map[string]*viewTracker)
	ex.servers = make(map[string]*serverTracker)
	ex.services = make(map[string]bool)
	if len(ex.report.Lines) > 0 {
		ex.start, ex.end = ex.arrival(ex.report.Lines[0]), ex.timeOf(ex.report.Lines[0])
	}
	for _, li := range ex.report.Lines {
		vt := ex.views[li.Instance]
		if vt == nil {
			vt = &viewTracker{ex: ex, links: make(map[string]*Link), arrival: ex.arrival(li)}
			vt.Instance = li.Instance
			ex.views[li.Instance] = vt
		}
		vt.lastIndex = max(vt.lastIndex, li.index)
		ex.start, ex.end = min(ex.start, ex.arrival(li)), max(ex.end, ex.timeOf(li))
		for _, at := range Attempts(li) {
			if at.Server == "" {
				ex.services[at.Service] = true
				continue
			}
			ex.addServer(at.Server, at.Service)
		}
	}
	for id := range ex.servers {
		ex.serverPatterns = append(ex.serverPatterns, []byte(`"Server":"`+id+`"`))
	}
}

// arrival returns the time at which the request of a line had arrived.
func (ex *explainer) arrival(li Line) time.Duration {
	return ex.timeOf(li) - time.Duration(li.Number("Millis"))*time.Millisecond
}

// Attempt is one attempt in a line of a request; see package gateway.
type Attempt struct {
	Service, Server, Kind string
	At, Millis            int64
	End, Error, Cause     string
	Status, Known, Ready  int
}

// Attempts returns the attempts that a line of a request lists.
func Attempts(li Line) []Attempt {
	var ats []Attempt
	_ = json.Unmarshal(li.Value("Attempts"), &ats) // A value that is not a list is shown unparsed.
	return ats
}

// addServer returns the tracker of a backend server and creates it if needed. It returns nil
// if there are too many.
func (ex *explainer) addServer(id, service string) *serverTracker {
	se := ex.servers[id]
	if se == nil && len(ex.servers) < maxServers {
		se = &serverTracker{lastLines: make(map[string]Line), aroundInstances: make(map[string]bool)}
		se.ID, se.Service = id, service
		ex.servers[id] = se
	}
	return se
}

// isRelevant selects lines for the second pass: those not about requests, those about requests
// at the same backend servers, and truncated lines, so that they are counted.
func (ex *explainer) isRelevant(raw []byte) bool {
	if !strings.HasPrefix(eventName(raw), requestPrefix) || !isComplete(raw) {
		return true
	}
	for _, pattern := range ex.serverPatterns {
		if bytes.Contains(raw, pattern) {
			return true
		}
	}
	return false
}

// countAttempts counts the attempts of another request at the same backend servers.
func (ex *explainer) countAttempts(li Line) {
	at := ex.timeOf(li)
	if li.Text("RequestID") == ex.id || at < ex.start-AroundWindow || at > ex.end+AroundWindow {
		return
	}
	for _, attempt := range Attempts(li) {
		se := ex.servers[attempt.Server]
		if se == nil {
			continue
		}
		if se.Around == nil {
			se.Around = make(map[string]int)
		}
		se.Around[attempt.End]++
		se.aroundInstances[li.Instance] = true
	}
}

// addOtherLine adds a line of the second pass.
func (ex *explainer) addOtherLine(li Line) {
	if strings.HasPrefix(li.Event, requestPrefix) {
		ex.countAttempts(li)
		return
	}
	if vt := ex.views[li.Instance]; vt != nil && li.index < vt.lastIndex {
		vt.apply(li)
	}
	if li.Event == eventLeftOut && strings.HasPrefix(li.Text("Of"), requestPrefix) {
		ex.report.LeftOut[li.Text("Of")] += int(li.Number("Count"))
	}
	if li.Event == eventDropped {
		ex.report.LeftOut[eventDropped] += int(li.Number("Count"))
	}
	ex.addServerLine(li)
}

// addServerLine adds a line about a backend server. Lines in which instances uninvolved in the
// request only note a changed server add nothing and are skipped; lines in which they could
// not reach the server are kept.
func (ex *explainer) addServerLine(li Line) {
	id := li.Text("ID")
	if id == "" {
		id = li.Text("Server")
	}
	if id == "" || !ex.writtenBeforeEnd(li) {
		return
	}
	if ex.views[li.Instance] == nil && (li.Event == "backend-server-changed" || li.Event == "backend-server-dropped") {
		ex.relevantServer(id, li.Text("Service"))
		return
	}
	if se := ex.relevantServer(id, li.Text("Service")); se != nil {
		se.lastLines[li.Instance+" "+li.Event] = li
	}
}

// relevantServer returns the tracker of a backend server, or nil if the server is irrelevant:
// the request was not sent to it, and its service is not one without servers for the request.
func (ex *explainer) relevantServer(id, service string) *serverTracker {
	se, wanted := ex.servers[id]
	if !wanted && ex.services[service] {
		se = ex.addServer(id, service)
	}
	return se
}

// writtenBeforeEnd reports whether a line was written before the request ended.
func (ex *explainer) writtenBeforeEnd(li Line) bool {
	if vt := ex.views[li.Instance]; vt != nil {
		return li.index < vt.lastIndex
	}
	return ex.timeOf(li) <= ex.end
}

func (ex *explainer) finish() {
	ex.report.Lines = ex.mergeByTime(ex.report.Lines)
	for _, vt := range ex.views {
		vt.finish()
		ex.report.Beliefs = append(ex.report.Beliefs, vt.InstanceView)
	}
	slices.SortFunc(ex.report.Beliefs, func(aa, bb InstanceView) int { return strings.Compare(aa.Instance, bb.Instance) })
	for _, se := range ex.servers {
		se.Instances = len(se.aroundInstances)
		for _, li := range se.lastLines {
			se.Lines = append(se.Lines, li)
		}
		se.Lines = lastOfEachEvent(ex.mergeByTime(se.Lines))
		ex.report.Servers = append(ex.report.Servers, se.ServerReport)
	}
	slices.SortFunc(ex.report.Servers, func(aa, bb ServerReport) int {
		return strings.Compare(aa.Service+" "+aa.ID, bb.Service+" "+bb.ID)
	})
}

// lastOfEachEvent returns the last lines of each event.
func lastOfEachEvent(lis []Line) []Line {
	var out []Line
	count := make(map[string]int)
	for _, li := range slices.Backward(lis) {
		if count[li.Event]++; count[li.Event] <= maxLinesPerEvent {
			out = append(out, li)
		}
	}
	slices.Reverse(out)
	return out
}

// serverTracker collects the lines about a backend server.
type serverTracker struct {
	ServerReport
	lastLines       map[string]Line // by instance and event
	aroundInstances map[string]bool // instances counted in ServerReport.Instances
}

// viewTracker derives the view of an instance from its lines.
type viewTracker struct {
	InstanceView
	ex        *explainer
	lastIndex int           // index of the instance's last line of the request
	arrival   time.Duration // time at which the request had arrived
	links     map[string]*Link
}

// apply updates the view by one line.
func (vt *viewTracker) apply(li Line) {
	switch li.Event {
	case "instance-starting":
		*vt = viewTracker{ex: vt.ex, lastIndex: vt.lastIndex, arrival: vt.arrival, links: make(map[string]*Link), InstanceView: InstanceView{
			Instance: vt.Instance, State: StateStarting, Since: li.FormatTime(), During: vt.During, Before: vt.Before,
		}}
	case "configuration-in-force":
		vt.Version, vt.VersionSince = li.Number("Version"), li.FormatTime()
		if vt.State == StateStarting {
			vt.State, vt.Since = StateServing, li.FormatTime()
		}
	case "instance-stopping":
		vt.State, vt.Since = StateStopping, li.FormatTime()
	case "instance-stopped":
		vt.State, vt.Since = StateStopped, li.FormatTime()
	case "entries-known":
		vt.Entries = li.Number("Entries")
	case "control-link-up", "control-link-down":
		vt.links[li.Text("Address")] = &Link{
			Control: li.Text("Control"), Address: li.Text("Address"), Since: li.FormatTime(),
			Up: li.Event == "control-link-up", Error: li.Text("error"),
		}
	case "control-forgotten":
		delete(vt.links, li.Text("Address"))
	}
	if vt.ex.timeOf(li) < vt.arrival {
		return
	}
	vt.During = append(vt.During, li)
	if len(vt.During) > maxDuring {
		vt.During = vt.During[1:]
		vt.Before++
	}
}

func (vt *viewTracker) finish() {
	for _, ln := range vt.links {
		vt.Links = append(vt.Links, *ln)
	}
	slices.SortFunc(vt.Links, func(aa, bb Link) int { return strings.Compare(aa.Address, bb.Address) })
}
