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

// Story is what logs say about one request.
type RequestReport struct {
	RequestID string
	Lines     []Line         // Lines are those of the request, in the order of time.
	Beliefs   []InstanceView // Beliefs are those of the instances that wrote them.
	Servers   []ServerReport // Servers are the backend servers that the lines name.
	LeftOut   map[string]int // LeftOut counts lines about requests, by event, that no log holds.
	Unread    int            // Unread counts lines that could not be read.
}

// Belief is what an instance took to be true when it wrote its last line of the
// request.
type InstanceView struct {
	Instance string
	// State is Starting, Serving, Stopping or Stopped; empty if the log doesn't
	// reach back to the start of the process.
	State string
	Since string // Since is when the instance came into the state.
	// Version is that of the configuration in force, 0 for none; VersionSince is
	// when it came into force.
	Version      int64
	VersionSince string
	Entries      int64  // Entries are the entry instances that it knew, itself among them.
	Links        []Link // Links are those to control instances, by address.
	During       []Line // During are the instance's other lines from the arrival of the request to its end.
	Before       int    // Before counts those that During holds no more.
}

// Link is a link to a control instance.
type Link struct {
	Control string // Control is the name; empty if it was never reached.
	Address string
	Up      bool
	Since   string
	Error   string // Error is why the link is down.
}

// ServerStory is what was last said of a backend server before a request ended.
type ServerReport struct {
	ID      string
	Service string
	Lines   []Line // Lines are the last of each kind from each instance, in the order of time.
	// Around counts how attempts at it ended that lines of other requests list, from
	// AroundWindow before the request came to AroundWindow after its end. If several
	// instances had trouble with it, the cause lies there rather than with one
	// instance.
	Around    map[string]int
	Instances int // Instances counts those that wrote these lines.
}

// AroundWindow is the time for ServerStory.Around.
const AroundWindow = 2 * time.Second

// The states of a Belief.
const (
	StateStarting = "Starting"
	StateServing  = "Serving"
	StateStopping = "Stopping"
	StateStopped  = "Stopped"
)

const (
	// mostDuring bounds Belief.During.
	mostDuring = 30
	// mostServers bounds the backend servers that are looked for.
	mostServers = 100
	// mostSameEvent bounds the lines of one event in ServerStory.Lines.
	mostSameEvent = 3
	// requestPrefix begins the events of lines about requests.
	requestPrefix = "request-"
)

// Explain reads the logs, twice, and puts together what they say about the
// request. If no log holds a line of it, the story has no lines and tells how
// many lines about requests were left out.
func Explain(requestID string, sos []Source) (RequestReport, error) {
	ex := &explainer{id: requestID, story: RequestReport{RequestID: requestID, LeftOut: make(map[string]int)}}
	sos, err := ex.sorted(sos)
	if err != nil {
		return RequestReport{}, err
	}
	if err := ex.scan(sos, ex.ownLine, ex.own); err != nil {
		return RequestReport{}, err
	}
	ex.prepare()
	ex.story.Unread = 0 // The second reading counts them all.
	if err := ex.scan(sos, ex.otherLine, ex.other); err != nil {
		return RequestReport{}, err
	}
	ex.finish()
	return ex.story, nil
}

// explainer puts a story together.
type explainer struct {
	id       string
	story    RequestReport
	marks    [][]byte // marks are what lines have that name a backend server.
	marked   bool     // marked says that all logs have times of one clock.
	beliefs  map[string]*believer
	servers  map[string]*server
	services map[string]bool // services are those of which nobody was asked.
	start    time.Duration   // start is when the request came to the first instance.
	end      time.Duration
}

// moment returns when a line was written. Times are of the log's own clock if
// all lines have one, and else of the instances' clocks.
func (ex *explainer) moment(li Line) time.Duration {
	if ex.marked {
		return li.at
	}
	return time.Duration(li.Time.UnixNano())
}

// merged returns lines in the order of time. Those of one instance stay in the
// order in which it wrote them: its clock may have been set back.
func (ex *explainer) merged(lis []Line) []Line {
	slices.SortFunc(lis, func(aa, bb Line) int { return cmp.Compare(aa.place, bb.place) })
	rest := make(map[string][]Line)
	for _, li := range lis {
		rest[li.Instance] = append(rest[li.Instance], li)
	}
	names := slices.Sorted(maps.Keys(rest))
	out := make([]Line, 0, len(lis))
	for len(out) < len(lis) {
		next := ""
		for _, na := range names {
			if len(rest[na]) > 0 && (next == "" || ex.moment(rest[na][0]) < ex.moment(rest[next][0])) {
				next = na
			}
		}
		out = append(out, rest[next][0])
		rest[next] = rest[next][1:]
	}
	return out
}

// sorted returns the logs in the order of their first lines, so that parts of one
// instance's log follow each other whatever their names are.
func (ex *explainer) sorted(sos []Source) ([]Source, error) {
	type first struct {
		so Source
		li Line
	}
	var firsts []first
	ex.marked = true
	for _, so := range sos {
		fi := first{so: so}
		found := false
		_, err := scanOne(so, func([]byte) bool { return true }, func(li Line) bool {
			fi.li, found = li, true
			return false
		})
		if err != nil {
			return nil, err
		}
		ex.marked = ex.marked && (!found || fi.li.marked)
		if found {
			firsts = append(firsts, fi)
		}
	}
	slices.SortStableFunc(firsts, func(aa, bb first) int { return cmp.Compare(ex.moment(aa.li), ex.moment(bb.li)) })
	out := make([]Source, 0, len(firsts))
	for _, fi := range firsts {
		out = append(out, fi.so)
	}
	return out, nil
}

// scan reads all logs as if they were one.
func (ex *explainer) scan(sos []Source, pick func([]byte) bool, take func(Line)) error {
	const linesOfOne = 1 << 40
	for number, so := range sos {
		unread, err := scanOne(so, pick, func(li Line) bool {
			li.place += number * linesOfOne
			if li.Instance == "" {
				li.Instance = so.Name
			}
			take(li)
			return true
		})
		ex.story.Unread += unread
		if err != nil {
			return err
		}
	}
	return nil
}

func scanOne(so Source, pick func([]byte) bool, take func(Line) bool) (unread int, err error) {
	rd, err := so.Open()
	if err != nil {
		return 0, err
	}
	defer rd.Close()
	return Scan(rd, pick, take)
}

func (ex *explainer) ownLine(raw []byte) bool { return bytes.Contains(raw, []byte(ex.id)) }

// own takes a line of the request.
func (ex *explainer) own(li Line) {
	if li.Text("RequestID") == ex.id {
		ex.story.Lines = append(ex.story.Lines, li)
	}
}

// prepare notes what is looked for in the second reading.
func (ex *explainer) prepare() {
	ex.beliefs = make(map[string]*believer)
	ex.servers = make(map[string]*server)
	ex.services = make(map[string]bool)
	if len(ex.story.Lines) > 0 {
		ex.start, ex.end = ex.began(ex.story.Lines[0]), ex.moment(ex.story.Lines[0])
	}
	for _, li := range ex.story.Lines {
		be := ex.beliefs[li.Instance]
		if be == nil {
			be = &believer{ex: ex, links: make(map[string]*Link), from: ex.began(li)}
			be.Instance = li.Instance
			ex.beliefs[li.Instance] = be
		}
		be.until = max(be.until, li.place)
		ex.start, ex.end = min(ex.start, ex.began(li)), max(ex.end, ex.moment(li))
		for _, at := range Attempts(li) {
			if at.Server == "" {
				ex.services[at.Service] = true
				continue
			}
			ex.server(at.Server, at.Service)
		}
	}
	for id := range ex.servers {
		ex.marks = append(ex.marks, []byte(`"Server":"`+id+`"`))
	}
}

// began returns when the request of a line had arrived.
func (ex *explainer) began(li Line) time.Duration {
	return ex.moment(li) - time.Duration(li.Number("Millis"))*time.Millisecond
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
	_ = json.Unmarshal(li.Value("Attempts"), &ats) // What isn't a list is shown as it is.
	return ats
}

// server returns what is collected of a backend server, or nil if there are too many.
func (ex *explainer) server(id, service string) *server {
	se := ex.servers[id]
	if se == nil && len(ex.servers) < mostServers {
		se = &server{last: make(map[string]Line), around: make(map[string]bool)}
		se.ID, se.Service = id, service
		ex.servers[id] = se
	}
	return se
}

// otherLine wants the lines that are not about requests, those about requests at
// the same backend servers, and those that are cut, so that they are counted.
func (ex *explainer) otherLine(raw []byte) bool {
	if !strings.HasPrefix(eventOf(raw), requestPrefix) || !whole(raw) {
		return true
	}
	for _, mark := range ex.marks {
		if bytes.Contains(raw, mark) {
			return true
		}
	}
	return false
}

// otherRequest counts what another request met at the same backend servers.
func (ex *explainer) otherRequest(li Line) {
	mo := ex.moment(li)
	if li.Text("RequestID") == ex.id || mo < ex.start-AroundWindow || mo > ex.end+AroundWindow {
		return
	}
	for _, at := range Attempts(li) {
		se := ex.servers[at.Server]
		if se == nil {
			continue
		}
		if se.Around == nil {
			se.Around = make(map[string]int)
		}
		se.Around[at.End]++
		se.around[li.Instance] = true
	}
}

// other takes a line that is not about a request.
func (ex *explainer) other(li Line) {
	if strings.HasPrefix(li.Event, requestPrefix) {
		ex.otherRequest(li)
		return
	}
	if be := ex.beliefs[li.Instance]; be != nil && li.place < be.until {
		be.take(li)
	}
	if li.Event == eventLeftOut && strings.HasPrefix(li.Text("Of"), requestPrefix) {
		ex.story.LeftOut[li.Text("Of")] += int(li.Number("Count"))
	}
	if li.Event == eventDropped {
		ex.story.LeftOut[eventDropped] += int(li.Number("Count"))
	}
	ex.otherServer(li)
}

// otherServer takes a line about a backend server. That other entry instances
// were told of it as well says nothing new; that they couldn't reach it does.
func (ex *explainer) otherServer(li Line) {
	id := li.Text("ID")
	if id == "" {
		id = li.Text("Server")
	}
	if id == "" || !ex.before(li) {
		return
	}
	if ex.beliefs[li.Instance] == nil && (li.Event == "backend-server-changed" || li.Event == "backend-server-dropped") {
		ex.note(id, li.Text("Service"))
		return
	}
	if se := ex.note(id, li.Text("Service")); se != nil {
		se.last[li.Instance+" "+li.Event] = li
	}
}

// note returns what is collected of a backend server, or nil if it is of no
// interest: it was neither asked nor is it of a service of which nobody was.
func (ex *explainer) note(id, service string) *server {
	se, wanted := ex.servers[id]
	if !wanted && ex.services[service] {
		se = ex.server(id, service)
	}
	return se
}

// before reports whether a line was written before the request had ended.
func (ex *explainer) before(li Line) bool {
	if be := ex.beliefs[li.Instance]; be != nil {
		return li.place < be.until
	}
	return ex.moment(li) <= ex.end
}

func (ex *explainer) finish() {
	ex.story.Lines = ex.merged(ex.story.Lines)
	for _, be := range ex.beliefs {
		be.finish()
		ex.story.Beliefs = append(ex.story.Beliefs, be.InstanceView)
	}
	slices.SortFunc(ex.story.Beliefs, func(aa, bb InstanceView) int { return strings.Compare(aa.Instance, bb.Instance) })
	for _, se := range ex.servers {
		se.Instances = len(se.around)
		for _, li := range se.last {
			se.Lines = append(se.Lines, li)
		}
		se.Lines = last(ex.merged(se.Lines))
		ex.story.Servers = append(ex.story.Servers, se.ServerReport)
	}
	slices.SortFunc(ex.story.Servers, func(aa, bb ServerReport) int {
		return strings.Compare(aa.Service+" "+aa.ID, bb.Service+" "+bb.ID)
	})
}

// last returns the last lines of each event.
func last(lis []Line) []Line {
	var out []Line
	count := make(map[string]int)
	for _, li := range slices.Backward(lis) {
		if count[li.Event]++; count[li.Event] <= mostSameEvent {
			out = append(out, li)
		}
	}
	slices.Reverse(out)
	return out
}

// server collects what is said of a backend server.
type server struct {
	ServerReport
	last   map[string]Line // last is by instance and event.
	around map[string]bool // around holds the instances of ServerStory.Around.
}

// believer follows what an instance believes.
type believer struct {
	InstanceView
	ex    *explainer
	until int           // until is the place of its last line of the request.
	from  time.Duration // from is when the request had arrived.
	links map[string]*Link
}

// take follows one line.
func (be *believer) take(li Line) {
	switch li.Event {
	case "instance-starting":
		*be = believer{ex: be.ex, until: be.until, from: be.from, links: make(map[string]*Link), InstanceView: InstanceView{
			Instance: be.Instance, State: StateStarting, Since: li.FormatTime(), During: be.During, Before: be.Before,
		}}
	case "configuration-in-force":
		be.Version, be.VersionSince = li.Number("Version"), li.FormatTime()
		if be.State == StateStarting {
			be.State, be.Since = StateServing, li.FormatTime()
		}
	case "instance-stopping":
		be.State, be.Since = StateStopping, li.FormatTime()
	case "instance-stopped":
		be.State, be.Since = StateStopped, li.FormatTime()
	case "entries-known":
		be.Entries = li.Number("Entries")
	case "control-link-up", "control-link-down":
		be.links[li.Text("Address")] = &Link{
			Control: li.Text("Control"), Address: li.Text("Address"), Since: li.FormatTime(),
			Up: li.Event == "control-link-up", Error: li.Text("error"),
		}
	case "control-forgotten":
		delete(be.links, li.Text("Address"))
	}
	if be.ex.moment(li) < be.from {
		return
	}
	be.During = append(be.During, li)
	if len(be.During) > mostDuring {
		be.During = be.During[1:]
		be.Before++
	}
}

func (be *believer) finish() {
	for _, ln := range be.links {
		be.Links = append(be.Links, *ln)
	}
	slices.SortFunc(be.Links, func(aa, bb Link) int { return strings.Compare(aa.Address, bb.Address) })
}
