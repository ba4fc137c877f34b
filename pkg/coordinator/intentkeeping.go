package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// systemOperator is who proposes plans and expiries.
const systemOperator planner.OperatorID = "system"

// intentKeeping answers intents with plans and tells the driving hosts what the log
// has decided, while this host leads the keepers.
type intentKeeping struct {
	coordinator *Coordinator
	proposals   *proposals
	leads       bool
	drivers     *tabulator.Table[identifier.FailureDomain, drivingHost]
	plans       *tabulator.Table[identifier.IntentName, watchedPlan]
	// told is the version that the driving hosts were told last.
	told   identifier.LogIndex
	lookAt identifier.Moment
}

// drivingHost is the last word of a failure domain's driving host.
type drivingHost struct {
	host    identifier.HostID
	epoch   identifier.Epoch
	since   identifier.LogIndex
	at      identifier.Moment
	picture *planner.Picture
}

// watchedPlan is what this keeper remembers of an intent without a confirmation.
type watchedPlan struct {
	// revision is the one that a proposal was made for, while it is under way.
	revision uint64
	pending  bool
	// number is the plan that stands, expiresAt and renewAt are counted from when
	// this keeper saw it first.
	number    uint64
	expiresAt identifier.Moment
	renewAt   identifier.Moment
	// postponed is the last reason given for no plan.
	postponed string
}

func newIntentKeeping(coordinator *Coordinator) *intentKeeping {
	return &intentKeeping{
		coordinator: coordinator,
		proposals:   newProposals(coordinator),
		drivers:     tabulator.New[identifier.FailureDomain, drivingHost](),
		plans:       tabulator.New[identifier.IntentName, watchedPlan](),
		lookAt:      identifier.Never,
	}
}

func (keeping *intentKeeping) nextDeadline() identifier.Moment {
	return identifier.Earlier(keeping.lookAt, keeping.proposals.nextDeadline())
}

// machine returns the state of intents where this host leads the keepers, else nil.
func (keeping *intentKeeping) machine() *planner.Machine {
	if keeping.coordinator.keeper == nil || !keeping.coordinator.keeper.Leads() {
		return nil
	}
	return keeping.coordinator.keeper.Intents()
}

func (keeping *intentKeeping) settle() {
	machine := keeping.machine()
	keeping.changeLead(machine != nil)
	if machine == nil {
		return
	}
	keeping.proposals.expire()
	if machine.Changed() > keeping.told {
		keeping.told = machine.Changed()
		keeping.lookAt = keeping.coordinator.now
		keeping.tellDrivers(machine)
	}
	if keeping.lookAt.Due(keeping.coordinator.now) {
		keeping.look(machine)
	}
}

// changeLead forgets what a former time of leading has left.
func (keeping *intentKeeping) changeLead(leads bool) {
	if leads == keeping.leads {
		return
	}
	keeping.leads = leads
	keeping.proposals.drop()
	keeping.plans = tabulator.New[identifier.IntentName, watchedPlan]()
	keeping.lookAt = identifier.Never
	if leads {
		keeping.lookAt = keeping.coordinator.now
	}
}

// takeSync takes the word of a driving host. One that does not lead the keepers
// passes it over: the sender soon learns who does.
func (keeping *intentKeeping) takeSync(from identifier.HostID, sync *IntentSync) {
	machine := keeping.machine()
	if machine == nil || sync.Epoch < machine.Epoch(sync.FailureDomain) {
		if machine != nil {
			keeping.tell(machine, from, sync.FailureDomain, sync.Since)
		}
		return
	}
	driver := &drivingHost{host: from, epoch: sync.Epoch, since: sync.Since, at: keeping.coordinator.now, picture: sync.Picture}
	first := keeping.drivers.Get(sync.FailureDomain) == nil || keeping.drivers.Get(sync.FailureDomain).picture == nil
	if !first && driver.picture == nil {
		// A new driver knows no workers yet; their capacity has not changed with it.
		driver.picture = &planner.Picture{FailureDomain: sync.FailureDomain, Rooms: keeping.drivers.Get(sync.FailureDomain).picture.Rooms, Settling: true}
	}
	keeping.drivers.Put(sync.FailureDomain, driver)
	keeping.tell(machine, from, sync.FailureDomain, sync.Since)
	if first && sync.Picture != nil {
		keeping.lookAt = keeping.coordinator.now
	}
}

// tellDrivers pushes what is new; a message that is lost is made up for by the next
// sync.
func (keeping *intentKeeping) tellDrivers(machine *planner.Machine) {
	keeping.drivers.Each(func(domain identifier.FailureDomain, driver *drivingHost) bool {
		keeping.tell(machine, driver.host, domain, driver.since)
		driver.since = machine.Changed()
		return true
	})
}

func (keeping *intentKeeping) tell(machine *planner.Machine, host identifier.HostID, domain identifier.FailureDomain, since identifier.LogIndex) {
	news := machine.News(domain, since)
	news.Capacities = keeping.capacities()
	if host == keeping.coordinator.Self.Host {
		keeping.coordinator.driving.takeNews(&news)
		return
	}
	keeping.coordinator.outputs.toPeer(host, PeerMessage{IntentNews: &news})
}

// look proposes plans for intents that wait for one, replaces those that the world
// has outrun and takes back those whose time is over.
func (keeping *intentKeeping) look(machine *planner.Machine) {
	waiting := false
	for _, name := range machine.Names() {
		record := machine.Get(name)
		if record.State != planner.StateCreated && record.State != planner.StatePlanned {
			keeping.plans.Remove(name)
			continue
		}
		waiting = true
		keeping.lookAtIntent(machine, record)
	}
	keeping.lookAt = identifier.Never
	if waiting {
		keeping.lookAt = keeping.coordinator.now.Add(keeping.coordinator.Settings.Intents.LookInterval)
	}
}

func (keeping *intentKeeping) lookAtIntent(machine *planner.Machine, record *planner.Record) {
	watched := keeping.plans.Get(record.Name)
	if watched == nil {
		watched = &watchedPlan{}
		keeping.plans.Put(record.Name, watched)
		watched = keeping.plans.Get(record.Name)
	}
	if watched.pending && watched.revision == record.Revision {
		return
	}
	watched.pending = false
	if record.State == planner.StateCreated {
		keeping.planIntent(machine, record, watched)
		return
	}
	keeping.checkPlan(machine, record, watched)
}

// planIntent proposes a plan. The reason for none is put into the log once.
func (keeping *intentKeeping) planIntent(machine *planner.Machine, record *planner.Record, watched *watchedPlan) {
	plan := keeping.proposer(machine, record).Propose(keeping.coordinator.wall(), record.Spec)
	if len(plan.Allotments)+len(plan.Refusals) == 0 {
		if plan.Queued == watched.postponed {
			return
		}
		watched.postponed = plan.Queued
	}
	keeping.propose(record, watched, planner.Command{Kind: planner.CommandPlan, Plan: &plan})
}

// checkPlan looks whether a plan without a confirmation still holds.
func (keeping *intentKeeping) checkPlan(machine *planner.Machine, record *planner.Record, watched *watchedPlan) {
	now, settings := keeping.coordinator.now, &keeping.coordinator.Settings.Intents
	if watched.number != record.Plan.Number {
		watched.number = record.Plan.Number
		watched.expiresAt = now.Add(settings.ConfirmWithin)
		watched.renewAt = now.Add(settings.RenewPlans)
	}
	if watched.expiresAt.Due(now) {
		keeping.propose(record, watched, planner.Command{Kind: planner.CommandExpire})
		return
	}
	if !watched.renewAt.Due(now) {
		return
	}
	watched.renewAt = now.Add(settings.RenewPlans)
	reason, fresh := keeping.proposer(machine, record).Outrun(keeping.coordinator.wall(), record.Spec, *record.Plan)
	if reason != "" {
		keeping.propose(record, watched, planner.Command{Kind: planner.CommandPlan, Plan: &fresh, Reason: reason})
	}
}

func (keeping *intentKeeping) propose(record *planner.Record, watched *watchedPlan, command planner.Command) {
	watched.pending = true
	watched.revision = record.Revision
	command.Name = record.Name
	command.Revision = record.Revision
	command.Operator = systemOperator
	keeping.proposals.add(command)
}

// takeReply ends a proposal, if it is one of these.
func (keeping *intentKeeping) takeReply(reply *keeper.Reply) bool {
	command := keeping.proposals.take(reply)
	if command == nil {
		return false
	}
	if watched := keeping.plans.Get(command.Name); watched != nil && watched.revision == command.Revision {
		watched.pending = false
	}
	return true
}

// proposer makes plans from the pictures that are fresh. A failure domain that can't
// be reached promises nothing, but as long as its workers aren't known nobody says
// "never" either.
func (keeping *intentKeeping) proposer(machine *planner.Machine, record *planner.Record) *planner.Proposer {
	proposer := &planner.Proposer{
		ConfirmWithin: keeping.coordinator.Settings.Intents.ConfirmWithin,
		Quota:         keeping.coordinator.quotas.of(record.Spec.Team),
		Correct:       machine.Correction,
	}
	for _, domain := range keeping.failureDomains() {
		driver := keeping.drivers.Get(domain)
		fresh := driver != nil && driver.picture != nil &&
			keeping.coordinator.now.Sub(driver.at) <= keeping.coordinator.Settings.Intents.PictureAge
		if fresh {
			proposer.Pictures = append(proposer.Pictures, *driver.picture)
			continue
		}
		proposer.Pictures = append(proposer.Pictures, planner.Picture{FailureDomain: domain, Settling: true})
	}
	return proposer
}

// capacities lists what all failure domains offered when they were last heard, so
// that one which is cut off keeps its part of the quotas.
func (keeping *intentKeeping) capacities() []planner.DomainCapacity {
	var capacities []planner.DomainCapacity
	for _, domain := range keeping.failureDomains() {
		if driver := keeping.drivers.Get(domain); driver != nil && driver.picture != nil {
			capacities = append(capacities, driver.picture.Capacity())
		}
	}
	return capacities
}

// failureDomains lists those of all hosts that are known, in order.
func (keeping *intentKeeping) failureDomains() []identifier.FailureDomain {
	domains := []identifier.FailureDomain{keeping.coordinator.Self.FailureDomain}
	add := func(member gossiper.Member) {
		if !slices.Contains(domains, member.FailureDomain) {
			domains = append(domains, member.FailureDomain)
		}
	}
	for _, member := range keeping.coordinator.Seeds {
		add(member)
	}
	for _, state := range keeping.coordinator.gossiper.Members() {
		add(state.Member)
	}
	slices.Sort(domains)
	return domains
}
