// Package coordinator combines the deciding packages of one host. It routes messages between them
// and batches what is sent to other hosts and to backend servers. It is pure, so the daemon, the
// trace replay and the fuzz tests all run the same host.
package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Coordinator is one host of the system. Set the exported fields before the first Tick.
type Coordinator struct {
	// Self describes this host. Seeds are the other hosts that the settings name.
	Self  gossiper.Member
	Seeds []gossiper.Member
	// Founders are the keepers that found a new log. If empty, the keepers among Self and Seeds
	// found it.
	Founders []identifier.HostID
	// Seed makes random choices repeatable. It differs between hosts.
	Seed     uint64
	Settings Settings
	// LimitsOf returns the limits of a configuration document, and false if the document can't be
	// read. It must be pure. If nil, configurations change no limits.
	LimitsOf func(document []byte) (dispatcher.LimitsConfigured, bool)
	// QuotasOf returns the quotas of a configuration document, and false if the document can't be
	// read. It must be pure. If nil, configurations change no quotas.
	QuotasOf func(document []byte) ([]planner.TeamQuota, bool)
	// WallStart is the wall clock's reading at moment 0. It is only shown to operators; no decision
	// depends on it.
	WallStart planner.WallTime

	now        identifier.Moment
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	gossiper   *gossiper.Gossiper
	elector    *elector.Elector
	// keeper is nil on a host without the keeper role.
	keeper           *keeper.Keeper
	requester        *claimer.Requester
	follower         *configurer.Follower
	operatorRequests *operatorRequests
	// intentDriver runs intents on the workers of the failure domain. intentPlanner plans them
	// while this host leads the keepers.
	intentDriver     *intentDriver
	intentPlanner    *intentPlanner
	quotas           quotas
	keeperMembership *keeperMembership
	layouts          *layouts
	layoutProposer   *layoutProposer
	// supervisor and allocators serve jobs that need not be remembered, on backend servers that are
	// called.
	supervisor *supervisor.Supervisor
	// arrivals holds the jobs of this tick until the next one.
	arrivals arrivals
	// starter decides which host makes the calls that start runs.
	starter *starter.Starter
	// inquirer holds capacity requests for jobs that no lead has referred to the cell.
	inquirer *inquirer.Inquirer
	// digester replicates the digests of submissions.
	digester   *digester.Digester
	allocators []*cellAllocator
	// cellPersister has the keepers store the backend servers of each cell.
	cellPersister *cellPersister
	// followerTracker reports to the allocators which hosts follow this one as their lead.
	followerTracker *followerTracker
	// keeperLeader is the keeper last known to lead.
	keeperLeader identifier.HostID
	nextNonce    keeper.Nonce
	// enforcedEvacuations are the evacuations last sent to every component that starts work.
	enforcedEvacuations messenger.EvacuatedDomains
	// wasSuspended reports whether this tick comes long after a missed deadline.
	wasSuspended bool
	// possiblyIsolated reports that no other host of the failure domain is known to live and that
	// no backend server has responded since.
	possiblyIsolated bool

	// Inputs that the components still have to process in this tick.
	toDispatcher   []dispatcher.Input
	toForwarder    []forwarder.Input
	toGossiper     []gossiper.Input
	toElector      []elector.Input
	toKeeper       []keeper.Input
	toRequester    []claimer.Input
	toFollower     []configurer.Input
	toSupervisor   []supervisor.Input
	toStarter      []starter.Input
	toInquirer     []inquirer.Input
	toDigester     []digester.Input
	outputs        outbox
	draining       bool
	membershipView membershipView
	// notifiedDomains is the membership that the components were last notified of, by failure domain.
	notifiedDomains map[identifier.FailureDomain]gossiper.Version
	// digestHosts is the membership that the digester was last notified of.
	digestHosts gossiper.Version
	// connected are the hosts with an open connection to this one.
	connected map[identifier.HostID]bool
	// deadButConnected are the hosts of the own failure domain that were declared dead while their
	// connection was open, and have sent nothing since.
	deadButConnected map[identifier.HostID]bool
	handovers        *handovers
	overload         overload
}

// Tick applies the inputs, runs the deadlines that are due and returns the outputs to carry out.
func (coordinator *Coordinator) Tick(now identifier.Moment, inputs []Input) []Output {
	coordinator.detectSuspension(now)
	coordinator.initialize(now)
	coordinator.handleSuspension()
	coordinator.handleIsolationEnd(inputs)
	for _, input := range inputs {
		coordinator.apply(input)
	}
	coordinator.overload.throttler.Expire(now)
	coordinator.updateOverload()
	coordinator.releaseDueArrivals()
	coordinator.operatorRequests.expire()
	coordinator.settle()
	coordinator.reportDrained()
	return coordinator.outputs.drain()
}

// NextDeadline returns when Tick must run even without inputs.
func (coordinator *Coordinator) NextDeadline() identifier.Moment {
	if coordinator.dispatcher == nil {
		return 0
	}
	next := coordinator.dispatcher.NextDeadline()
	next = identifier.Earlier(next, coordinator.forwarder.NextDeadline())
	next = identifier.Earlier(next, coordinator.gossiper.NextDeadline())
	next = identifier.Earlier(next, coordinator.elector.NextDeadline())
	next = identifier.Earlier(next, coordinator.requester.NextDeadline())
	next = identifier.Earlier(next, coordinator.follower.NextDeadline())
	next = identifier.Earlier(next, coordinator.operatorRequests.timers.Next())
	next = identifier.Earlier(next, coordinator.intentDriver.nextDeadline())
	next = identifier.Earlier(next, coordinator.intentPlanner.nextDeadline())
	next = identifier.Earlier(next, coordinator.keeperMembership.dueAt)
	next = identifier.Earlier(next, coordinator.layouts.learnedBy)
	next = identifier.Earlier(next, coordinator.layoutProposer.dueAt)
	next = identifier.Earlier(next, coordinator.cellPersister.dueAt)
	next = identifier.Earlier(next, coordinator.arrivals.nextDeadline())
	next = identifier.Earlier(next, coordinator.supervisor.NextDeadline())
	next = identifier.Earlier(next, coordinator.starter.NextDeadline())
	next = identifier.Earlier(next, coordinator.inquirer.NextDeadline())
	next = identifier.Earlier(next, coordinator.digester.NextDeadline())
	next = identifier.Earlier(next, coordinator.handovers.nextDeadline())
	for _, cellAllocator := range coordinator.allocators {
		next = identifier.Earlier(next, cellAllocator.allocator.NextDeadline())
	}
	if coordinator.keeper != nil {
		next = identifier.Earlier(next, coordinator.keeper.NextDeadline())
	}
	return next
}

func (coordinator *Coordinator) initialize(now identifier.Moment) {
	coordinator.now = now
	if coordinator.dispatcher != nil {
		return
	}
	coordinator.layouts = newLayouts(coordinator)
	coordinator.digester = newDigester(coordinator)
	coordinator.dispatcher = &dispatcher.Dispatcher{
		Self:          coordinator.Self.Host,
		FailureDomain: coordinator.Self.FailureDomain,
		Settings:      coordinator.Settings.Dispatcher,
		HasPeers:      coordinator.seedsOfOwnDomain() > 0,
		Digests:       coordinator.digester,
	}
	coordinator.forwarder = &forwarder.Forwarder{
		Self:          coordinator.Self.Host,
		FailureDomain: coordinator.Self.FailureDomain,
		Settings:      coordinator.Settings.Forwarder,
	}
	coordinator.starter = &starter.Starter{
		Self: coordinator.Self.Host, FailureDomain: coordinator.Self.FailureDomain, Settings: coordinator.Settings.Starter,
	}
	coordinator.supervisor = &supervisor.Supervisor{

		FailureDomain: coordinator.Self.FailureDomain,
		Cells:         coordinator.cells(),
		Settings:      coordinator.Settings.Supervisor,
	}
	coordinator.inquirer = &inquirer.Inquirer{Settings: coordinator.Settings.Inquirer}
	coordinator.allocators = newAllocators(coordinator)
	coordinator.cellPersister = newCellPersister(coordinator)
	coordinator.followerTracker = newFollowerTracker(coordinator)
	coordinator.gossiper = coordinator.newGossiper()
	coordinator.elector = coordinator.newElector()
	if !slices.Contains(coordinator.Self.Roles, gossiper.RoleEntry) {
		coordinator.notifyElector(elector.Resign{})
	}
	coordinator.keeper = coordinator.newKeeper()
	coordinator.keeperMembership = newKeeperMembership(coordinator)
	coordinator.layoutProposer = newLayoutProposer(coordinator)
	coordinator.requester = &claimer.Requester{Settings: coordinator.Settings.Claims}
	coordinator.follower = &configurer.Follower{Settings: coordinator.Settings.Configuration, StartedAt: now}
	coordinator.operatorRequests = newOperatorRequests(coordinator)
	coordinator.nextNonce = firstNonce(coordinator.Self.Incarnation)
	coordinator.notifiedDomains = make(map[identifier.FailureDomain]gossiper.Version)
	coordinator.connected = make(map[identifier.HostID]bool)
	coordinator.deadButConnected = make(map[identifier.HostID]bool)
	coordinator.handovers = newHandovers(coordinator)
	coordinator.overload.throttler.Settings = coordinator.Settings.Throttler
	coordinator.quotas.set(coordinator.Settings.Intents.Quotas)
	coordinator.intentDriver = newIntentDriver(coordinator)
	coordinator.intentPlanner = newIntentPlanner(coordinator)
	coordinator.notifyForwarder(&forwarder.HostsChanged{Living: []identifier.HostID{coordinator.Self.Host}})
	coordinator.notifyRequester(&claimer.KeepersChanged{Keepers: coordinator.keepersInOrder()})
}

// settle runs the components until none has inputs left, so that a message between two components
// of the same host takes effect in the same tick.
func (coordinator *Coordinator) settle() {
	for round := 0; round == 0 || coordinator.hasPendingInputs(); round++ {
		coordinator.settleMembership()
		coordinator.layouts.settle()
		coordinator.keeperMembership.settle()
		coordinator.layoutProposer.settle()
		coordinator.settleKeeping()
		coordinator.settleDispatch()
		coordinator.settleAllocation()
		coordinator.followerTracker.settle()
		coordinator.cellPersister.settle()
		coordinator.intentDriver.settle()
		coordinator.intentPlanner.settle()
	}
}

func (coordinator *Coordinator) hasPendingInputs() bool {
	return coordinator.layouts.changed || len(coordinator.toDispatcher) > 0 || len(coordinator.toForwarder) > 0 ||
		len(coordinator.toGossiper) > 0 || len(coordinator.toElector) > 0 ||
		len(coordinator.toKeeper) > 0 || len(coordinator.toRequester) > 0 ||
		len(coordinator.toSupervisor) > 0 || len(coordinator.toStarter) > 0 || len(coordinator.toInquirer) > 0 || len(coordinator.toDigester) > 0 || coordinator.allocatorsHavePendingInputs() ||
		len(coordinator.toFollower) > 0 || len(coordinator.intentDriver.inputs) > 0
}

func (coordinator *Coordinator) settleMembership() {
	now := coordinator.now
	tickComponent(now, coordinator.gossiper, &coordinator.toGossiper, coordinator.routeGossiperOutput)
	tickComponent(now, coordinator.elector, &coordinator.toElector, coordinator.routeElectorOutput)
}

func (coordinator *Coordinator) settleKeeping() {
	now := coordinator.now
	tickComponent(now, coordinator.requester, &coordinator.toRequester, coordinator.routeRequesterOutput)
	if coordinator.keeper != nil {
		tickComponent(now, coordinator.keeper, &coordinator.toKeeper, coordinator.routeKeeperOutput)
	}
	tickComponent(now, coordinator.follower, &coordinator.toFollower, coordinator.routeFollowerOutput)
}

func (coordinator *Coordinator) settleDispatch() {
	now := coordinator.now
	tickComponent(now, coordinator.forwarder, &coordinator.toForwarder, coordinator.routeForwarderOutput)
	tickComponent(now, coordinator.digester, &coordinator.toDigester, coordinator.routeDigesterOutput)
	tickComponent(now, coordinator.dispatcher, &coordinator.toDispatcher, coordinator.routeDispatcherOutput)
}

// component is a deciding package that the coordinator drives.
type component[Input, Output any] interface {
	Tick(now identifier.Moment, inputs []Input) []Output
	NextDeadline() identifier.Moment
}

// tickComponent ticks a component that has inputs or a due deadline, and routes its outputs.
func tickComponent[Input, Output any](now identifier.Moment, component component[Input, Output], queue *[]Input, route func(Output)) {
	if len(*queue) == 0 && !component.NextDeadline().Due(now) {
		return
	}
	for _, output := range component.Tick(now, drainQueue(queue)) {
		route(output)
	}
}

// drainQueue empties a queue of inputs and returns its contents.
func drainQueue[T any](queue *[]T) []T {
	inputs := *queue
	*queue = nil
	return inputs
}

// reportDrained emits Drained during a graceful shutdown once every caller's submission is answered
// and other hosts have all records of this one and know it.
func (coordinator *Coordinator) reportDrained() {
	if !coordinator.draining {
		return
	}
	if coordinator.hasOpenWork() {
		coordinator.handovers.restart()
		return
	}
	if coordinator.handovers.announce() && coordinator.keeperMembership.mayLeave() {
		coordinator.outputs.add(&Drained{})
	}
}

// hasOpenWork reports whether callers wait for this host or records have still to be copied.
func (coordinator *Coordinator) hasOpenWork() bool {
	jobs := coordinator.supervisor.Jobs() + len(coordinator.arrivals.jobs)
	requests := coordinator.forwarder.Unanswered() + coordinator.forwarder.WaitingLookups()
	return jobs+requests+coordinator.forwarder.UnreplicatedRecords() > 0
}

// Unanswered returns how many submissions of this host's callers have no answer.
func (coordinator *Coordinator) Unanswered() int {
	if coordinator.forwarder == nil {
		return 0
	}
	return coordinator.forwarder.Unanswered()
}

// UnreplicatedRecords returns how many records still have to reach another host.
func (coordinator *Coordinator) UnreplicatedRecords() int {
	if coordinator.forwarder == nil {
		return 0
	}
	return coordinator.forwarder.UnreplicatedRecords()
}
