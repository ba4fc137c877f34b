package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// systemOperator is the operator under which plans and expiries are proposed.
const systemOperator planner.OperatorID = "system"

// intentPlanner proposes plans for intents and sends the driving hosts the decisions of the log,
// while this host leads the keepers.
type intentPlanner struct {
	coordinator *Coordinator
	proposals   *proposals
	leads       bool
	drivers     *tabulator.Table[identifier.FailureDomain, drivingHost]
	plans       *tabulator.Table[identifier.IntentName, watchedPlan]
	// notifiedVersion is the version of the intents last sent to the driving hosts.
	notifiedVersion identifier.LogIndex
	reviewAt        identifier.Moment
}

// drivingHost is the last sync of a failure domain's driving host.
type drivingHost struct {
	host   identifier.HostID
	epoch  identifier.Epoch
	since  identifier.LogIndex
	at     identifier.Moment
	status *planner.DomainStatus
}

// watchedPlan is what this keeper records of an unconfirmed intent.
type watchedPlan struct {
	// revision is the revision that a proposal was made for, while the proposal is pending.
	revision uint64
	pending  bool
	// number is the number of the current plan. expiresAt and renewAt count from the moment when
	// this keeper first saw it.
	number    uint64
	expiresAt identifier.Moment
	renewAt   identifier.Moment
	// postponed is the reason last given for not planning the intent yet.
	postponed string
}

func newIntentPlanner(coordinator *Coordinator) *intentPlanner {
	return &intentPlanner{
		coordinator: coordinator,
		proposals:   newProposals(coordinator),
		drivers:     tabulator.New[identifier.FailureDomain, drivingHost](),
		plans:       tabulator.New[identifier.IntentName, watchedPlan](),
		reviewAt:    identifier.Never,
	}
}

func (intentPlanner *intentPlanner) nextDeadline() identifier.Moment {
	return identifier.Earlier(intentPlanner.reviewAt, intentPlanner.proposals.nextDeadline())
}

// machine returns the state of the intents if this host leads the keepers, else nil.
func (intentPlanner *intentPlanner) machine() *planner.Machine {
	if intentPlanner.coordinator.keeper == nil || !intentPlanner.coordinator.keeper.IsLeader() {
		return nil
	}
	return intentPlanner.coordinator.keeper.Intents()
}

func (intentPlanner *intentPlanner) settle() {
	machine := intentPlanner.machine()
	intentPlanner.updateLeadership(machine != nil)
	if machine == nil {
		return
	}
	intentPlanner.proposals.expire()
	if machine.LastChange() > intentPlanner.notifiedVersion {
		intentPlanner.notifiedVersion = machine.LastChange()
		intentPlanner.reviewAt = intentPlanner.coordinator.now
		intentPlanner.sendUpdatesToDrivers(machine)
	}
	if intentPlanner.reviewAt.Due(intentPlanner.coordinator.now) {
		intentPlanner.reviewAll(machine)
	}
}

// updateLeadership discards the state of an earlier leadership when this host becomes the leader or
// loses the leadership.
func (intentPlanner *intentPlanner) updateLeadership(leads bool) {
	if leads == intentPlanner.leads {
		return
	}
	intentPlanner.leads = leads
	intentPlanner.proposals.drop()
	intentPlanner.plans = tabulator.New[identifier.IntentName, watchedPlan]()
	intentPlanner.reviewAt = identifier.Never
	if leads {
		intentPlanner.reviewAt = intentPlanner.coordinator.now
	}
}

// handleSync processes a sync of a driving host. A host that doesn't lead the keepers ignores it;
// the sender soon learns who does.
func (intentPlanner *intentPlanner) handleSync(from identifier.HostID, sync *IntentSync) {
	machine := intentPlanner.machine()
	if machine == nil || sync.Epoch < machine.Epoch(sync.FailureDomain) {
		if machine != nil {
			intentPlanner.sendNews(machine, from, sync.FailureDomain, sync.Since)
		}
		return
	}
	driver := &drivingHost{host: from, epoch: sync.Epoch, since: sync.Since, at: intentPlanner.coordinator.now, status: sync.Status}
	first := intentPlanner.drivers.Get(sync.FailureDomain) == nil || intentPlanner.drivers.Get(sync.FailureDomain).status == nil
	if !first && driver.status == nil {
		// A new driver knows no workers yet, but their capacity is the same as before.
		driver.status = &planner.DomainStatus{FailureDomain: sync.FailureDomain, Workers: intentPlanner.drivers.Get(sync.FailureDomain).status.Workers, WorkersUnknown: true}
	}
	intentPlanner.drivers.Put(sync.FailureDomain, driver)
	intentPlanner.sendNews(machine, from, sync.FailureDomain, sync.Since)
	if first && sync.Status != nil {
		intentPlanner.reviewAt = intentPlanner.coordinator.now
	}
}

// sendUpdatesToDrivers pushes updates to all driving hosts. The next sync makes up for a lost
// message.
func (intentPlanner *intentPlanner) sendUpdatesToDrivers(machine *planner.Machine) {
	intentPlanner.drivers.Each(func(domain identifier.FailureDomain, driver *drivingHost) bool {
		intentPlanner.sendNews(machine, driver.host, domain, driver.since)
		driver.since = machine.LastChange()
		return true
	})
}

func (intentPlanner *intentPlanner) sendNews(machine *planner.Machine, host identifier.HostID, domain identifier.FailureDomain, since identifier.LogIndex) {
	update := machine.DriverUpdate(domain, since)
	update.Capacities = intentPlanner.capacities()
	if host == intentPlanner.coordinator.Self.Host {
		intentPlanner.coordinator.intentDriver.handleUpdate(&update)
		return
	}
	intentPlanner.coordinator.outputs.toPeer(host, PeerMessage{IntentUpdate: &update})
}

// reviewAll proposes plans for intents that wait for one, replaces plans that are out of date and
// expires those that were not confirmed in time.
func (intentPlanner *intentPlanner) reviewAll(machine *planner.Machine) {
	waiting := false
	for _, name := range machine.Names() {
		record := machine.Get(name)
		if record.State != planner.StateCreated && record.State != planner.StatePlanned {
			intentPlanner.plans.Remove(name)
			continue
		}
		waiting = true
		intentPlanner.reviewIntent(machine, record)
	}
	intentPlanner.reviewAt = identifier.Never
	if waiting {
		intentPlanner.reviewAt = intentPlanner.coordinator.now.Add(intentPlanner.coordinator.Settings.Intents.ReviewInterval)
	}
}

func (intentPlanner *intentPlanner) reviewIntent(machine *planner.Machine, record *planner.Record) {
	watched := intentPlanner.plans.Get(record.Name)
	if watched == nil {
		watched = &watchedPlan{}
		intentPlanner.plans.Put(record.Name, watched)
		watched = intentPlanner.plans.Get(record.Name)
	}
	if watched.pending && watched.revision == record.Revision {
		return
	}
	watched.pending = false
	if record.State == planner.StateCreated {
		intentPlanner.planIntent(machine, record, watched)
		return
	}
	intentPlanner.checkPlan(machine, record, watched)
}

// planIntent proposes a plan. If there is none, the reason is written to the log once.
func (intentPlanner *intentPlanner) planIntent(machine *planner.Machine, record *planner.Record, watched *watchedPlan) {
	plan := intentPlanner.proposer(machine, record).Propose(intentPlanner.coordinator.wallTime(), record.Spec)
	if len(plan.Allotments)+len(plan.Refusals) == 0 {
		if plan.Queued == watched.postponed {
			return
		}
		watched.postponed = plan.Queued
	}
	intentPlanner.propose(record, watched, planner.Command{Kind: planner.CommandPlan, Plan: &plan})
}

// checkPlan checks whether an unconfirmed plan still holds.
func (intentPlanner *intentPlanner) checkPlan(machine *planner.Machine, record *planner.Record, watched *watchedPlan) {
	now, settings := intentPlanner.coordinator.now, &intentPlanner.coordinator.Settings.Intents
	if watched.number != record.Plan.Number {
		watched.number = record.Plan.Number
		watched.expiresAt = now.Add(settings.ConfirmWithin)
		watched.renewAt = now.Add(settings.RenewPlans)
	}
	if watched.expiresAt.Due(now) {
		intentPlanner.propose(record, watched, planner.Command{Kind: planner.CommandExpire})
		return
	}
	if !watched.renewAt.Due(now) {
		return
	}
	watched.renewAt = now.Add(settings.RenewPlans)
	reason, fresh := intentPlanner.proposer(machine, record).Outdated(intentPlanner.coordinator.wallTime(), record.Spec, *record.Plan)
	if reason != "" {
		intentPlanner.propose(record, watched, planner.Command{Kind: planner.CommandPlan, Plan: &fresh, Reason: reason})
	}
}

func (intentPlanner *intentPlanner) propose(record *planner.Record, watched *watchedPlan, command planner.Command) {
	watched.pending = true
	watched.revision = record.Revision
	command.Name = record.Name
	command.Revision = record.Revision
	command.Operator = systemOperator
	intentPlanner.proposals.add(command)
}

// handleReply ends a proposal and reports whether the reply belongs to one of this planner.
func (intentPlanner *intentPlanner) handleReply(reply *keeper.Reply) bool {
	command := intentPlanner.proposals.handleReply(reply)
	if command == nil {
		return false
	}
	if watched := intentPlanner.plans.Get(command.Name); watched != nil && watched.revision == command.Revision {
		watched.pending = false
	}
	return true
}

// proposer returns a proposer that plans from the statuses that are fresh. A failure domain that
// can't be reached offers no capacity, but its workers are marked as unknown, so that an intent
// isn't refused for good while the workers there are unknown.
func (intentPlanner *intentPlanner) proposer(machine *planner.Machine, record *planner.Record) *planner.Proposer {
	proposer := &planner.Proposer{
		ConfirmTimeout: intentPlanner.coordinator.Settings.Intents.ConfirmWithin,
		Quota:          intentPlanner.coordinator.quotas.of(record.Spec.Team),
		Correction:     machine.Correction,
	}
	for _, domain := range intentPlanner.failureDomains() {
		driver := intentPlanner.drivers.Get(domain)
		fresh := driver != nil && driver.status != nil &&
			intentPlanner.coordinator.now.Sub(driver.at) <= intentPlanner.coordinator.Settings.Intents.MaxStatusAge
		if fresh {
			proposer.Domains = append(proposer.Domains, *driver.status)
			continue
		}
		proposer.Domains = append(proposer.Domains, planner.DomainStatus{FailureDomain: domain, WorkersUnknown: true})
	}
	return proposer
}

// capacities lists the last known capacity of every failure domain, so that one which is cut off
// keeps its share of the quotas.
func (intentPlanner *intentPlanner) capacities() []planner.DomainCapacity {
	var capacities []planner.DomainCapacity
	for _, domain := range intentPlanner.failureDomains() {
		if driver := intentPlanner.drivers.Get(domain); driver != nil && driver.status != nil {
			capacities = append(capacities, driver.status.Capacity())
		}
	}
	return capacities
}

// failureDomains lists the failure domains of all known hosts, sorted.
func (intentPlanner *intentPlanner) failureDomains() []identifier.FailureDomain {
	domains := []identifier.FailureDomain{intentPlanner.coordinator.Self.FailureDomain}
	add := func(member gossiper.Member) {
		if !slices.Contains(domains, member.FailureDomain) {
			domains = append(domains, member.FailureDomain)
		}
	}
	for _, member := range intentPlanner.coordinator.Seeds {
		add(member)
	}
	for _, state := range intentPlanner.coordinator.gossiper.Members() {
		add(state.Member)
	}
	slices.Sort(domains)
	return domains
}
