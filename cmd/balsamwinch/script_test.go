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

// patience bounds every wait for a condition. It is no timing bound: a scenario
// that holds is through long before.
const patience = 60 * time.Second

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	testscript.Main(builder{m}, map[string]func(){"query": queryMain, "direct": directMain, "get": getMain})
}

// builder builds the real programs before the scripts run. The test binary also
// runs as the command query, which needs none.
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

// world is what one script has started.
type world struct {
	dir     string
	procs   map[string]*process
	proxies map[string]*proxy // proxies stand before the peer addresses of control instances.
	peers   map[string]string // peers are the real peer addresses by instance.
	aliases map[string]string // aliases are second names of instances, set by leader.
	flood   *flood
	books   *bookings

	mu       sync.Mutex
	callerOf map[string]string // callerOf holds caller addresses for callers in the background.
}

type process struct {
	cmd   *exec.Cmd
	lines map[string]string // lines holds the addresses that it printed.
	done  chan struct{}
	err   error
}

type worldKey struct{}

func setup(env *testscript.Env) error {
	wo := &world{
		dir:     env.WorkDir,
		procs:   make(map[string]*process),
		proxies: make(map[string]*proxy),
		peers:   make(map[string]string),
		aliases: make(map[string]string),

		callerOf: make(map[string]string),
	}
	env.Values[worldKey{}] = wo
	env.Vars = append(env.Vars,
		"PATH="+os.Getenv("PATH"),
		"BALSAMCTL_AUTHOR=ana",
	)
	env.Defer(func() {
		for _, pr := range wo.procs {
			_ = pr.cmd.Process.Kill()
			<-pr.done
		}
		for _, px := range wo.proxies {
			px.close()
		}
	})
	return nil
}

func worldOf(ts *testscript.TestScript) *world {
	return ts.Value(worldKey{}).(*world)
}

// cmdTier writes settings and keys: tier INSTANCES CONTROL [TIMING ...], where
// TIMING is a line like "Lease: 4s". Instances are named
// i1, i2 and so on in data centres a, b and c; the first CONTROL of them keep
// the durable state, with a proxy before the peer address of each.
func cmdTier(ts *testscript.TestScript, _ bool, args []string) {
	wo := worldOf(ts)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	voters, err := strconv.Atoi(args[1])
	ts.Check(err)
	var subjects []keys.Subject
	for ix := 1; ix <= count; ix++ {
		name := fmt.Sprintf("i%d", ix)
		subjects = append(subjects, keys.Subject{Name: name, IPs: []net.IP{net.ParseIP("127.0.0.1")}})
		wo.peers[name] = freeUDP(ts)
		if ix > voters {
			continue
		}
		px, err := newProxy(wo.peers[name])
		ts.Check(err)
		wo.proxies[name] = px
	}
	ts.Check(keys.Write(filepath.Join(wo.dir, "keys"), subjects...))
	for ix := 1; ix <= count; ix++ {
		name := fmt.Sprintf("i%d", ix)
		ts.Check(os.WriteFile(filepath.Join(wo.dir, name+".yaml"), []byte(instanceYAML(name, ix, ix <= voters, wo.peers[name], wo.voters(name), args[2:])), 0o600))
	}
}

// voters lists the control instances as one instance reaches them.
func (wo *world) voters(self string) string {
	var sb strings.Builder
	for ix := 1; ix <= len(wo.proxies); ix++ {
		name := fmt.Sprintf("i%d", ix)
		address := wo.proxies[name].address()
		if name == self {
			address = wo.peers[name]
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

// override returns the lines with those replaced that more has under the same key.
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

// freeUDP returns a free address of a loopback number of its own. On a number that
// others share, one of them could take the port before the instance starts, or
// while it is down.
func freeUDP(ts *testscript.TestScript) string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	pc, err := net.ListenPacket("udp", host+":0")
	ts.Check(err)
	defer pc.Close()
	return pc.LocalAddr().String()
}

// cmdStart starts instances and waits for the addresses that they print, which
// become NAME_Caller, NAME_Operator and so on.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		startProcess(ts, name, "balsamwinch", "run", "-settings", name+".yaml")
	}
}

// cmdLeaf starts a backend server: leaf NAME SERVICE SHARD [YAML line ...]. It
// announces itself to the instances started so far. A line replaces the one that
// it has by default.
func cmdLeaf(ts *testscript.TestScript, _ bool, args []string) {
	wo := worldOf(ts)
	name := args[0]
	var announce []string
	for _, pr := range wo.procs {
		if ad := pr.lines["Backend"]; ad != "" {
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
	ts.Check(os.WriteFile(filepath.Join(wo.dir, name+".yaml"), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	startProcess(ts, name, "balsamleaf", "-settings", name+".yaml")
}

func startProcess(ts *testscript.TestScript, name, program string, args ...string) {
	wo := worldOf(ts)
	logs, err := os.OpenFile(filepath.Join(wo.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(programs, program), args...)
	cmd.Dir = wo.dir
	cmd.Stderr = logs
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	pr := &process{cmd: cmd, lines: make(map[string]string), done: make(chan struct{})}
	wo.procs[name] = pr
	if err := json.NewDecoder(out).Decode(&pr.lines); err != nil {
		text, _ := os.ReadFile(logs.Name())
		close(pr.done)
		delete(wo.procs, name)
		ts.Fatalf("%s printed no addresses: %v\n%s", name, err, text)
	}
	go func() {
		_, _ = io.Copy(io.Discard, out)
		pr.err = cmd.Wait()
		logs.Close()
		close(pr.done)
	}()
	wo.mu.Lock()
	wo.callerOf[name] = pr.lines["Caller"]
	wo.mu.Unlock()
	wo.export(ts, name)
}

// export sets the addresses of a process as NAME_Caller and so on, and under its
// second name.
func (wo *world) export(ts *testscript.TestScript, name string) {
	for key, va := range wo.procs[name].lines {
		ts.Setenv(name+"_"+key, va)
		if al := wo.aliases[name]; al != "" {
			ts.Setenv(al+"_"+key, va)
		}
	}
}

// cmdLeader waits until the named instances agree on who of them leads: leader
// NAME... From then on $leader is its name and $other1, $other2 and so on are
// the others, each with addresses as $leader_Caller.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	wo := worldOf(ts)
	leads := ""
	for end := time.Now().Add(patience); leads == ""; time.Sleep(30 * time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("%v don't agree on a leader", args)
		}
		leads = wo.agreed(args)
	}
	wo.aliases = map[string]string{leads: "leader"}
	for _, name := range args {
		if name != leads {
			wo.aliases[name] = fmt.Sprintf("other%d", len(wo.aliases))
		}
	}
	for name, al := range wo.aliases {
		ts.Setenv(al, name)
		wo.export(ts, name)
	}
}

// agreed returns the leader that all of the instances name, or "".
func (wo *world) agreed(names []string) string {
	leads := ""
	for _, name := range names {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		st, err := operator.NewClient([]string{wo.procs[name].lines["Operator"]}).Status(ctx)
		cancel()
		if err != nil || st.Leader == "" || leads != "" && st.Leader != leads {
			return ""
		}
		leads = st.Leader
	}
	return leads
}

// cmdSignal sends a signal: signal KILL|STOP|CONT|TERM NAME...; after KILL it
// waits for the end.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		pr, ok := worldOf(ts).procs[name]
		if !ok {
			ts.Fatalf("%s does not run", name)
		}
		ts.Check(pr.cmd.Process.Signal(signals[args[0]]))
		if args[0] == "KILL" {
			<-pr.done
			delete(worldOf(ts).procs, name)
		}
	}
}

// cmdEnded waits until processes have ended with exit code 0, or with ! another.
func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		pr := worldOf(ts).procs[name]
		select {
		case <-pr.done:
		case <-time.After(patience):
			ts.Fatalf("%s still runs", name)
		}
		if (pr.err != nil) != neg {
			ts.Fatalf("%s ended with %v", name, pr.err)
		}
		delete(worldOf(ts).procs, name)
	}
}

// cmdUntil runs a program until its output matches: until REGEXP PROGRAM ARG...
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	re, err := regexp.Compile("(?s)" + args[0])
	ts.Check(err)
	var out []byte
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		cmd := exec.Command(args[1], args[2:]...)
		cmd.Dir = worldOf(ts).dir
		out, _ = cmd.CombinedOutput()
		if re.Match(out) != neg {
			fmt.Fprintf(ts.Stdout(), "%s", out)
			return
		}
	}
	ts.Fatalf("no match of %s in\n%s", args[0], out)
}

// cmdCut cuts instances off from control: cut NAME FROM... drops all packets
// between NAME and the peer addresses of the control instances FROM.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	wo := worldOf(ts)
	for _, from := range args[1:] {
		wo.proxies[from].setCut(wo.peers[args[0]], true)
		if px, ok := wo.proxies[args[0]]; ok {
			px.setCut(wo.peers[from], true)
		}
	}
}

// cmdDeafen makes an instance hear nothing that others begin to say, while they
// go on hearing it: deafen NAME FROM...
func cmdDeafen(ts *testscript.TestScript, _ bool, args []string) {
	wo := worldOf(ts)
	for _, from := range args[1:] {
		wo.proxies[args[0]].setCut(wo.peers[from], true)
	}
}

// cmdHeal ends all cuts.
func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, px := range worldOf(ts).proxies {
		px.heal()
	}
}

// cmdPost sends a body: post ADDRESS PATH BODY, where @FILE names a file. With !
// it must be refused.
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

// cmdCounts prints what a backend server counted: counts CONTROLADDRESS FIELD...
// A field like Replies.Shed is one value of a map.
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

// cmdChanges makes changes of the file 50-change.yaml one after another, each in
// force before the next: changes OPERATORS COUNT.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	cl := operator.NewClient(strings.Split(args[0], ","))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// queryMain is the command query: query ADDRESSES SERVICE [BODY]. It asks the
// first of the comma separated addresses that answers for the address list, and
// sends the query to the first instance of that which takes a connection.
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
	hc := &http.Client{Timeout: patience}
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
		return "", fmt.Errorf("%s: empty address list", address)
	}
	for _, to := range ad.Addresses {
		var out string
		out, err = queryAt(to, service, body)
		// An instance that was killed a moment ago still stands in lists. Callers turn
		// to the next one if no connection could be opened.
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return out, err
		}
	}
	return "", err
}

// directMain is the command direct: direct ADDRESS SERVICE [BODY]. It sends a
// query without asking for the address list.
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
	hc := &http.Client{Timeout: patience}
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

// getMain is the command get: get ADDRESS PATH. It prints what an address gives.
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

// listCaller keeps the address list until its time to live has run out.
type listCaller struct {
	seeds   []string
	service string
	list    caller.Addresses
	until   time.Time
}

// query sends one query over the first address of the list.
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

// refresh asks the instances it knows for a new list.
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
