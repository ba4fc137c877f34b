// Package assembler puts one daemon together from its settings: listeners,
// connections, the coordinator and its runner. Nothing is decided here.
package assembler

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/listener"
	"github.com/stoathitch/stoathitch/pkg/measurer"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	peerv1 "github.com/stoathitch/stoathitch/pkg/protocol/peer/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/receiver"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// balancerGrace is how long the readiness path says "not ready" before new work
// is refused, so that the platform's balancer can turn away first.
const balancerGrace = time.Second

// Daemon is one process of the system. Set the exported fields before Run.
type Daemon struct {
	*provider.Common
	// DialPeer opens the connections to other hosts; nil dials TCP. Tests cut
	// failure domains off with it.
	DialPeer connector.Dialer
	// Extension serves further interfaces; nil where there are none.
	Extension Extension
	// Tune changes the coordinator's settings beyond what the settings file can say;
	// nil changes nothing.
	Tune func(settings *coordinator.Settings)
	// Founding tells who founds the keepers' log.
	Founding Founding

	clock    *runner.Clock
	runner   *runner.Runner[coordinator.Input, coordinator.Output]
	peers    *connector.Peers
	servers  *connector.Servers
	receiver *receiver.Receiver
	measurer *measurer.Measurer
	drained  chan struct{}
	// keeping is nil on a host without a disk.
	keeping    *keeping
	operations *operations
	memory     *memory
	cellMemory *cellMemory
	security   *security
}

// Run serves until ctx is done, then shuts down gracefully: it turns unready,
// refuses new work, and answers what it has accepted. A done hurry ends it at
// once.
func (daemon *Daemon) Run(ctx, hurry context.Context) error {
	if err := daemon.secure(); err != nil {
		return err
	}
	founders, err := daemon.founders()
	if err != nil {
		return err
	}
	daemon.assemble(founders)
	listeners, err := daemon.listen()
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer daemon.closeJournal()
	// The runner must have ended before the journal closes: it may hand over writes.
	var runners sync.WaitGroup
	defer runners.Wait()
	defer stop()
	if err := daemon.openJournal(running); err != nil {
		listeners.close()
		return err
	}
	daemon.memory.recall(running, daemon)
	runners.Go(func() { daemon.memory.run(running) })
	daemon.cellMemory.recall(running, daemon)
	runners.Go(func() { daemon.cellMemory.run(running) })
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
	daemon.receiver.SetReady(true)
	daemon.Log.Info("started", "callers", listeners.callers.Addr(),
		"backend-servers", listeners.backendServersAddress(), "peers", listeners.peers.Addr())
	<-ctx.Done()
	daemon.drain(running, hurry)
	servers.stop()
	return nil
}

func (daemon *Daemon) assemble(founders founders) {
	daemon.clock = runner.NewClock()
	daemon.drained = make(chan struct{})
	// The wall clock makes a later process of the same host the newer one; the
	// membership mends it where the clock has been set back.
	incarnation := identifier.Incarnation(time.Now().UnixNano())
	deciding := newCoordinator(daemon.Settings, incarnation)
	deciding.Settings.JoinKeepers = founders.join
	deciding.Founders = founders.hosts
	if daemon.Tune != nil {
		daemon.Tune(&deciding.Settings)
	}
	daemon.runner = &runner.Runner[coordinator.Input, coordinator.Output]{
		Decider: deciding,
		Deliver: daemon.deliver,
		Clock:   daemon.clock,
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
	daemon.memory = newMemory(daemon.Common)
	daemon.cellMemory = newCellMemory(daemon.Common)
	daemon.operations = newOperations(daemon.Common, daemon.runner.Post)
}

// deliver carries the outputs of one tick out.
func (daemon *Daemon) deliver(outputs []coordinator.Output) {
	for _, output := range outputs {
		if accepted, isInForce := output.(*coordinator.ConfigInForce); isInForce {
			daemon.memory.remember(accepted.Version)
		}
		if daemon.Extension != nil && daemon.Extension.Deliver(output) {
			continue
		}
		switch output := output.(type) {
		case *coordinator.ToPeer:
			daemon.peers.Send(output.Host, &output.Batch)
		case *coordinator.ToServer:
			daemon.measurer.Started(len(output.Batch.Starts))
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

// deliverControl carries out what membership, keepers and configuration want.
func (daemon *Daemon) deliverControl(output coordinator.Output) {
	switch output := output.(type) {
	case *coordinator.LeadChanged:
		daemon.logLead(output)
	case *coordinator.MemberChanged:
		member := output.State.Member
		daemon.Log.Info("member changed", "peer", member.Host, "status", output.State.Status, "failure-domain", member.FailureDomain)
		daemon.peers.Learn(member.Host, member.Addresses.Peers)
	case *coordinator.KeeperLeaderChanged:
		daemon.Log.Info("keeper leader changed", "leader", output.Leader, "term", output.Term)
	case *coordinator.KeeperJoined:
		daemon.Log.Info("keeper joined", "members", len(output.Members))
		go daemon.rememberFounders(output.Members)
	case *coordinator.KeeperHalted:
		daemon.Log.Error("keeper halted", "reason", output.Reason)
	case *coordinator.ConfigInForce:
		daemon.putInForce(output.Version)
	case *coordinator.StoreCells:
		daemon.cellMemory.remember(output.Cells)
	case *coordinator.Persist:
		daemon.keeping.persist(output.Persist)
	case *coordinator.SaveSnapshot:
		daemon.keeping.saveSnapshot(output.Snapshot)
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

func (daemon *Daemon) markDrained() {
	select {
	case <-daemon.drained:
	default:
		close(daemon.drained)
	}
}

// drain answers what has been accepted, within the settings' deadline.
func (daemon *Daemon) drain(ctx, hurry context.Context) {
	daemon.receiver.SetReady(false)
	daemon.Log.Info("shutting down", "waiting", daemon.receiver.Waiting())
	deadline, cancel := context.WithTimeout(hurry, daemon.Settings.Timeouts.ShutdownDeadline.Std())
	defer cancel()
	if daemon.Extension != nil {
		daemon.Extension.Drain(deadline)
	} else {
		sleep(deadline, balancerGrace)
	}
	daemon.receiver.RefuseNew()
	daemon.runner.Post(ctx, &coordinator.ShutdownRequested{})
	select {
	case <-daemon.drained:
		daemon.Log.Info("shut down, every accepted job is answered")
	case <-deadline.Done():
		daemon.endWaiting(ctx, hurry)
		daemon.logShutDownEarly()
	}
}

// endingReserve is how long the callers that still wait at the end of a drain may take to hear
// that their host ends: two ticks on a machine that is short of processor time.
const endingReserve = 400 * time.Millisecond

// endingInterval is how often endWaiting looks whether all have heard.
const endingInterval = 5 * time.Millisecond

// endWaiting tells the callers whose jobs outlast the drain where to ask for them. A hurried
// shutdown tells nobody.
func (daemon *Daemon) endWaiting(ctx, hurry context.Context) {
	waiting := daemon.receiver.Waiting()
	if hurry.Err() != nil || waiting == 0 {
		return
	}
	daemon.Log.Warn("the time to shut down is over, jobs go on elsewhere", "waiting", waiting)
	daemon.runner.Post(ctx, &coordinator.CallerEvent{Event: &forwarder.ShutdownStarted{}})
	reserve, cancel := context.WithTimeout(hurry, endingReserve)
	defer cancel()
	for daemon.receiver.Waiting() > 0 && reserve.Err() == nil {
		sleep(reserve, endingInterval)
	}
}

// logShutDownEarly says what is lost. With nobody waiting nothing is, so that a
// process which is told to end at once doesn't cry out.
func (daemon *Daemon) logShutDownEarly() {
	if waiting := daemon.receiver.Waiting(); waiting > 0 {
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

// servers are the serving sides of the listeners.
type servers struct {
	callers        *listener.Server
	backendServers *grpc.Server
	peers          *grpc.Server
}

func (daemon *Daemon) serve(listeners *listeners) *servers {
	router := mux.NewRouter()
	daemon.security.guard(router)
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

// NewServer returns a server for callers. It bounds what a caller may hold of this
// host before it has sent a whole request; the handler bounds the body. Without
// security callers connect in clear text.
func (daemon *Daemon) NewServer(handler http.Handler, security *tls.Config) *listener.Server {
	timeouts := &daemon.Settings.Timeouts
	created := &listener.Server{HTTP: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timeouts.HeaderTimeout.Std(),
		IdleTimeout:       timeouts.IdleTimeout.Std(),
		MaxHeaderBytes:    int(daemon.Settings.Limits.RequestHeader),
		TLSConfig:         security,
		// Anybody can cause such lines by knocking at the port.
		ErrorLog: daemon.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}}
	created.Prepare()
	return created
}

// Serve serves callers until the server is drained or closed.
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

// stop lets requests that have their answer finish writing it, and closes the
// connections of those that get none, so that their callers learn it at once.
func (servers *servers) stop() {
	deadline, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	servers.callers.Drain(deadline)
	servers.callers.Close()
	servers.backendServers.Stop()
	servers.peers.Stop()
}
