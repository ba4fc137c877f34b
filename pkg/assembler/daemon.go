// Package assembler builds one daemon from its settings: listeners, connections, the coordinator
// and its runner. It makes no decisions.
package assembler

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/listener"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/measurer"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	peerv1 "github.com/stoathitch/stoathitch/pkg/protocol/peer/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/receiver"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// balancerGrace is how long the readiness path reports "not ready" before new work is refused,
// so that the platform's load balancer can stop routing to this host first.
const balancerGrace = time.Second

// Daemon is one process of the system. Set the exported fields before Run.
type Daemon struct {
	*provider.Common
	// DialPeer opens the connections to other hosts; nil dials TCP. Tests replace it to cut off
	// failure domains.
	DialPeer connector.Dialer
	// Extension serves additional interfaces; nil if there are none.
	Extension Extension
	// Tune adjusts settings of the coordinator that the settings file doesn't cover; nil changes
	// nothing.
	Tune func(settings *coordinator.Settings)
	// Founding determines the first members of the keepers' log.
	Founding Founding

	clock    *runner.Clock
	runner   *runner.Runner[coordinator.Input, coordinator.Output]
	peers    *connector.Peers
	servers  *connector.Servers
	receiver *receiver.Receiver
	measurer *measurer.Measurer
	drained  chan struct{}
	// journalWriter is nil on a host that is not a keeper and so has no journal.
	journalWriter *journalWriter
	operations    *operations
	documents     *documentReader
	configStore   *configStore
	cellStore     *cellStore
	founderStore  *founderStore
	security      *security
	// layout is the last reported layout; only deliver uses it.
	layout coordinator.LayoutChanged
	// draining reports that the host shuts down and stays unready.
	draining atomic.Bool
}

// Run serves until ctx is done, then shuts down gracefully: it reports unready, refuses new
// work and answers accepted jobs. When abort is done, it ends at once. It does the same, and returns
// an error, once the journal contradicts the keepers' log: only a start reads both anew.
func (daemon *Daemon) Run(ctx, abort context.Context) error {
	if err := daemon.loadSecurity(); err != nil {
		return err
	}
	founders, err := retryWhileDiskRefuses(ctx, daemon, daemon.founders)
	if err != nil || ctx.Err() != nil {
		return err
	}
	daemon.assemble(founders)
	running, stop := context.WithCancel(context.Background())
	serving, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	defer daemon.closeJournal()
	// The runner must end before the journal closes, because it may still queue writes.
	var runners sync.WaitGroup
	defer runners.Wait()
	defer stop()
	if err := daemon.openJournal(ctx, running, fail); err != nil || ctx.Err() != nil {
		return err
	}
	// Connections are refused until the journal is open.
	listeners, err := daemon.listen()
	if err != nil {
		return err
	}
	daemon.configStore.restore(running, daemon)
	runners.Go(func() { daemon.configStore.run(running) })
	daemon.cellStore.restore(running, daemon)
	runners.Go(func() { daemon.cellStore.run(running) })
	runners.Go(func() { daemon.founderStore.run(running) })
	servers := daemon.serve(listeners)
	if daemon.Extension != nil {
		if err := daemon.Extension.Open(daemon); err != nil {
			servers.stop()
			return err
		}
		defer daemon.Extension.Close()
	}
	runners.Go(func() { daemon.runner.Run(running) })
	runners.Go(func() { daemon.peers.Run(running) })
	if daemon.Settings.Dispatch.Cells > 0 || !daemon.Settings.HasRole(loader.RoleEntry) {
		daemon.receiver.SetReady(true)
	}
	daemon.Log.Info("started", "callers", listeners.callers.Addr(),
		"backend-servers", listeners.backendServersAddress(), "peers", listeners.peers.Addr())
	<-serving.Done()
	daemon.drain(running, abort)
	servers.stop()
	if ctx.Err() == nil {
		return context.Cause(serving)
	}
	return nil
}

func (daemon *Daemon) assemble(founders founders) {
	daemon.clock = runner.NewClock()
	daemon.drained = make(chan struct{})
	// The wall clock gives a later process of the same host the higher incarnation. If the
	// clock has been set back, the membership protocol corrects it.
	incarnation := identifier.Incarnation(time.Now().UnixNano())
	deciding := newCoordinator(daemon.Settings, incarnation)
	daemon.documents = newDocumentReader(daemon.Settings)
	// An extension has documents of its own, which are no valid ones here. To read one of 1,740 routes
	// takes 50 ms of processor time within the tick.
	if daemon.Extension == nil {
		deciding.LimitsOf = daemon.documents.limits
		deciding.QuotasOf = daemon.documents.quotas
	}
	deciding.Settings.JoinKeepers = founders.join
	deciding.Settings.JoiningAs = founders.joiningAs
	deciding.Founders = founders.hosts
	if daemon.Tune != nil {
		daemon.Tune(&deciding.Settings)
	}
	daemon.runner = &runner.Runner[coordinator.Input, coordinator.Output]{
		Decider: deciding,
		Deliver: daemon.deliver,
		Clock:   daemon.clock,
		Measure: func(wait time.Duration) coordinator.Input { return &coordinator.InputsWaited{Wait: wait} },
	}
	daemon.runner.Prepare()
	daemon.peers = &connector.Peers{
		Common: daemon.Common, Post: daemon.runner.Post, Incarnation: incarnation,
		Dial: daemon.DialPeer, Keys: daemon.security.keys,
	}
	daemon.measurer = measurer.New()
	daemon.measurer.Gauges = daemon.gauges
	daemon.servers = &connector.Servers{Common: daemon.Common, Post: daemon.postServerEvent, Clock: daemon.clock, Keys: daemon.security.keys}
	daemon.servers.Prepare()
	daemon.receiver = &receiver.Receiver{Common: daemon.Common, Post: daemon.runner.Post, Clock: daemon.clock, Measurer: daemon.measurer}
	daemon.receiver.Prepare()
	daemon.configStore = newConfigStore(daemon.Common)
	daemon.cellStore = newCellStore(daemon.Common)
	daemon.founderStore = newFounderStore(daemon.Common)
	daemon.operations = newOperations(daemon.Common, daemon.runner.Post)
}

// deliver routes the outputs of one tick to connections, callers and storage.
func (daemon *Daemon) deliver(outputs []coordinator.Output) {
	for _, output := range outputs {
		if accepted, isInForce := output.(*coordinator.ConfigInForce); isInForce {
			daemon.configStore.save(accepted.Version)
		}
		if daemon.Extension != nil && daemon.Extension.Deliver(output) {
			continue
		}
		switch output := output.(type) {
		case *coordinator.ToPeer:
			daemon.peers.Send(output.Host, &output.Batch)
		case *coordinator.ToServer:
			daemon.measurer.TasksStarted(len(output.Batch.Starts))
			daemon.servers.Send(output.Batch)
		case *coordinator.ToWorker:
			daemon.servers.SendToWorker(output)
		case *coordinator.ToCaller:
			daemon.receiver.Answer(output.Answer)
		case *coordinator.Drained:
			daemon.markDrained()
		default:
			daemon.deliverControl(output)
		}
	}
}

// deliverControl handles the outputs about membership, keepers, configuration and operators.
func (daemon *Daemon) deliverControl(output coordinator.Output) {
	switch output := output.(type) {
	case *coordinator.LeadChanged:
		daemon.logLead(output)
	case *coordinator.LeadMovePlanned:
		move := output.Move
		daemon.measurer.LeadMoved()
		daemon.Log.Info("lead moved", "cell", move.Cell, "from", move.From, "from-processor", move.FromProcessor, "from-cells", move.FromCells,
			"to", move.To, "to-processor", move.ToProcessor, "to-cells", move.ToCells)
	case *coordinator.OverloadChanged:
		daemon.logOverload(output)
	case *coordinator.MemberChanged:
		member := output.State.Member
		daemon.Log.Info("member changed", "peer", member.Host, "status", output.State.Status, "failure-domain", member.FailureDomain,
			"capacity", member.Capacity)
		if member.Capacity != member.Capacity.OrUnknown() {
			daemon.Log.Warn("member capacity ignored", "peer", member.Host, "capacity", member.Capacity)
		}
		daemon.peers.UpdateAddress(member.Host, member.Addresses.Peers)
	case *coordinator.KeeperLeaderChanged:
		daemon.Log.Info("keeper leader changed", "leader", output.Leader, "term", output.Term)
	case *coordinator.KeeperJoined:
		daemon.Log.Info("keeper joined", "members", len(output.Members))
		daemon.founderStore.save(output.Members)
	case *coordinator.KeeperMembersChanged:
		daemon.Log.Info("keeper members changed", "members", describeMembers(output.Members))
	case *coordinator.KeeperChangeRefused:
		daemon.Log.Warn("keeper change refused", "change", output.Change, "keeper", output.Host, "reason", output.Reason)
	case *coordinator.KeeperHalted:
		daemon.Log.Error("keeper halted", "reason", output.Reason)
	case *coordinator.DigestsFull:
		daemon.Log.Error("digests of submissions dropped", "failure-domain", output.Home, "digests", output.Digests)
	case *coordinator.DigestsRejected:
		daemon.Log.Warn("digests of another failure domain ignored", "host", output.From)
	case *coordinator.ConfigInForce:
		daemon.applyConfig(output.Version)
	case *coordinator.LayoutChanged:
		daemon.applyLayout(output)
	case *coordinator.LayoutProposed:
		daemon.logProposal(output)
	case *coordinator.StoreCells:
		daemon.cellStore.save(output.Cells)
	case *coordinator.Persist:
		daemon.journalWriter.queue.add(output.Persist)
	case *coordinator.SaveSnapshot:
		daemon.journalWriter.queue.addSnapshot(output.Snapshot)
	case *coordinator.OperatorAnswer, *coordinator.ConfigAnswer, *coordinator.ConfigHistory, *coordinator.StatusAnswer, *coordinator.ExplainAnswer:
		daemon.operations.Answer(output)
	}
}

func (daemon *Daemon) logLead(change *coordinator.LeadChanged) {
	if change.Notice.Host == "" {
		daemon.Log.Info("lead given up", "cell", change.Notice.Cell, "epoch", change.Notice.Epoch)
		return
	}
	daemon.Log.Info("lead taken", "cell", change.Notice.Cell, "epoch", change.Notice.Epoch)
}

func (daemon *Daemon) logOverload(change *coordinator.OverloadChanged) {
	if change.Overloaded {
		daemon.Log.Warn("overload began", "wait", change.Wait)
		return
	}
	daemon.Log.Info("overload ended", "lasted", change.Lasted, "wait", change.Wait,
		"rejected-jobs", change.RejectedJobs, "rejected-requests", change.RejectedRequests)
}

func (daemon *Daemon) markDrained() {
	select {
	case <-daemon.drained:
	default:
		close(daemon.drained)
	}
}

// drain answers the accepted jobs, within the shutdown deadline of the settings.
func (daemon *Daemon) drain(ctx, abort context.Context) {
	daemon.draining.Store(true)
	daemon.receiver.SetReady(false)
	daemon.Log.Info("shutting down", "waiting", daemon.receiver.WaitingRequests())
	deadline, cancel := context.WithTimeout(abort, daemon.Settings.Timeouts.ShutdownDeadline.Std())
	defer cancel()
	if daemon.Extension != nil {
		daemon.Extension.Drain(deadline)
	} else {
		sleep(deadline, balancerGrace)
	}
	daemon.receiver.RefuseSubmissions()
	daemon.runner.Post(ctx, &coordinator.ShutdownRequested{})
	select {
	case <-daemon.drained:
		daemon.Log.Info("shut down, every accepted job is answered")
	case <-deadline.Done():
		daemon.notifyWaiting(ctx, abort)
		daemon.logEarlyShutdown()
	}
}

// shutdownNoticeTimeout is how long a drain that has reached its deadline waits until the
// remaining callers have been answered that their host shuts down: two ticks on a machine that
// is short of processor time.
const shutdownNoticeTimeout = 400 * time.Millisecond

// shutdownNoticeInterval is how often notifyWaiting checks whether all have been answered.
const shutdownNoticeInterval = 5 * time.Millisecond

// notifyWaiting answers the callers whose jobs outlast the drain with where to request them from
// now on. An aborted shutdown notifies nobody.
func (daemon *Daemon) notifyWaiting(ctx, abort context.Context) {
	waiting := daemon.receiver.WaitingRequests()
	if abort.Err() != nil || waiting == 0 {
		return
	}
	daemon.Log.Warn("the time to shut down is over, jobs go on elsewhere", "waiting", waiting)
	daemon.runner.Post(ctx, &coordinator.CallerEvent{Event: &forwarder.ShutdownStarted{}})
	reserve, cancel := context.WithTimeout(abort, shutdownNoticeTimeout)
	defer cancel()
	for daemon.receiver.WaitingRequests() > 0 && reserve.Err() == nil {
		sleep(reserve, shutdownNoticeInterval)
	}
}

// logEarlyShutdown logs how many requests are lost. If nobody waits, nothing is lost and it logs
// no error, so that a process which is told to end at once raises no alarm.
func (daemon *Daemon) logEarlyShutdown() {
	if waiting := daemon.receiver.WaitingRequests(); waiting > 0 {
		daemon.Log.Error("shut down early, requests lost", "waiting", waiting)
		return
	}
	daemon.Log.Info("shut down early, nobody waits for an answer")
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// servers are the running servers of the three listeners.
type servers struct {
	callers        *listener.Server
	backendServers *grpc.Server
	peers          *grpc.Server
}

func (daemon *Daemon) serve(listeners *listeners) *servers {
	router := mux.NewRouter()
	daemon.security.authenticate(router)
	daemon.receiver.Register(router)
	daemon.operations.Register(router)
	daemon.registerStatus(router)
	router.Handle("/debug/vars", daemon.measurer).Methods(http.MethodGet)
	created := &servers{
		callers:        daemon.NewServer(router, daemon.security.callersConfig()),
		backendServers: daemon.servers.NewServer(),
		peers:          daemon.peers.NewServer(),
	}
	backendv1.RegisterEntryHostServer(created.backendServers, daemon.servers)
	peerv1.RegisterPeerServer(created.peers, daemon.peers)
	go daemon.Serve(created.callers, listeners.callers)
	if listeners.backendServers != nil {
		go daemon.serveGRPC(created.backendServers, listeners.backendServers)
	}
	go daemon.serveGRPC(created.peers, listeners.peers)
	return created
}

// NewServer returns an HTTP server for callers. It bounds header size, header time and idle time,
// that is, what a caller may occupy on this host before it has sent a whole request; the handler
// bounds the body. If security is nil, callers connect in clear text.
func (daemon *Daemon) NewServer(handler http.Handler, security *tls.Config) *listener.Server {
	timeouts := &daemon.Settings.Timeouts
	created := &listener.Server{HTTP: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timeouts.HeaderTimeout.Std(),
		IdleTimeout:       timeouts.IdleTimeout.Std(),
		MaxHeaderBytes:    int(daemon.Settings.Limits.RequestHeader),
		TLSConfig:         security,
		// Anybody who can connect to the port can cause these lines.
		ErrorLog: daemon.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}}
	created.Prepare()
	return created
}

// Serve serves callers until the server is drained or closed, and logs why it ends early.
func (daemon *Daemon) Serve(server *listener.Server, accepting *listener.Listener) {
	if err := server.Serve(accepting); err != nil {
		daemon.Log.Error("callers not served", "address", accepting.Addr(), "err", err)
	}
}

func (daemon *Daemon) serveGRPC(server *grpc.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil {
		daemon.Log.Error("not served", "address", listener.Addr(), "err", err)
	}
}

// stop lets requests that have their answer finish writing it, for a second at most, and closes
// the connections of those that get none, so that their callers learn it at once.
func (servers *servers) stop() {
	deadline, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	servers.callers.Drain(deadline)
	servers.callers.Close()
	servers.backendServers.Stop()
	servers.peers.Stop()
}
