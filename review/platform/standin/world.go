package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same at all loopback addresses of a world.
const (
	portControl   = 8224
	portDirectory = 8225
	portFrontend  = 8226
	portReadiness = 8227
	portLeaf      = 8281
	portLink      = 7740
	portMetrics   = 9464
)

// Figures of the small deployment sites/huaman-medidas.toml.
const (
	numControls     = 3
	heartbeat       = 1200 * time.Millisecond
	drainPeriod     = 3 * time.Second
	grace           = 6 * time.Second
	contactWindow   = 4 * time.Second
	routeTimeout    = 5 * time.Second
	clientDeadline  = 5 * time.Second
	maxAddressReuse = 50 // attempts to find free addresses
)

var zones = [...]string{"miraflores", "surquillo", "san-isidro"}

// settingsTemplate has the form of deploy/settings.yaml after the platform has filled it in.
const settingsTemplate = `Name: %q
DataCentre: %q
Region: "lima"
DataCentres: {"miraflores":"lima","surquillo":"lima","san-isidro":"lima"}
Address: %q
LinkPort: %d
Listen:
  Callers: %q
  Ready: %q
  Control: %q
  Addresses: %q
Seeds: [%s]
FirstStart: %t
Losses: 1
DataFolder: %q
Limits:
  MemoryMegabytes: 284
  Descriptors: 4100
Timing:
  CallerDistance: 3ms
  Announcement: 1200ms
  StopWithin: 6s
  Drain: 3000ms
  Apply: 3000ms
Budget:
  Ratio: 0.2
  Slack: 58
  Window: 10s
Metrics: %q
`

// node is a machine with one process of the system.
type node struct {
	name, zone, ip string
	control        bool
	settings       string // path of the settings file
	dataFolder     string
	cm             *exec.Cmd
	ended          chan struct{} // closed when the process has ended
}

func (no *node) address(port int) string { return fmt.Sprintf("%s:%d", no.ip, port) }

// world is a small deployment on this machine.
type world struct {
	rc      *record
	trouble bool
	folder  string
	network string // the first three numbers of all addresses

	controls, fronts []*node

	mu     sync.Mutex
	leafs  []*leaf
	nextID int
}

// newWorld starts the control processes and two frontend processes.
func newWorld(rc *record, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	wo := &world{rc: rc, trouble: trouble, folder: folder}
	if wo.network, err = freeNetwork(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	for nth := range numControls {
		wo.controls = append(wo.controls, wo.newNode(fmt.Sprintf("core-%d", nth+1), nth, true))
	}
	for nth := range 2 {
		wo.fronts = append(wo.fronts, wo.newNode(fmt.Sprintf("frontend-%d", nth+1), numControls+nth, false))
	}
	for _, no := range wo.nodes() {
		if err := wo.startNode(no, true); err != nil {
			wo.close()
			return nil, err
		}
	}
	return wo, nil
}

// freeNetwork returns a network of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	var lastErr error
	for range maxAddressReuse {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(250))
		if lastErr = checkFree(network); lastErr == nil {
			return network, nil
		}
	}
	return "", lastErr
}

func checkFree(network string) error {
	for host := 1; host <= numControls+2; host++ {
		for _, port := range []int{portControl, portDirectory, portFrontend, portReadiness, portLink, portMetrics, portLeaf} {
			li, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return err
			}
			_ = li.Close()
		}
	}
	return nil
}

func (wo *world) newNode(name string, index int, control bool) *node {
	return &node{
		name: name, zone: zones[index%len(zones)], ip: fmt.Sprintf("%s.%d", wo.network, index+1), control: control,
		settings: filepath.Join(wo.folder, name+".yaml"), dataFolder: filepath.Join(wo.folder, name),
	}
}

func (wo *world) nodes() []*node {
	return append(append([]*node{}, wo.controls...), wo.fronts...)
}

// writeSettings writes the settings file of a node.
func (wo *world) writeSettings(no *node, first bool) error {
	var seeds []string
	for _, co := range wo.controls {
		seeds = append(seeds, fmt.Sprintf("%q", co.address(portControl)))
	}
	callers, ready, control, directory, data := no.address(portFrontend), no.address(portReadiness), "", "", ""
	if no.control {
		callers, ready, control, directory, data = "", "", no.address(portControl), no.address(portDirectory), no.dataFolder
	}
	text := fmt.Sprintf(settingsTemplate, no.name, no.zone, no.ip, portLink, callers, ready, control, directory,
		strings.Join(seeds, ","), first, data, no.address(portMetrics))
	return os.WriteFile(no.settings, []byte(text), 0o600)
}

// startNode starts the process of a node with the command of the deploy file.
func (wo *world) startNode(no *node, first bool) error {
	if err := wo.writeSettings(no, first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(wo.folder, no.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cm := exec.Command("target/balsamwinch", "platform")
	cm.Env = []string{"PATH=" + os.Getenv("PATH"), "BALSAMWINCH_SETTINGS=" + no.settings}
	cm.Stdout, cm.Stderr = log, log
	cm.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cm.Start(); err != nil {
		return err
	}
	no.cm, no.ended = cm, make(chan struct{})
	ended := no.ended
	go func() {
		_ = cm.Wait()
		close(ended)
	}()
	wo.rc.add("%s is started", no.name)
	return nil
}

// signal sends a signal to the process of a node.
func (wo *world) signal(no *node, sg syscall.Signal) {
	wo.rc.add("%s gets %v", no.name, sg)
	_ = no.cm.Process.Signal(sg)
}

// close ends all processes and removes the temporary folder.
func (wo *world) close() {
	for _, no := range wo.nodes() {
		if no.cm != nil {
			_ = no.cm.Process.Kill()
			<-no.ended
		}
	}
	wo.mu.Lock()
	leafs := wo.leafs
	wo.mu.Unlock()
	for _, le := range leafs {
		le.exit()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(wo.folder)
	}
}

// await polls a condition and returns an error if it isn't met in time.
func await(what string, timeout time.Duration, met func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if met() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, timeout)
}

// isReady asks a frontend node for its readiness.
func (no *node) isReady() bool {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Get("http://" + no.address(portReadiness) + "/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all frontend nodes are ready.
func (wo *world) awaitReady() error {
	return await("all frontend nodes are ready", 20*time.Second, func() bool {
		for _, no := range wo.fronts {
			if !no.isReady() {
				return false
			}
		}
		return true
	})
}
