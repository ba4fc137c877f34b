package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/initializer"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// The size of a cluster under test.
const (
	hostsPerDomain   = 3
	serversPerDomain = 3
	slotsPerServer   = 8
)

func failureDomains() []identifier.FailureDomain {
	return []identifier.FailureDomain{"thu-duc", "tan-binh", "binh-chanh"}
}

// daemon is one entry host, perhaps a keeper too.
type daemon struct {
	process
	settings *loader.Settings
}

func (daemon *daemon) keeper() bool { return daemon.settings.HasRole(loader.RoleKeeper) }

func (daemon *daemon) url(path string) string {
	return "http://" + daemon.settings.CallersAddress.String() + path
}

// standIn is a process with one backend server.
type standIn struct {
	process
	failureDomain identifier.FailureDomain
}

// cluster is a whole deployment of real processes.
type cluster struct {
	folder   string
	daemons  []*daemon
	standIns []*standIn
	started  time.Time
}

// discovery is how long a host that has just started can't rule out that another
// lead knew backend servers that it does not know. A job that is forwarded again
// within it is told to be unknown, truly, so scenarios that want it completed
// begin later.
const discovery = 4 * time.Second

// mature waits until the hosts are past their discovery.
func (cluster *cluster) mature() { time.Sleep(time.Until(cluster.started.Add(discovery))) }

// startCluster writes the settings as `stoathitch settings init` does, starts all
// processes and waits until every host serves.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	cluster := &cluster{folder: clusterFolder(t)}
	cluster.writeSettings(t)
	cluster.makeStandIns()
	t.Cleanup(func() { cluster.showLogs(t) })
	t.Cleanup(cluster.end)
	cluster.started = time.Now()
	for _, daemon := range cluster.daemons {
		daemon.start(t)
	}
	for _, standIn := range cluster.standIns {
		standIn.start(t)
	}
	cluster.waitUntilServing(t)
	return cluster
}

func clusterFolder(t *testing.T) string {
	if *keepFlag == "" {
		return t.TempDir()
	}
	folder := filepath.Join(*keepFlag, t.Name())
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	return folder
}

func (cluster *cluster) settingsFolder() string { return filepath.Join(cluster.folder, "settings") }

func (cluster *cluster) writeSettings(t *testing.T) {
	t.Helper()
	hosts, err := (&initializer.Initializer{
		Folder:         cluster.settingsFolder(),
		FailureDomains: failureDomains(),
		EntryHosts:     hostsPerDomain,
		BasePort:       freeBasePort(t),
	}).Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, host := range hosts {
		settings, err := loader.Load(host.File)
		if err != nil {
			t.Fatal(err)
		}
		cluster.daemons = append(cluster.daemons, &daemon{
			settings: settings,
			process: process{
				name: string(host.Host), program: "stoathitchd", options: []string{"--settings", host.File},
				log: filepath.Join(cluster.folder, string(host.Host)+".log"),
			},
		})
	}
}

// takenBasePorts holds the base ports of this run's clusters, which may run side
// by side.
var takenBasePorts sync.Map

// freeBasePort finds ports below the range that the system hands out for
// outgoing connections: a restarted daemon must find its port free.
func freeBasePort(t *testing.T) int {
	t.Helper()
	for range 100 {
		base := 10_000 + 600*rand.IntN(36)
		if _, taken := takenBasePorts.LoadOrStore(base, true); !taken && portsFree(base) {
			return base
		}
	}
	t.Fatal("no free range of ports on loopback")
	return 0
}

func portsFree(base int) bool {
	for _, offset := range []int{0, initializer.MaximalHosts, 2 * initializer.MaximalHosts} {
		for index := range hostsPerDomain * len(failureDomains()) {
			listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(base+offset+index))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (cluster *cluster) makeStandIns() {
	for _, domain := range failureDomains() {
		for number := range serversPerDomain {
			name := fmt.Sprintf("%s-%d", domain, number)
			cluster.standIns = append(cluster.standIns, &standIn{failureDomain: domain, process: process{
				name: name, program: "stoathitch", log: filepath.Join(cluster.folder, name+".log"),
				options: []string{
					"stand-in", "--settings-dir", cluster.settingsFolder(), "--failure-domain", string(domain),
					"--first", strconv.Itoa(number), "--count", "1", "--slots", strconv.Itoa(slotsPerServer),
					"--record", cluster.recordFile(name),
				},
			}})
		}
	}
}

func (cluster *cluster) recordFile(server string) string {
	return filepath.Join(cluster.folder, server+".record")
}

// end kills every process that is left. A stopped process can be killed too.
func (cluster *cluster) end() {
	for _, standIn := range cluster.standIns {
		standIn.kill()
	}
	for _, daemon := range cluster.daemons {
		daemon.kill()
	}
}

// heal continues what is stopped and starts what has ended.
func (cluster *cluster) heal(t *testing.T) {
	t.Helper()
	for _, process := range cluster.processes() {
		process.resume(t)
	}
}

func (cluster *cluster) processes() []*process {
	var all []*process
	for _, daemon := range cluster.daemons {
		all = append(all, &daemon.process)
	}
	for _, standIn := range cluster.standIns {
		all = append(all, &standIn.process)
	}
	return all
}

// daemonsOf returns the daemons of one failure domain.
func (cluster *cluster) daemonsOf(domain identifier.FailureDomain) []*daemon {
	var found []*daemon
	for _, daemon := range cluster.daemons {
		if daemon.settings.FailureDomain == domain {
			found = append(found, daemon)
		}
	}
	return found
}

// standInsOf returns the stand-ins of one failure domain.
func (cluster *cluster) standInsOf(domain identifier.FailureDomain) []*standIn {
	var found []*standIn
	for _, standIn := range cluster.standIns {
		if standIn.failureDomain == domain {
			found = append(found, standIn)
		}
	}
	return found
}

// daemon returns the daemon of a host.
func (cluster *cluster) daemon(t *testing.T, host identifier.HostID) *daemon {
	t.Helper()
	for _, daemon := range cluster.daemons {
		if daemon.settings.Host == host {
			return daemon
		}
	}
	t.Fatalf("no host %q", host)
	return nil
}
