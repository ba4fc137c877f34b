package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	edgesEach   = 2
	executorCPU = 16000
	serviceName = "desk-service"
	queueHost   = "desk.example"
	queuePrefix = "/checks/"
	controlPath = "/stoathitch/config"
	// startLimit is how long the processes may take until they serve.
	startLimit = 30 * time.Second
	// killLimit is how long a killed process may take to end.
	killLimit = 5 * time.Second
)

var zones = []string{"thu-duc", "tan-binh", "binh-chanh"}

// Offsets of the ports from the first one; portRange takes the first sixteen.
const (
	offsetControl = 16
	offsetFront   = 17
	offsetReady   = 18
	portsNeeded   = 19
)

// machine is one process of the system with an address of its own.
type machine struct {
	name, zone, ip string
	edge           bool
	command        *exec.Cmd
}

// deployment is a small deployment: a keeper and two entry hosts in each of three zones.
type deployment struct {
	daemon, folder string
	firstPort      int
	machines       []*machine
}

func newDeployment(daemon, folder string) (*deployment, error) {
	path, err := filepath.Abs(daemon)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	created := &deployment{daemon: path, folder: folder}
	subnet := 20 + os.Getpid()%200
	for index, zone := range zones {
		created.machines = append(created.machines, &machine{name: "core-" + zone, zone: zone, ip: fmt.Sprintf("127.%d.%d.100", subnet, index+1)})
		for number := range edgesEach {
			created.machines = append(created.machines, &machine{
				name: fmt.Sprintf("edge-%s-%d", zone, number+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", subnet, index+1, 10+number), edge: true,
			})
		}
	}
	for first := 21000; first < 29000; first += 100 {
		if created.portsFree(first) {
			created.firstPort = first
			return created, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errNotRun)
}

// portsFree reports whether all ports from the first one on are free at all addresses.
func (deployment *deployment) portsFree(first int) bool {
	for _, machine := range deployment.machines {
		for offset := range portsNeeded {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machine.ip, first+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (deployment *deployment) address(machine *machine, offset int) string {
	return fmt.Sprintf("%s:%d", machine.ip, deployment.firstPort+offset)
}

// controls returns the addresses that accept heartbeats and the operator's calls.
func (deployment *deployment) controls() []string {
	var addresses []string
	for _, machine := range deployment.machines {
		if !machine.edge {
			addresses = append(addresses, deployment.address(machine, offsetControl))
		}
	}
	return addresses
}

// entryHosts returns the entry hosts of a zone.
func (deployment *deployment) entryHosts(zone string) []*machine {
	var hosts []*machine
	for _, machine := range deployment.machines {
		if machine.edge && machine.zone == zone {
			hosts = append(hosts, machine)
		}
	}
	return hosts
}

// front returns the address at which an entry host accepts jobs.
func (deployment *deployment) front(machine *machine) string {
	return deployment.address(machine, offsetFront)
}

// start starts every process of the system for the first time.
func (deployment *deployment) start() error {
	for _, machine := range deployment.machines {
		if err := deployment.startProcess(machine, true); err != nil {
			return err
		}
	}
	return nil
}

// startProcess writes the settings of a process and starts it.
func (deployment *deployment) startProcess(machine *machine, bootstrap bool) error {
	path := filepath.Join(deployment.folder, machine.name+".toml")
	if err := os.WriteFile(path, []byte(deployment.settings(machine, bootstrap)), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	output, err := os.OpenFile(filepath.Join(deployment.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	// The process has its own copy of the descriptor.
	defer func() { _ = output.Close() }()
	command := exec.Command(deployment.daemon)
	command.Env = append(os.Environ(), "STOATHITCH_BOOT="+path, "GOMAXPROCS=1")
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", errNotRun, machine.name, err)
	}
	machine.command = command
	return nil
}

// killAndRestart kills processes at the same moment and starts them again after a while.
func (deployment *deployment) killAndRestart(machines []*machine, after time.Duration) error {
	for _, machine := range machines {
		_ = machine.command.Process.Kill()
	}
	killedAt := time.Now()
	for _, machine := range machines {
		_ = machine.command.Wait()
	}
	time.Sleep(time.Until(killedAt.Add(after)))
	for _, machine := range machines {
		if err := deployment.startProcess(machine, false); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and waits for their ends.
func (deployment *deployment) stop() {
	for _, machine := range deployment.machines {
		if machine.command == nil {
			continue
		}
		_ = machine.command.Process.Kill()
		ended := make(chan struct{})
		go func() {
			_ = machine.command.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(killLimit):
		}
	}
}

// settings returns the settings file of a process, with the fields and bounds of a small deployment.
func (deployment *deployment) settings(machine *machine, bootstrap bool) string {
	var text strings.Builder
	class, serves := "core", "control"
	if machine.edge {
		class, serves = "edge", "edge"
	}
	seeds, err := json.Marshal(deployment.controls())
	if err != nil {
		panic(err) // Strings always have a JSON form.
	}
	fmt.Fprintf(&text, "node = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\n", machine.name, class, class, serves)
	fmt.Fprintf(&text, "ip = %q\nzone = %q\nregion = \"hcm-south\"\n", machine.ip, machine.zone)
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseeds = %s\nbootstrap = %v\n", deployment.firstPort, deployment.firstPort+15, seeds, bootstrap)
	fmt.Fprintf(&text, "faultCounted = %v\ndiscovery = \"registration\"\nentry = \"vip\"\nheartbeatMs = 1500\n", !machine.edge)
	text.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\nconfig_mode = \"highest\"\norders = \"invocation\"\n")
	if !machine.edge {
		fmt.Fprintf(&text, "dataDir = %q\n", filepath.Join(deployment.folder, machine.name+"-data"))
	}
	text.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = \"hcm-south\"\n", zone)
	}
	text.WriteString("[listen]\n")
	if machine.edge {
		fmt.Fprintf(&text, "front = %q\nready = %q\n", deployment.address(machine, offsetFront), deployment.address(machine, offsetReady))
		text.WriteString("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	} else {
		fmt.Fprintf(&text, "control = %q\n", deployment.address(machine, offsetControl))
		text.WriteString("[limits]\ncpuShare = 0.8\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n")
	}
	text.WriteString("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&text, "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 6000\nackMs = 8000\ncatchUpS = 6\ndrainMs = 4000\ngraceS = 6\n"+
		"lossSlackMs = 200\nconfigApplyMs = 4000\nrollbackSlackMs = 250\nmaxStretchMs = 10000\nrecoveryS = 18\nmaxHoldMs = %d\n"+
		"stopTimeoutMs = 50\ngangTimeoutMs = 7000\ncancel_ms = 7000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 16\nstatus_s = 120\n"+
		"slowdownFactor = 3\ncheckpointS = 1\nrestoreMs = 100\nnoticeMs = 6500\nfencingRequired = true\nleaseMs = 3000\nretransmitMs = %d\n",
		maxHold.Milliseconds(), retransmitTime.Milliseconds())
	return text.String()
}

// configure sends the first configuration until it is acknowledged.
func (deployment *deployment) configure(events *record) error {
	content, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "checks", "host": queueHost, "pathPrefix": queuePrefix, "type": "non_idempotent", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": serviceName, "maxAttempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	controls := deployment.controls()
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(startLimit)
	for turn := 0; time.Now().Before(until); turn++ {
		request, err := http.NewRequest(http.MethodPut, "http://"+controls[turn%len(controls)]+controlPath, bytes.NewReader(content))
		if err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				events.add("configuration acknowledged")
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: the configuration was not acknowledged", errNotRun)
}

// awaitReady waits until every entry host is ready.
func (deployment *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(startLimit)
	for _, machine := range deployment.machines {
		for machine.edge {
			response, err := client.Get("http://" + deployment.address(machine, offsetReady) + "/stoathitch/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, machine.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
