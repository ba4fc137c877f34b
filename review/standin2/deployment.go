package standin2

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes, the same on all machines.
const (
	portFirst   = 27720
	portLast    = 27735
	portFront   = 28161
	portControl = 28166
	portReady   = 28167
)

// Zones are the zones of the site bsv-sched.
var Zones = []string{"leuven", "roeselare", "geel"}

// Deployment is a small deployment on loopback addresses: in each zone some edge machines and one core
// machine, each with one process of the project, and executors.
type Deployment struct {
	// Binary is the daemon; Repository is the folder in which it is started.
	Binary     string
	Repository string
	Record     *Record
	Jobs       *Jobs
	Edges      int
	Executors  int

	folder   string
	net      int
	machines []*Machine
	ctx      context.Context
	cancel   context.CancelFunc
}

// Machine is one machine of the system with its process.
type Machine struct {
	Name string
	Zone string
	IP   string
	Edge bool

	deployment *Deployment
	command    *exec.Cmd
	exited     chan struct{}
	mutex      sync.Mutex
	misses     int
}

// Service, Host and Prefix are of the configuration that Start sends.
const (
	Service = "claims-desk"
	Host    = "nony24.example"
	Prefix  = "/lohu930/"
)

// Start starts all machines, sends the first configuration and starts the executors. It returns once
// every edge machine is ready.
func (deployment *Deployment) Start() error {
	folder, err := os.MkdirTemp("", "review-standin2-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	deployment.folder = folder
	deployment.ctx, deployment.cancel = context.WithCancel(context.Background())
	if err := deployment.chooseNet(); err != nil {
		return err
	}
	for number, zone := range Zones {
		deployment.add(zone, "core-"+zone, fmt.Sprintf("127.%d.%d.100", deployment.net, number+1), false)
		for index := range deployment.Edges {
			deployment.add(zone, fmt.Sprintf("edge-%s-%d", zone, index+1), fmt.Sprintf("127.%d.%d.%d", deployment.net, number+1, 10+index), true)
		}
	}
	go deployment.stopEarly()
	for _, machine := range deployment.machines {
		if err := machine.start(true); err != nil {
			return err
		}
	}
	if err := deployment.Configure(1, 20*time.Second); err != nil {
		return err
	}
	for number, zone := range Zones {
		for index := range deployment.Executors {
			created := &Executor{
				id: fmt.Sprintf("i-%s-%02d", zone, index), zone: zone, service: Service, controls: deployment.controls(),
				record: deployment.Record, jobs: deployment.Jobs,
			}
			if err := startExecutor(deployment.ctx, created, fmt.Sprintf("127.%d.%d.200", deployment.net, number+1)); err != nil {
				return err
			}
		}
	}
	if err := deployment.awaitReady(20 * time.Second); err != nil {
		return err
	}
	go deployment.checkReadiness()
	// Every executor has reported itself twice by then.
	time.Sleep(2*heartbeatInterval + 500*time.Millisecond)
	return nil
}

// caseTime is how long a case may take at most.
const caseTime = 110 * time.Second

// stopEarly ends the program with all processes that it started after caseTime, or when it is told to end.
func (deployment *Deployment) stopEarly() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	select {
	case <-deployment.ctx.Done():
		return
	case <-ended:
	case <-time.After(caseTime):
	}
	deployment.Stop()
	os.Exit(2)
}

// Stop kills every process that was started, and removes the folder unless a case asks to keep it.
func (deployment *Deployment) Stop() {
	for _, machine := range deployment.machines {
		if machine.exited == nil {
			continue
		}
		machine.Signal(syscall.SIGKILL)
		<-machine.exited
	}
	if deployment.cancel != nil {
		deployment.cancel()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}

// chooseNet finds a second number of the loopback addresses on which the ports are free.
func (deployment *Deployment) chooseNet() error {
	for turn := range 100 {
		deployment.net = 20 + (os.Getpid()+turn)%200
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.10:%d", deployment.net, portFirst))
		if err == nil {
			return listener.Close()
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (deployment *Deployment) add(zone, name, ip string, edge bool) {
	deployment.machines = append(deployment.machines, &Machine{Name: name, Zone: zone, IP: ip, Edge: edge, deployment: deployment})
}

func (deployment *Deployment) controls() []string {
	var addresses []string
	for _, machine := range deployment.machines {
		if !machine.Edge {
			addresses = append(addresses, machine.Control())
		}
	}
	return addresses
}

// EdgesIn returns the edge machines of a zone.
func (deployment *Deployment) EdgesIn(zone string) []*Machine {
	var found []*Machine
	for _, machine := range deployment.machines {
		if machine.Edge && machine.Zone == zone {
			found = append(found, machine)
		}
	}
	return found
}

// LeadOf returns the edge machine to which the heartbeats of a zone are sent, or nil.
func (deployment *Deployment) LeadOf(zone string) *Machine {
	address := deployment.Record.Leads(zone)
	for _, machine := range deployment.machines {
		if strings.HasPrefix(address, machine.IP+":") {
			return machine
		}
	}
	return nil
}

// Front returns the address at which an edge machine takes jobs.
func (machine *Machine) Front() string { return fmt.Sprintf("%s:%d", machine.IP, portFront) }

// Control returns the address at which a core machine is called.
func (machine *Machine) Control() string { return fmt.Sprintf("%s:%d", machine.IP, portControl) }

// InRotation reports whether the platform gives the machine new connections: it has not missed two
// readiness checks since the last good one.
func (machine *Machine) InRotation() bool {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.misses < 2
}

func (machine *Machine) start(bootstrap bool) error {
	path := filepath.Join(machine.deployment.folder, machine.Name+".toml")
	if err := os.WriteFile(path, []byte(machine.settings(bootstrap)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(machine.deployment.folder, machine.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	command := exec.Command(machine.deployment.Binary)
	command.Dir = machine.deployment.Repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STOATHITCH_BOOT=" + path}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", machine.Name, err)
	}
	machine.command = command
	exited := make(chan struct{})
	machine.exited = exited
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process of the machine, which this program has started.
func (machine *Machine) Signal(signal syscall.Signal) {
	if machine.command != nil && machine.command.Process != nil {
		_ = machine.command.Process.Signal(signal)
	}
}

func (machine *Machine) settings(bootstrap bool) string {
	deployment := machine.deployment
	var text strings.Builder
	role, class, serves := "keeper", "core", "control"
	if machine.Edge {
		role, class, serves = "entry", "edge", "edge"
	}
	var seeds []string
	for _, control := range deployment.controls() {
		seeds = append(seeds, fmt.Sprintf("%q", control))
	}
	fmt.Fprintf(&text, "node = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"vlaanderen\"\n", machine.Name, role, class, serves, machine.IP, machine.Zone)
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseeds = [%s]\nbootstrap = %v\nfaultCounted = %v\n", portFirst, portLast, strings.Join(seeds, ","), bootstrap, !machine.Edge)
	text.WriteString("discovery = \"registration\"\nentry = \"vip\"\nheartbeatMs = 1500\n")
	text.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\nconfig_mode = \"highest\"\norders = \"invocation\"\n")
	if !machine.Edge {
		fmt.Fprintf(&text, "dataDir = %q\n", filepath.Join(deployment.folder, machine.Name+"-data"))
	}
	text.WriteString("[zones]\n")
	for _, zone := range Zones {
		fmt.Fprintf(&text, "%s = \"vlaanderen\"\n", zone)
	}
	text.WriteString("[listen]\n")
	if machine.Edge {
		fmt.Fprintf(&text, "front = \"%s:%d\"\nready = \"%s:%d\"\n", machine.IP, portFront, machine.IP, portReady)
		text.WriteString("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	} else {
		fmt.Fprintf(&text, "control = \"%s:%d\"\n", machine.IP, portControl)
		text.WriteString("[limits]\ncpuShare = 0.8\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n")
	}
	text.WriteString("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n")
	text.WriteString("seedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\n")
	text.WriteString("configApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nrecoveryS = 12\nmaxHoldMs = 1000\nstopTimeoutMs = 50\n")
	text.WriteString("gangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nslowdownFactor = 1.5\n")
	text.WriteString("checkpointS = 0.5\nrestoreMs = 100\nnoticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\nfencingRequired = true\nleaseMs = 3000\n")
	text.WriteString("thawSlackMs = 300\npaceMs = 100\ninterferenceMs = 4000\nretransmitMs = 1300\n")
	return text.String()
}

// CoreIn returns the core machine of a zone.
func (deployment *Deployment) CoreIn(zone string) *Machine {
	for _, machine := range deployment.machines {
		if !machine.Edge && machine.Zone == zone {
			return machine
		}
	}
	return nil
}

// ReplaceCore takes the core machine of a zone away for good, and starts an empty one at another address
// after a pause. The settings files of all machines then name the present seeds, as SIGHUP tells them.
func (deployment *Deployment) ReplaceCore(zone string, pause time.Duration) error {
	old := deployment.CoreIn(zone)
	old.Signal(syscall.SIGKILL)
	<-old.exited
	time.Sleep(pause)
	host := strings.Split(old.IP, ".")
	old.Name += "-next"
	old.IP = strings.Join(host[:3], ".") + ".101"
	if err := old.start(false); err != nil {
		return err
	}
	for _, machine := range deployment.machines {
		path := filepath.Join(deployment.folder, machine.Name+".toml")
		if err := os.WriteFile(path, []byte(machine.settings(false)), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if machine != old {
			machine.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

// OutageOfCore kills the processes of all core machines at once and starts them again after a time.
func (deployment *Deployment) OutageOfCore(length time.Duration) error {
	for _, zone := range Zones {
		deployment.CoreIn(zone).Signal(syscall.SIGKILL)
	}
	for _, zone := range Zones {
		<-deployment.CoreIn(zone).exited
	}
	time.Sleep(length)
	for _, zone := range Zones {
		if err := deployment.CoreIn(zone).start(false); err != nil {
			return err
		}
	}
	return nil
}

// ServesRoute asks an edge machine for the queue of a version's own route, and returns the status.
func (machine *Machine) ServesRoute(version int) int {
	ctx, cancel := context.WithTimeout(machine.deployment.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.Front()+routePrefix(version), nil)
	if err != nil {
		return 0
	}
	request.Host = Host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// routePrefix is the prefix of the route that a version adds to that of all versions.
func routePrefix(version int) string { return fmt.Sprintf("/route%d/", version) }

// configuration is a complete configuration, written as in PROTOCOL.md: one queue, and one that only this
// version has.
func configuration(version int) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 0, "service": Service, "maxAttempts": 3, "stretch": 1.6,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("r-3hwrr6x", Prefix), route(fmt.Sprintf("r-%d", version), routePrefix(version))},
		"services": []map[string]any{{"name": Service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Configure sends a configuration to one core machine after the other until it is acknowledged.
func (deployment *Deployment) Configure(version int, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	controls := deployment.controls()
	for turn := 0; time.Now().Before(deadline); turn++ {
		ctx, cancel := context.WithTimeout(deployment.ctx, time.Second)
		status, err := callJSON(ctx, http.MethodPut, "http://"+controls[turn%len(controls)]+"/stoathitch/config", configuration(version), nil)
		cancel()
		if err == nil && status == http.StatusOK {
			deployment.Record.Note("configuration %d acknowledged", version)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged", version)
}

func (machine *Machine) ready() bool {
	ctx, cancel := context.WithTimeout(machine.deployment.ctx, time.Second)
	defer cancel()
	status, err := callJSON(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/stoathitch/readiness", machine.IP, portReady), nil, nil)
	return err == nil && status == http.StatusOK
}

func (deployment *Deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, machine := range deployment.machines {
		for machine.Edge && !machine.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", machine.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// checkReadiness asks each edge machine once a second whether it is ready.
func (deployment *Deployment) checkReadiness() {
	for deployment.ctx.Err() == nil {
		for _, machine := range deployment.machines {
			if !machine.Edge {
				continue
			}
			go func() {
				ready := machine.ready()
				machine.mutex.Lock()
				defer machine.mutex.Unlock()
				machine.misses++
				if ready {
					machine.misses = 0
				}
			}()
		}
		time.Sleep(time.Second)
	}
}
