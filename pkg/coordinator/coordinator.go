// Package coordinator joins the deciding packages of one host into a whole. It
// routes messages between them and batches what goes to other hosts and to
// backend servers. It is pure, so that the daemon, the trace replay and the fuzz
// tests run the very same host.
package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
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

// Coordinator is one host of the system. Set the exported fields before the
// first Tick.
type Coordinator struct {
	// Self describes this host, Seeds the other hosts that the settings name.
	Self  gossiper.Member
	Seeds []gossiper.Member
	// Founders are the keepers that found a new log; without them, those of Self and
	// Seeds do.
	Founders []identifier.HostID
	// Seed makes random choices repeatable; it differs between hosts.
	Seed     uint64
	Settings Settings
	// LimitsOf returns the limits of a configuration document, and false for a
	// document that can't be read. It must be pure; nil changes no limits.
	LimitsOf func(document []byte) (dispatcher.LimitsConfigured, bool)
	// QuotasOf returns the quotas of a configuration document, and false for a document
	// that can't be read. It must be pure; nil changes no quotas.
	QuotasOf func(document []byte) ([]planner.TeamQuota, bool)
	// WallStart is the wall clock's reading at moment 0. It is shown to operators and
	// nothing is decided by it.
	WallStart planner.WallTime

	now        identifier.Moment
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	gossiper   *gossiper.Gossiper
	elector    *elector.Elector
	// keeper is nil on a host without a disk.
	keeper    *keeper.Keeper
	requester *claimer.Requester
	follower  *configurer.Follower
	petitions *petitions
	// driving runs intents on the workers of the failure domain, intentKeeping plans
	// them where this host leads the keepers.
	driving       *driving
	intentKeeping *intentKeeping
	quotas        quotas
	tending       *tending
	// supervisor and rooms serve jobs that need not be remembered on backend servers
	// that are called.
	supervisor *supervisor.Supervisor
	// starter decides which host makes the calls that start their runs.
	starter *starter.Starter
	// inquirer holds requests for room that no lead has vouched for.
	inquirer *inquirer.Inquirer
	rooms    []*room
	// remembering has the keepers remember the backend servers.
	remembering *remembering
	// following tells the rooms which hosts follow this one as their lead.
	following *following
	// keeperLeader is the keeper believed to lead.
	keeperLeader identifier.HostID
	nextNonce    keeper.Nonce
	// enforced are the evacuations that all that start work were told of.
	enforced messenger.Evacuated
	// stoodStill tells that this tick comes long after a deadline.
	stoodStill bool
	// aloneUnproven tells that no other host of the failure domain lives, as far as
	// is seen here, and that no backend server was heard since.
	aloneUnproven bool

	// What the parts have still to apply in this tick.
	toDispatcher []dispatcher.Input
	toForwarder  []forwarder.Input
	toGossiper   []gossiper.Input
	toElector    []elector.Input
	toKeeper     []keeper.Input
	toRequester  []claimer.Input
	toFollower   []configurer.Input
	toSupervisor []supervisor.Input
	toStarter    []starter.Input
	toInquirer   []inquirer.Input
	outputs      outbox
	draining     bool
	// connected are the hosts to which a connection stands.
	connected map[identifier.HostID]bool
	// silentlyLost are the hosts of the own failure domain that counted as dead while their
	// connection stood, and were not heard since.
	silentlyLost map[identifier.HostID]bool
}

// Tick applies the inputs, lets deadlines fall due and returns what to do.
func (coordinator *Coordinator) Tick(now identifier.Moment, inputs []Input) []Output {
	coordinator.noteStandstill(now)
	coordinator.prepare(now)
	coordinator.endStandstill()
	coordinator.endIsolation(inputs)
	for _, input := range inputs {
		coordinator.apply(input)
	}
	coordinator.petitions.expire()
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
	next = identifier.Earlier(next, coordinator.petitions.timers.Next())
	next = identifier.Earlier(next, coordinator.driving.nextDeadline())
	next = identifier.Earlier(next, coordinator.intentKeeping.nextDeadline())
	next = identifier.Earlier(next, coordinator.tending.dueAt)
	next = identifier.Earlier(next, coordinator.remembering.dueAt)
	next = identifier.Earlier(next, coordinator.supervisor.NextDeadline())
	next = identifier.Earlier(next, coordinator.starter.NextDeadline())
	next = identifier.Earlier(next, coordinator.inquirer.NextDeadline())
	for _, room := range coordinator.rooms {
		next = identifier.Earlier(next, room.allocator.NextDeadline())
	}
	if coordinator.keeper != nil {
		next = identifier.Earlier(next, coordinator.keeper.NextDeadline())
	}
	return next
}

func (coordinator *Coordinator) prepare(now identifier.Moment) {
	coordinator.now = now
	if coordinator.dispatcher != nil {
		return
	}
	coordinator.dispatcher = &dispatcher.Dispatcher{
		Self:          coordinator.Self.Host,
		FailureDomain: coordinator.Self.FailureDomain,
		Settings:      coordinator.Settings.Dispatcher,
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
	coordinator.rooms = newRooms(coordinator)
	coordinator.remembering = newRemembering(coordinator)
	coordinator.following = newFollowing(coordinator)
	coordinator.gossiper = coordinator.newGossiper()
	coordinator.elector = coordinator.newElector()
	if !slices.Contains(coordinator.Self.Roles, gossiper.RoleEntry) {
		coordinator.tellElector(elector.Resign{})
	}
	coordinator.keeper = coordinator.newKeeper()
	coordinator.tending = newTending(coordinator)
	coordinator.requester = &claimer.Requester{Settings: coordinator.Settings.Claims}
	coordinator.follower = &configurer.Follower{Settings: coordinator.Settings.Configuration, StartedAt: now}
	coordinator.petitions = newPetitions(coordinator)
	coordinator.nextNonce = firstNonce(coordinator.Self.Incarnation)
	coordinator.connected = make(map[identifier.HostID]bool)
	coordinator.silentlyLost = make(map[identifier.HostID]bool)
	coordinator.quotas.set(coordinator.Settings.Intents.Quotas)
	coordinator.driving = newDriving(coordinator)
	coordinator.intentKeeping = newIntentKeeping(coordinator)
	coordinator.tellForwarder(&forwarder.HostsChanged{Living: []identifier.HostID{coordinator.Self.Host}})
	coordinator.tellRequester(&claimer.KeepersChanged{Keepers: coordinator.keepersInOrder()})
}

// settle runs the parts until none has anything left to apply. A message between
// two parts of the same host thus costs no delay.
func (coordinator *Coordinator) settle() {
	for round := 0; round == 0 || coordinator.unsettled(); round++ {
		coordinator.settleMembership()
		coordinator.tending.settle()
		coordinator.settleKeeping()
		coordinator.settleDispatch()
		coordinator.settleRooming()
		coordinator.following.settle()
		coordinator.remembering.settle()
		coordinator.driving.settle()
		coordinator.intentKeeping.settle()
	}
}

func (coordinator *Coordinator) unsettled() bool {
	return len(coordinator.toDispatcher) > 0 || len(coordinator.toForwarder) > 0 ||
		len(coordinator.toGossiper) > 0 || len(coordinator.toElector) > 0 ||
		len(coordinator.toKeeper) > 0 || len(coordinator.toRequester) > 0 ||
		len(coordinator.toSupervisor) > 0 || len(coordinator.toStarter) > 0 || len(coordinator.toInquirer) > 0 || coordinator.roomsUnsettled() ||
		len(coordinator.toFollower) > 0 || len(coordinator.driving.inputs) > 0
}

func (coordinator *Coordinator) settleMembership() {
	now := coordinator.now
	tickPart(now, coordinator.gossiper, &coordinator.toGossiper, coordinator.routeGossiperOutput)
	tickPart(now, coordinator.elector, &coordinator.toElector, coordinator.routeElectorOutput)
}

func (coordinator *Coordinator) settleKeeping() {
	now := coordinator.now
	tickPart(now, coordinator.requester, &coordinator.toRequester, coordinator.routeRequesterOutput)
	if coordinator.keeper != nil {
		tickPart(now, coordinator.keeper, &coordinator.toKeeper, coordinator.routeKeeperOutput)
	}
	tickPart(now, coordinator.follower, &coordinator.toFollower, coordinator.routeFollowerOutput)
}

func (coordinator *Coordinator) settleDispatch() {
	now := coordinator.now
	tickPart(now, coordinator.forwarder, &coordinator.toForwarder, coordinator.routeForwarderOutput)
	tickPart(now, coordinator.dispatcher, &coordinator.toDispatcher, coordinator.routeDispatcherOutput)
}

// part is a deciding package that the coordinator drives.
type part[Input, Output any] interface {
	Tick(now identifier.Moment, inputs []Input) []Output
	NextDeadline() identifier.Moment
}

// tickPart ticks a part that has inputs or a deadline which has been reached, and
// routes what it hands back.
func tickPart[Input, Output any](now identifier.Moment, part part[Input, Output], queue *[]Input, route func(Output)) {
	if len(*queue) == 0 && !part.NextDeadline().Due(now) {
		return
	}
	for _, output := range part.Tick(now, taken(queue)) {
		route(output)
	}
}

// taken empties a queue of inputs and returns what was in it.
func taken[T any](queue *[]T) []T {
	inputs := *queue
	*queue = nil
	return inputs
}

// reportDrained tells, during a graceful shutdown, that every caller's
// submission has its answer and that other hosts know all that this one knows.
func (coordinator *Coordinator) reportDrained() {
	answered := coordinator.supervisor.Jobs() == 0 && coordinator.forwarder.Unanswered() == 0 && coordinator.forwarder.Questions() == 0
	if coordinator.draining && answered && coordinator.forwarder.Unhanded() == 0 {
		coordinator.outputs.add(&Drained{})
	}
}

// Unanswered returns how many submissions of this host's callers have no answer.
func (coordinator *Coordinator) Unanswered() int {
	if coordinator.forwarder == nil {
		return 0
	}
	return coordinator.forwarder.Unanswered()
}

// Unhanded returns how many records have still to reach another host.
func (coordinator *Coordinator) Unhanded() int {
	if coordinator.forwarder == nil {
		return 0
	}
	return coordinator.forwarder.Unhanded()
}
