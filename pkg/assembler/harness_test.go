package assembler_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// maxWait bounds the wait for something that takes a fraction of it, so that only a fault
// reaches it.
const maxWait = 30 * time.Second

// deployment is a running system of one failure domain on loopback addresses.
type deployment struct {
	settings []*loader.Settings
	hosts    []*requester.Requester
	signals  []*signals
	logs     lockedBuffer
}

// signals stand for the first termination signal to a daemon (terminate) and the second (abort).
// ended is closed when the daemon has ended.
type signals struct {
	terminate context.CancelFunc
	abort     context.CancelFunc
	ended     chan struct{}
}

// lockedBuffer collects the logs of several daemons.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (locked *lockedBuffer) Write(content []byte) (int, error) {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.Write(content)
}

// String returns what was written.
func (locked *lockedBuffer) String() string {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.String()
}

// startDeployment runs hosts, the first one of them a keeper, until the test ends. change may edit
// the settings of each.
func startDeployment(tb testing.TB, hosts int, change func(*loader.Settings)) *deployment {
	tb.Helper()
	created := &deployment{settings: deploymentSettings(tb, hosts)}
	for _, settings := range created.settings {
		if change != nil {
			change(settings)
		}
		created.signals = append(created.signals, created.startDaemon(tb, settings))
		created.hosts = append(created.hosts, &requester.Requester{Host: "http://" + settings.CallersAddress.String()})
	}
	return created
}

func (deployment *deployment) startDaemon(tb testing.TB, settings *loader.Settings) *signals {
	serving, terminate := context.WithCancel(context.Background())
	graceful, abort := context.WithCancel(context.Background())
	created := &signals{terminate: terminate, abort: abort, ended: make(chan struct{})}
	daemon := &assembler.Daemon{Common: provider.New(settings, &deployment.logs)}
	go func() {
		defer close(created.ended)
		if err := daemon.Run(serving, graceful); err != nil {
			tb.Errorf("daemon: %v", err)
		}
	}()
	tb.Cleanup(func() {
		abort()
		terminate()
		<-created.ended
	})
	return created
}

// startServers runs stand-in backend servers until the test ends.
func (deployment *deployment) startServers(tb testing.TB, count, slots int) {
	var group sync.WaitGroup
	running, stop := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		stop()
		group.Wait()
	})
	var addresses []string
	for _, settings := range deployment.settings {
		addresses = append(addresses, settings.BackendServersAddress.String())
	}
	for number := range count {
		standIn := &executor.Executor{
			Name: fmt.Sprintf("server-%d", number), FailureDomain: "thu-duc", Rack: "rack-0", Slots: slots,
			EntryHosts: addresses, Log: log.New(&deployment.logs),
		}
		group.Go(func() { standIn.Run(running) })
	}
}

// waitUntilLed waits until the first host knows a lead of the cell and a backend server.
func (deployment *deployment) waitUntilLed(tb testing.TB) {
	tb.Helper()
	eventually(tb, "the cell has a lead and a backend server", func(ctx context.Context) bool {
		status, err := deployment.hosts[0].Status(ctx)
		return err == nil && len(status.Servers) > 0 && len(status.Cells) > 0 && status.Cells[0].Lead != ""
	})
}

// waitUntilServing sends small jobs to each host until one is complete.
func (deployment *deployment) waitUntilServing(tb testing.TB) {
	tb.Helper()
	for index, host := range deployment.hosts {
		attempt := 0
		eventually(tb, fmt.Sprintf("host %d serves", index), func(ctx context.Context) bool {
			attempt++
			answer, err := host.Submit(ctx, smallJob(fmt.Sprintf("probe-%d-%d", index, attempt)))
			return err == nil && answer.Outcome.String() == "complete"
		})
	}
}

// smallJob returns a repeatable job of one task without run time.
func smallJob(name string) []byte {
	return fmt.Appendf(nil, `{"submission":%q,"job":%q,"caller":"garage-7","team":"estimates","class":"counter",`+
		`"repeatable":true,"tasks":[{"task":"a","payload":{"run-time":"0s"}}]}`, name, name)
}

// eventually retries until try succeeds, and fails the test after maxWait.
func eventually(tb testing.TB, what string, try func(ctx context.Context) bool) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	for !try(ctx) {
		if ctx.Err() != nil {
			tb.Fatalf("not in %s: %s", maxWait, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func deploymentSettings(tb testing.TB, count int) []*loader.Settings {
	tb.Helper()
	addresses := freeAddresses(tb, 3*count)
	hosts := make([]loader.Host, 0, count)
	for number := range count {
		host := loader.Host{
			Host: identifier.HostID(fmt.Sprintf("thu-duc-entry-%d", number)), FailureDomain: "thu-duc",
			Roles:          []loader.Role{loader.RoleEntry},
			CallersAddress: addresses[3*number], BackendServersAddress: addresses[3*number+1], PeersAddress: addresses[3*number+2],
		}
		if number == 0 {
			host.Roles = append(host.Roles, loader.RoleKeeper)
		}
		hosts = append(hosts, host)
	}
	var all []*loader.Settings
	for _, host := range hosts {
		settings := loader.Defaults()
		settings.Host, settings.FailureDomain, settings.Roles = host.Host, host.FailureDomain, host.Roles
		settings.CallersAddress, settings.BackendServersAddress, settings.PeersAddress = host.CallersAddress, host.BackendServersAddress, host.PeersAddress
		settings.FailureDomains = []identifier.FailureDomain{"thu-duc"}
		settings.Hosts = hosts
		settings.DataFolder = tb.TempDir()
		all = append(all, &settings)
	}
	return all
}

// freeAddresses returns loopback addresses with ports that the system reports as free.
func freeAddresses(tb testing.TB, count int) []netip.AddrPort {
	tb.Helper()
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses
}
