package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"balsamwinch.example/caller"
	"balsamwinch.example/keys"
	"balsamwinch.example/leaf"
	"balsamwinch.example/load"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// waitTimeout bounds every wait for a condition. It is not a timing requirement: a script that
// passes is done long before.
const waitTimeout = 60 * time.Second

// programs is the folder that holds the built programs.
var programs string

func TestMain(m *testing.M) {
	testscript.Main(builder{m}, map[string]func(){"query": queryMain, "direct": directMain, "get": getMain})
}

// builder builds the real programs before the scripts run. The test binary also runs as the
// commands query, direct and get, which need none of them.
type builder struct{ m *testing.M }

func (bu builder) Run() int {
	dir, err := os.MkdirTemp("", "balsamwinch-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	for _, name := range []string{"balsamwinch", "balsamctl", "balsamleaf"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "balsamwinch.example/cmd/"+name).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	os.Setenv("BALSAMCTL_AUTHOR", "ana")
	os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH"))
	return bu.m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"tier":      cmdTier,
			"start":     cmdStart,
			"leaf":      cmdLeaf,
			"signal":    cmdSignal,
			"ended":     cmdEnded,
			"until":     cmdUntil,
			"cut":       cmdCut,
			"heal":      cmdHeal,
			"post":      cmdPost,
			"changes":   cmdChanges,
			"flood":     cmdFlood,
			"press":     cmdPress,
			"flooded":   cmdFlooded,
			"floodends": cmdFloodEnds,
			"counts":    cmdCounts,
			"leader":    cmdLeader,
			"deafen":    cmdDeafen,
			"bookings":  cmdBookings,
			"booked":    cmdBooked,
		},
	})
}

// cluster holds the processes and proxies that one script has started.
type cluster struct {
	dir       string
	processes map[string]*process
	proxies   map[string]*proxy // one before the peer address of each control instance
	peers     map[string]string // real peer addresses by instance
	aliases   map[string]string // second names of instances, set by leader
	flood     *flood
	bookings  *bookings

	mu              sync.Mutex
	callerAddresses map[string]string // caller addresses by instance, read by callers in the background
}

type process struct {
	cmd       *exec.Cmd
	addresses map[string]string // addresses that the process printed
	done      chan struct{}
	err       error
}

type clusterKey struct{}

func setup(env *testscript.Env) error {
	cl := &cluster{
		dir:       env.WorkDir,
		processes: make(map[string]*process),
		proxies:   make(map[string]*proxy),
		peers:     make(map[string]string),
		aliases:   make(map[string]string),

		callerAddresses: make(map[string]string),
	}
	env.Values[clusterKey{}] = cl
	env.Vars = append(env.Vars,
		"PATH="+os.Getenv("PATH"),
		"BALSAMCTL_AUTHOR=ana",
	)
	env.Defer(func() {
		for _, pr := range cl.processes {
			_ = pr.cmd.Process.Kill()
			<-pr.done
		}
		for _, px := range cl.proxies {
			px.close()
		}
	})
	return nil
}

func clusterOf(ts *testscript.TestScript) *cluster {
	return ts.Value(clusterKey{}).(*cluster)
}

// cmdTier implements "tier INSTANCES CONTROL [TIMING ...]": it writes settings and keys.
// TIMING is a line such as "Lease: 4s". The instances are named i1, i2 and so on and are in
// the data centres a, b and c. The first CONTROL of them keep the durable state; the peer
// address of each is reached through a proxy.
func cmdTier(ts *testscript.TestScript, _ bool, args []string) {
	cl := clusterOf(ts)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	voters, err := strconv.Atoi(args[1])
	ts.Check(err)
	var subjects []keys.Subject
	for ix := 1; ix <= count; ix++ {
		name := fmt.Sprintf("i%d", ix)
		subjects = append(subjects, keys.Subject{Name: name, IPs: []net.IP{net.ParseIP("127.0.0.1")}})
		cl.peers[name] = freeUDP(ts)
		if ix > voters {
			continue
		}
		px, err := newProxy(cl.peers[name])
		ts.Check(err)
		cl.proxies[name] = px
	}
	ts.Check(keys.Write(filepath.Join(cl.dir, "keys"), subjects...))
	for ix := 1; ix <= count; ix++ {
		name := fmt.Sprintf("i%d", ix)
		ts.Check(os.WriteFile(filepath.Join(cl.dir, name+".yaml"), []byte(instanceYAML(name, ix, ix <= voters, cl.peers[name], cl.voters(name), args[2:])), 0o600))
	}
}

// voters returns the YAML list of the control instances with the addresses at which the
// instance self reaches them.
func (cl *cluster) voters(self string) string {
	var sb strings.Builder
	for ix := 1; ix <= len(cl.proxies); ix++ {
		name := fmt.Sprintf("i%d", ix)
		address := cl.proxies[name].address()
		if name == self {
			address = cl.peers[name]
		}
		fmt.Fprintf(&sb, "    - {Name: %s, Address: %q}\n", name, address)
	}
	return sb.String()
}

func instanceYAML(name string, ix int, control bool, peerAddress, voters string, timing []string) string {
	roles, folder := "[Entry]", ""
	if control {
		roles, folder = "[Entry, Control]", "DataFolder: data-"+name+"\n"
	}
	return fmt.Sprintf(`Name: %s
Region: lima
DataCentre: %c
Roles: %s
Addresses:
  Caller: 127.0.0.1:0
  Backend: 127.0.0.1:0
  Operator: 127.0.0.1:0
  Peer: %q
Control:
  Voters:
%s%sKeys:
  Authority: keys/authority.crt
  Certificate: keys/%s.crt
  Key: keys/%s.key
Timing:
  %s
`, name, 'a'+(ix-1)%3, roles, peerAddress, voters, folder, name, name,
		strings.Join(override([]string{"Lease: 2s", "Renewal: 250ms"}, timing), "\n  "))
}

// override returns the lines of more, followed by those lines whose key more does not have.
func override(lines, more []string) []string {
	out := slices.Clone(more)
	for _, li := range lines {
		key, _, _ := strings.Cut(li, ":")
		if !slices.ContainsFunc(more, func(mo string) bool { return strings.HasPrefix(mo, key+":") }) {
			out = append(out, li)
		}
	}
	return out
}

// freeUDP returns a free address on a random loopback IP address. On a shared one, another
// process could take the port before the instance starts or while it is down.
func freeUDP(ts *testscript.TestScript) string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	pc, err := net.ListenPacket("udp", host+":0")
	ts.Check(err)
	defer pc.Close()
	return pc.LocalAddr().String()
}

// cmdStart implements "start NAME...": it starts instances and waits for the addresses that
// they print, which it exports as NAME_Caller, NAME_Operator and so on.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		startProcess(ts, name, "balsamwinch", "run", "-settings", name+".yaml")
	}
}

// cmdLeaf implements "leaf NAME SERVICE SHARD [YAML line ...]": it starts a backend server,
// which announces itself to the instances started so far. A given line replaces the default
// line with the same key.
func cmdLeaf(ts *testscript.TestScript, _ bool, args []string) {
	cl := clusterOf(ts)
	name := args[0]
	var announce []string
	for _, pr := range cl.processes {
		if ad := pr.addresses["Backend"]; ad != "" {
			announce = append(announce, strconv.Quote(ad))
		}
	}
	lines := override([]string{
		"Server: " + name,
		"Service: " + args[1],
		"DataCentre: a",
		"Address: 127.0.0.1:0",
		"ControlAddress: 127.0.0.1:0",
		"Announce: [" + strings.Join(announce, ", ") + "]",
		"Shards: [" + args[2] + "]",
		"Repeat: 200ms",
		"TTL: 2s",
	}, args[3:])
	ts.Check(os.WriteFile(filepath.Join(cl.dir, name+".yaml"), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	startProcess(ts, name, "balsamleaf", "-settings", name+".yaml")
}

func startProcess(ts *testscript.TestScript, name, program string, args ...string) {
	cl := clusterOf(ts)
	logs, err := os.OpenFile(filepath.Join(cl.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(programs, program), args...)
	cmd.Dir = cl.dir
	cmd.Stderr = logs
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	pr := &process{cmd: cmd, addresses: make(map[string]string), done: make(chan struct{})}
	cl.processes[name] = pr
	if err := json.NewDecoder(out).Decode(&pr.addresses); err != nil {
		text, _ := os.ReadFile(logs.Name())
		close(pr.done)
		delete(cl.processes, name)
		ts.Fatalf("%s did not print its addresses: %v\n%s", name, err, text)
	}
	go func() {
		_, _ = io.Copy(io.Discard, out)
		pr.err = cmd.Wait()
		logs.Close()
		close(pr.done)
	}()
	cl.mu.Lock()
	cl.callerAddresses[name] = pr.addresses["Caller"]
	cl.mu.Unlock()
	cl.export(ts, name)
}

// export sets the environment variables for the addresses of a process, such as NAME_Caller,
// also under its second name.
func (cl *cluster) export(ts *testscript.TestScript, name string) {
	for key, va := range cl.processes[name].addresses {
		ts.Setenv(name+"_"+key, va)
		if al := cl.aliases[name]; al != "" {
			ts.Setenv(al+"_"+key, va)
		}
	}
}

// cmdLeader implements "leader NAME...": it waits until the named instances agree on the
// leader. It then sets $leader to its name and $other1, $other2 and so on to the others, each
// with addresses such as $leader_Caller.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	cl := clusterOf(ts)
	leader := ""
	for end := time.Now().Add(waitTimeout); leader == ""; time.Sleep(30 * time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("instances %v do not agree on a leader", args)
		}
		leader = cl.agreedLeader(args)
	}
	cl.aliases = map[string]string{leader: "leader"}
	for _, name := range args {
		if name != leader {
			cl.aliases[name] = fmt.Sprintf("other%d", len(cl.aliases))
		}
	}
	for name, al := range cl.aliases {
		ts.Setenv(al, name)
		cl.export(ts, name)
	}
}

// agreedLeader returns the leader that all of the instances report, or "" if they differ.
func (cl *cluster) agreedLeader(names []string) string {
	leader := ""
	for _, name := range names {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		st, err := operator.NewClient([]string{cl.processes[name].addresses["Operator"]}).Status(ctx)
		cancel()
		if err != nil || st.Leader == "" || leader != "" && st.Leader != leader {
			return ""
		}
		leader = st.Leader
	}
	return leader
}

// cmdSignal implements "signal KILL|STOP|CONT|TERM NAME...": it sends a signal. After KILL it
// waits until the process has ended.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		pr, ok := clusterOf(ts).processes[name]
		if !ok {
			ts.Fatalf("%s is not running", name)
		}
		ts.Check(pr.cmd.Process.Signal(signals[args[0]]))
		if args[0] == "KILL" {
			<-pr.done
			delete(clusterOf(ts).processes, name)
		}
	}
}

// cmdEnded implements "ended NAME...": it waits until the processes have ended and checks that
// the exit code is 0, or with ! that it is not.
func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		pr := clusterOf(ts).processes[name]
		select {
		case <-pr.done:
		case <-time.After(waitTimeout):
			ts.Fatalf("%s is still running", name)
		}
		if (pr.err != nil) != neg {
			ts.Fatalf("%s ended with %v", name, pr.err)
		}
		delete(clusterOf(ts).processes, name)
	}
}

// cmdUntil implements "until REGEXP PROGRAM ARG...": it runs a program until its output
// matches, or with ! until it does not.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	re, err := regexp.Compile("(?s)" + args[0])
	ts.Check(err)
	var out []byte
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		cmd := exec.Command(args[1], args[2:]...)
		cmd.Dir = clusterOf(ts).dir
		out, _ = cmd.CombinedOutput()
		if re.Match(out) != neg {
			fmt.Fprintf(ts.Stdout(), "%s", out)
			return
		}
	}
	ts.Fatalf("no match of %s in\n%s", args[0], out)
}

// cmdCut implements "cut NAME FROM...": it drops all packets between NAME and the peer
// addresses of the control instances FROM.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	cl := clusterOf(ts)
	for _, from := range args[1:] {
		cl.proxies[from].setBlocked(cl.peers[args[0]], true)
		if px, ok := cl.proxies[args[0]]; ok {
			px.setBlocked(cl.peers[from], true)
		}
	}
}

// cmdDeafen implements "deafen NAME FROM...": it cuts the connections that the instances FROM
// open to NAME, while those that NAME opens still work.
func cmdDeafen(ts *testscript.TestScript, _ bool, args []string) {
	cl := clusterOf(ts)
	for _, from := range args[1:] {
		cl.proxies[args[0]].setBlocked(cl.peers[from], true)
	}
}

// cmdHeal implements "heal": it ends all cuts.
func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, px := range clusterOf(ts).proxies {
		px.unblockAll()
	}
}

// cmdPost implements "post ADDRESS PATH BODY": it sends a body, where @FILE stands for the
// content of a file. With ! the request must be refused.
func cmdPost(ts *testscript.TestScript, neg bool, args []string) {
	body := args[2]
	if name, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(name)
	}
	rs, err := http.Post("http://"+args[0]+args[1], "application/json", strings.NewReader(body))
	ts.Check(err)
	defer rs.Body.Close()
	got, _ := io.ReadAll(rs.Body)
	fmt.Fprintf(ts.Stdout(), "%s", got)
	if (rs.StatusCode >= 300) != neg {
		ts.Fatalf("post %s: %s", args[1], rs.Status)
	}
}

// cmdCounts implements "counts CONTROLADDRESS FIELD...": it prints counters of a backend
// server. A field such as Replies.Shed selects one value of a map.
func cmdCounts(ts *testscript.TestScript, _ bool, args []string) {
	rs, err := http.Get("http://" + args[0] + leaf.CountsPath)
	ts.Check(err)
	defer rs.Body.Close()
	var all map[string]json.RawMessage
	ts.Check(json.NewDecoder(rs.Body).Decode(&all))
	for _, field := range args[1:] {
		name, key, part := strings.Cut(field, ".")
		value := string(all[name])
		if part {
			var counts map[string]int
			ts.Check(json.Unmarshal(all[name], &counts))
			value = strconv.Itoa(counts[key])
		}
		fmt.Fprintf(ts.Stdout(), "%s %s\n", field, value)
	}
}

// cmdChanges implements "changes OPERATORS COUNT": it changes the file 50-change.yaml COUNT
// times; each change is in force before the next is sent.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	cl := operator.NewClient(strings.Split(args[0], ","))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	known, err := cl.Files(ctx)
	ts.Check(err)
	base := uint64(0)
	for _, fi := range known.Files {
		if fi.Name == "50-change.yaml" {
			base = fi.Revision
		}
	}
	for range count {
		next := known.Revision + 1
		rp, err := cl.ChangeAndWait(ctx, operator.ChangeRequest{
			ChangeID: fmt.Sprintf("change-%d", next),
			Author:   "ana",
			Files: []operator.FileChange{{
				Name: "50-change.yaml", Base: base, Content: fmt.Appendf(nil, "Services:\n  archivo:\n    Weight: %d\n", next),
			}},
		})
		ts.Check(err)
		if rp.Code != result.Accepted {
			ts.Fatalf("change %d: %+v", next, rp)
		}
		known.Revision, base = rp.Revision, rp.Revision
	}
}

// queryMain implements "query ADDRESSES SERVICE [BODY]". It fetches the address list from the
// first of the comma-separated addresses that answers, and sends the query to the first listed
// instance that accepts a connection.
func queryMain() {
	out, err := query(strings.Split(os.Args[1], ","), os.Args[2], os.Args[3:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(out)
}

func query(addresses []string, service string, rest []string) (string, error) {
	body := `{"Query":{}}`
	if len(rest) > 0 {
		body = rest[0]
	}
	var err error
	for _, ad := range addresses {
		var out string
		if out, err = queryVia(ad, service, body); err == nil {
			return out, nil
		}
	}
	return "", err
}

func queryVia(address, service, body string) (string, error) {
	hc := &http.Client{Timeout: waitTimeout}
	rs, err := hc.Get("http://" + address + "/addresses?Service=" + service)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	var ad caller.Addresses
	if err := json.NewDecoder(rs.Body).Decode(&ad); err != nil {
		return "", err
	}
	if len(ad.Addresses) == 0 {
		return "", fmt.Errorf("%s: the address list is empty", address)
	}
	for _, to := range ad.Addresses {
		var out string
		out, err = queryAt(to, service, body)
		// An instance that was just killed may still be in the list. Callers try the next one
		// if the connection was refused.
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return out, err
		}
	}
	return "", err
}

// directMain implements "direct ADDRESS SERVICE [BODY]". It sends a query without fetching the
// address list.
func directMain() {
	body := `{"Query":{}}`
	if len(os.Args) > 3 {
		body = os.Args[3]
	}
	out, err := queryAt(os.Args[1], os.Args[2], body)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(out)
}

func queryAt(address, service, body string) (string, error) {
	hc := &http.Client{Timeout: waitTimeout}
	an, err := hc.Post("http://"+address+"/services/"+service+"/query", "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer an.Body.Close()
	raw, err := io.ReadAll(an.Body)
	if err != nil {
		return "", err
	}
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", " "); err != nil {
		return string(raw), nil
	}
	return buf.String(), nil
}

// getMain implements "get ADDRESS PATH". It prints the body of the response.
func getMain() {
	rs, err := http.Get("http://" + os.Args[1] + os.Args[2])
	if err == nil {
		defer rs.Body.Close()
		_, err = io.Copy(os.Stdout, rs.Body)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// listCaller is a caller that keeps its address list until the list's TTL has expired.
type listCaller struct {
	seeds   []string
	service string
	list    caller.Addresses
	until   time.Time
}

// query sends one query to the first address of the list.
func (lc *listCaller) query(ca load.Call) load.Attempt {
	at := load.Attempt{RequestID: ca.RequestID}
	if !time.Now().Before(lc.until) {
		if at.Err = lc.refresh(); at.Err != nil {
			return at
		}
	}
	body := fmt.Sprintf(`{"RequestID":%q,"Query":%s}`, ca.RequestID, ca.Query)
	rs, err := http.Post("http://"+lc.list.Addresses[0]+"/services/"+lc.service+"/query", "application/json", strings.NewReader(body))
	if err != nil {
		at.Err = err
		return at
	}
	defer rs.Body.Close()
	at.Err = json.NewDecoder(rs.Body).Decode(&at.Answer)
	return at
}

// refresh fetches a new list from the known addresses, trying one after the other.
func (lc *listCaller) refresh() error {
	var err error
	for _, ad := range append(lc.list.Addresses, lc.seeds...) {
		var rs *http.Response
		if rs, err = http.Get("http://" + ad + "/addresses?Service=" + lc.service); err != nil {
			continue
		}
		asked := time.Now()
		err = json.NewDecoder(rs.Body).Decode(&lc.list)
		rs.Body.Close()
		if err == nil {
			lc.until = asked.Add(time.Duration(lc.list.TTLMillis) * time.Millisecond)
			return nil
		}
	}
	return err
}
