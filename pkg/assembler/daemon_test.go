package assembler_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// TestKeeperWithoutBackendServers starts a host that is only a keeper and has no address for
// backend servers, which the settings allow.
func TestKeeperWithoutBackendServers(t *testing.T) {
	deployment := startDeployment(t, 1, func(settings *loader.Settings) {
		settings.Roles = []loader.Role{loader.RoleKeeper}
		settings.BackendServersAddress = netip.AddrPort{}
		settings.Hosts = []loader.Host{settings.Self()}
	})
	eventually(t, "the keeper leads itself", func(ctx context.Context) bool {
		status, err := deployment.hosts[0].Status(ctx)
		return err == nil && status.Keeper != nil && status.Keeper.Leader == status.Host
	})
}

// TestAddressInUse checks that a daemon whose address is in use ends with an error that names
// the address, before it opens its journal.
func TestAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	settings := deploymentSettings(t, 1)[0]
	settings.PeersAddress = taken.Addr().(*net.TCPAddr).AddrPort()
	daemon := &assembler.Daemon{Common: provider.New(settings, io.Discard)}
	err = daemon.Run(t.Context(), t.Context())
	if err == nil || !strings.Contains(err.Error(), settings.PeersAddress.String()) {
		t.Errorf("Run() = %v, want an error that names %s", err, settings.PeersAddress)
	}
}

// Guards against a job that arrives soon after a host has started and fails after 10 s as
// "task-unknown", although no backend server was ever sent a start. The host starts, the job
// arrives, the host takes its first lead. In the tick of the first lead the forwarder hands the
// job to it, and only then answers the lead's takeover query; it names the job as one that was
// forwarded before, so the lead assumes that an earlier lead may have started it.
func TestJobBeforeFirstLead(t *testing.T) {
	deployment := startDeployment(t, 1, nil)
	eventually(t, "the host takes requests", func(ctx context.Context) bool {
		_, err := deployment.hosts[0].Status(ctx)
		return err == nil
	})
	deployment.startServers(t, 1, 4)
	answer, err := deployment.hosts[0].Submit(t.Context(), smallJob("early"))
	if err != nil || answer.Outcome != messenger.OutcomeComplete {
		t.Errorf("the answer is %+v, %v; want a complete one", answer, err)
	}
}

// TestMetrics reads the variables of a host that has answered jobs.
func TestMetrics(t *testing.T) {
	deployment := startDeployment(t, 1, nil)
	deployment.startServers(t, 1, 4)
	deployment.waitUntilLed(t)
	deployment.waitUntilServing(t)
	_, body := send(t, deployment.hosts[0].Host, "GET /debug/vars\nAccept: */*")
	for _, wanted := range []string{`"jobs": {"complete": 1`, `"task-starts": 1`, `"team":"estimates","class":"counter","count":1`, `"waiting":0`} {
		if !strings.Contains(body, wanted) {
			t.Errorf("the variables lack %s:\n%s", wanted, body)
		}
	}
}
