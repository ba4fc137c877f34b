package assembler

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// openedExtension reports that the daemon has opened it; it serves nothing.
type openedExtension struct{ opened chan struct{} }

func (extension *openedExtension) Open(*Daemon) error {
	close(extension.opened)
	return nil
}
func (*openedExtension) Deliver(coordinator.Output) bool { return false }
func (*openedExtension) Drain(context.Context)           {}
func (*openedExtension) Close()                          {}

// Guards against a keeper that never writes again once its journal contradicts the log, and counts as a
// voter to the others all the while.
func TestContradictionShutsTheProcessDown(t *testing.T) {
	settings := loader.Defaults()
	settings.Host, settings.FailureDomain = "lone", "geel"
	settings.Roles = []loader.Role{loader.RoleKeeper}
	settings.DataFolder = t.TempDir()
	settings.AllowInsecure = true
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings.CallersAddress, settings.PeersAddress = anyPort, anyPort
	settings.Hosts = []loader.Host{settings.Self()}
	daemon := &Daemon{Common: provider.New(&settings, io.Discard)}
	ended := make(chan error, 1)
	opened := make(chan struct{})
	daemon.Extension = &openedExtension{opened: opened}
	go func() { ended <- daemon.Run(context.Background(), context.Background()) }()
	<-opened
	daemon.journalWriter.queue.add(replicator.Persist{Entries: []replicator.Entry{{Index: 1 << 40, Term: 1}}, HardState: replicator.HardState{Term: 1}})
	if err := <-ended; err == nil || !strings.Contains(err.Error(), "write the journal") {
		t.Errorf("the process ended with %v", err)
	}
}
