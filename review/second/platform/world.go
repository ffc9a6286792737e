package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// Ports of the instances, the same on all of them, as on the users' machines.
const (
	portLink      = 7740
	portControl   = 8224
	portDirectory = 8225
	portFrontend  = 8226
	portReady     = 8227
	portMetrics   = 9464
)

// Bounds of the small deployments.
const (
	drainPeriod   = 3 * time.Second
	contactWindow = 4 * time.Second
	heartbeat     = 1200 * time.Millisecond
	startLimit    = 20 * time.Second
)

// world is the deployment of a case: three control instances, the entry instances, and all
// that the case plays itself.
type world struct {
	rec               *record
	dir               string
	program, template string
	trouble           bool

	prefix   string // the first three numbers of all addresses
	controls []*instance
	entries  []*instance
	leafs    []*leaf
}

// instance is a process of the system.
type instance struct {
	name, ip string
	zone     string
	core     bool
	file     string
	log      string
	cmd      *exec.Cmd
}

func (in *instance) at(port int) string { return fmt.Sprintf("%s:%d", in.ip, port) }

// prepare chooses the addresses of the instances and writes their settings.
func (wo *world) prepare() error {
	if err := wo.findAddresses(); err != nil {
		return err
	}
	zones := []string{"miraflores", "surquillo", "san-isidro"}
	for ix, zone := range zones {
		wo.controls = append(wo.controls, &instance{name: "core-" + zone + "-1", ip: fmt.Sprintf("%s.%d", wo.prefix, 10+ix), core: true})
	}
	for ix, zone := range zones[:2] {
		wo.entries = append(wo.entries, &instance{name: "frontend-" + zone + "-1", ip: fmt.Sprintf("%s.%d", wo.prefix, 20+ix)})
	}
	for ix, in := range wo.instances() {
		in.zone = zones[ix%len(zones)]
		if err := wo.writeSettings(in, true); err != nil {
			return err
		}
	}
	return nil
}

// instances returns the control instances and then the entry instances.
func (wo *world) instances() []*instance {
	return append(append([]*instance{}, wo.controls...), wo.entries...)
}

// start starts the instances and waits until the control instances answer.
func (wo *world) start() error {
	for _, in := range wo.instances() {
		if err := wo.run(in); err != nil {
			return err
		}
	}
	return wo.awaitControls()
}

// awaitControls waits until all control instances answer, so that the first heartbeat of each
// leaf goes to the instance that the case wants.
func (wo *world) awaitControls() error {
	limit := time.Now().Add(startLimit)
	for _, in := range wo.controls {
		for {
			if status, _ := wo.call("GET", "http://"+in.at(portControl)+"/config", ""); status != 0 {
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s does not answer", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// findAddresses picks a loopback network on which all ports are free.
func (wo *world) findAddresses() error {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), 2+rand.IntN(250))
		if free(prefix + ".10") {
			wo.prefix = prefix
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func free(ip string) bool {
	for _, port := range []int{portLink, portControl, portDirectory, portFrontend, portReady, portMetrics} {
		li, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = li.Close()
	}
	return true
}

// run starts the process of an instance with the command of the deploy file.
func (wo *world) run(in *instance) error {
	in.log = filepath.Join(wo.dir, in.name+".log")
	fi, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer fi.Close()
	in.cmd = exec.Command(wo.program, "platform")
	in.cmd.Env = append(os.Environ(), "BALSAMWINCH_SETTINGS="+in.file)
	in.cmd.Stdout, in.cmd.Stderr = fi, fi
	wo.rec.note("start %s at %s", in.name, in.ip)
	return in.cmd.Start()
}

// stop ends all processes that were started.
func (wo *world) stop() {
	for _, lf := range wo.leafs {
		lf.close()
	}
	for _, in := range wo.instances() {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	}
}

// keepLogs copies the instances' logs to a folder if the environment asks for it.
func (wo *world) keepLogs(folder string) {
	if os.Getenv("KEEP_LOGS") == "" {
		return
	}
	_ = os.MkdirAll(folder, 0o755)
	for _, in := range wo.instances() {
		if data, err := os.ReadFile(in.log); err == nil {
			_ = os.WriteFile(filepath.Join(folder, in.name+".log"), data, 0o644)
		}
	}
}

// settings returns what the platform tells an instance.
func (wo *world) settings(in *instance, bootstrap bool) map[string]any {
	var seeds []string
	for _, co := range wo.controls {
		seeds = append(seeds, co.at(portControl))
	}
	binds, serves, class := map[string]any{}, []string{"frontend"}, "frontend"
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	var data any
	if in.core {
		serves, class = []string{"control", "directory"}, "core"
		binds["control"], binds["directory"] = in.at(portControl), in.at(portDirectory)
		data = filepath.Join(wo.dir, in.name)
		limits["cpu_share"], limits["memory_mb"], limits["max_fds"], limits["disk_mb"] = 0.24, 280, 4096, 128
	} else {
		binds["frontend_address"], binds["readiness"] = in.at(portFrontend), in.at(portReady)
	}
	return map[string]any{
		"node_name": in.name, "role": class, "machine_class": class, "serves": serves,
		"ip": in.ip, "zone": in.zone, "region": "lima",
		"zones":          map[string]any{"miraflores": "lima", "surquillo": "lima", "san-isidro": "lima"},
		"bind_addresses": binds, "internal_ports": []any{portLink, portLink + 15}, "seeds": seeds,
		"bootstrap": bootstrap, "loss_counts": in.core, "limits": limits, "data_dir": data,
		"discovery": "registry", "entry": "directory", "heartbeat_interval_ms": 1200,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_staleness_s": 3, "reuse_delay_s": 2, "contact_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4,
			"drain_period_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_slack_ms": 250,
			"max_skew_ms": 12000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 58, "recovery_s": 12, "ttl_max_s": 5,
		},
		"config_mode": "highest",
	}
}

// writeSettings fills in the template of the settings, as the platform does.
func (wo *world) writeSettings(in *instance, bootstrap bool) error {
	text, err := os.ReadFile(wo.template)
	if err != nil {
		return err
	}
	in.file = filepath.Join(wo.dir, in.name+".yaml")
	if in.core {
		if err := os.MkdirAll(filepath.Join(wo.dir, in.name), 0o755); err != nil {
			return err
		}
	}
	return os.WriteFile(in.file, []byte(fill(string(text), wo.settings(in, bootstrap))), 0o644)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/[a-z_.]+\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills in a template without nested sections.
func fill(text string, values map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if va := lookUp(values, parts[1]); va == nil || va == false || va == 0 {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(text, func(place string) string {
		parts := valuePattern.FindStringSubmatch(place)
		va := lookUp(values, parts[1])
		if parts[2] != "" {
			data, _ := json.Marshal(va)
			return string(data)
		}
		if va == nil {
			return ""
		}
		return fmt.Sprint(va)
	})
}

func lookUp(values map[string]any, path string) any {
	var at any = values
	for _, name := range strings.Split(path, ".") {
		switch it := at.(type) {
		case map[string]any:
			at = it[name]
		case []any:
			at = it[0]
		default:
			return nil
		}
	}
	return at
}

// call sends a call to an instance's API and returns the status; 0 if there is no answer
// within a second.
func (wo *world) call(method, url, body string) (int, string) {
	rq, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	rq.Header.Set("Content-Type", "application/json")
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Do(rq)
	if err != nil {
		return 0, err.Error()
	}
	defer rs.Body.Close()
	data, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, string(data)
}

// configure sends a configuration until it is accepted, and waits until the entry instances
// are ready.
func (wo *world) configure(config string) error {
	limit := time.Now().Add(startLimit)
	for ix := 0; ; ix++ {
		status, detail := wo.call("PUT", "http://"+wo.controls[ix%len(wo.controls)].at(portControl)+"/config", config)
		if status == http.StatusOK {
			wo.rec.note("operator: the configuration is acknowledged")
			break
		}
		if time.Now().After(limit) {
			return fmt.Errorf("the configuration is not accepted: %d %s", status, detail)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, in := range wo.entries {
		for {
			if status, _ := wo.call("GET", "http://"+in.at(portReady)+"/ready", ""); status == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
