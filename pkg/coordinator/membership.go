package coordinator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/starter"
)

// The keys of the records that spread with the membership.
const (
	leadRecordPrefix  = "lead-"
	configRecordKey   = "config-version"
	keeperLeaderKey   = "keeper-leader"
	joiningRecordKey  = "keeper-joining"
	recordNumberBase  = 10
	recordNumberWidth = 64
)

func (coordinator *Coordinator) newGossiper() *gossiper.Gossiper {
	return &gossiper.Gossiper{
		Self:     coordinator.Self,
		Seeds:    coordinator.Seeds,
		Seed:     coordinator.Seed,
		Settings: coordinator.Settings.Gossiper,
	}
}

func (coordinator *Coordinator) newElector() *elector.Elector {
	return &elector.Elector{
		Self:          coordinator.Self.Host,
		FailureDomain: coordinator.Self.FailureDomain,
		Cells:         max(coordinator.Settings.Dispatcher.Cells, 1),
		Others:        coordinator.seedsOfOwnDomain(),
		SettleTime:    coordinator.Settings.LeadSettle,
		OvertakenTime: coordinator.Settings.LeadOvertaken,
		JoinedTime:    coordinator.Settings.LeadJoined,
		NextEpoch: func(after identifier.Epoch) identifier.Epoch {
			return nextEpoch(after, coordinator.Self.Host)
		},
	}
}

func (coordinator *Coordinator) seedsOfOwnDomain() int {
	count := 0
	for _, seed := range coordinator.Seeds {
		if seed.FailureDomain == coordinator.Self.FailureDomain && seed.Host != coordinator.Self.Host {
			count++
		}
	}
	return count
}

func (coordinator *Coordinator) tellGossiper(input gossiper.Input) {
	coordinator.toGossiper = append(coordinator.toGossiper, input)
}

func (coordinator *Coordinator) tellElector(input elector.Input) {
	coordinator.toElector = append(coordinator.toElector, input)
}

func (coordinator *Coordinator) routeGossiperOutput(output gossiper.Output) {
	switch output := output.(type) {
	case gossiper.Send:
		message := output.Message
		coordinator.outputs.toPeer(output.To, PeerMessage{Gossip: &message})
	case gossiper.MemberChanged:
		coordinator.changeMember(output)
	case gossiper.RecordChanged:
		coordinator.changeRecord(output)
	case gossiper.Joined:
		coordinator.tellElector(elector.Joined{})
	}
}

// changeMember follows a host's state. What depends on who lives is brought up to
// date: the leads, the holders of copies and the keepers to ask.
func (coordinator *Coordinator) changeMember(change gossiper.MemberChanged) {
	member := change.New.Member
	coordinator.outputs.add(&MemberChanged{State: change.New})
	coordinator.noteSilentLoss(change.New)
	restarted := change.Old != nil && change.Old.Member.Incarnation != member.Incarnation
	if restarted {
		coordinator.tellElector(elector.HostRestarted{FailureDomain: member.FailureDomain, Host: member.Host})
	}
	living := coordinator.livingIn(member.FailureDomain)
	coordinator.tellStarter(&starter.HostsChanged{FailureDomain: member.FailureDomain, Living: coordinator.entryHosts(living)})
	coordinator.tellElector(elector.HostsChanged{
		FailureDomain: member.FailureDomain, Living: coordinator.entryHosts(living), Missing: coordinator.missingIn(member.FailureDomain),
	})
	coordinator.tellForwarder(&forwarder.DomainChanged{FailureDomain: member.FailureDomain, Living: len(living) > 0})
	if member.FailureDomain == coordinator.Self.FailureDomain {
		coordinator.hostsChanged()
		if restarted {
			coordinator.tellForwarder(&forwarder.HostRestarted{Host: member.Host})
		}
		coordinator.tellHostChanged(change, restarted)
	}
	coordinator.changeRoomHost(change.New, restarted)
	if change.Old != nil && change.Old.Living() && (restarted || change.New.Status == gossiper.StatusDead) {
		coordinator.tellInquirer(&inquirer.HostLost{Host: member.Host, FailureDomain: member.FailureDomain})
	}
	coordinator.following.changed = true
	if slices.Contains(member.Roles, gossiper.RoleKeeper) {
		coordinator.changeKeeperReachability(change.New)
	}
}

// tellHostChanged has the dispatcher ask a host that has come, and no longer wait
// for one that is gone.
func (coordinator *Coordinator) tellHostChanged(change gossiper.MemberChanged, restarted bool) {
	lived := change.Old != nil && change.Old.Living() && !restarted
	switch host := change.New.Member.Host; {
	case change.New.Living() && !lived:
		emptied := restarted && change.Old.Status != gossiper.StatusLeft
		coordinator.tellDispatcher(&dispatcher.HostReturned{Host: host, Emptied: emptied})
	case !change.New.Living() && lived && !coordinator.leaver(change.New):
		left := change.New.Status == gossiper.StatusLeft
		coordinator.tellDispatcher(&dispatcher.HostGone{Host: host, Left: left})
	}
}

// leavers lists the hosts of the own failure domain that are leaving and can still
// be asked what they know. A host that gave up the cell has not handed over
// everything at that moment.
func (coordinator *Coordinator) leavers() []identifier.HostID {
	var leavers []identifier.HostID
	for _, state := range coordinator.gossiper.Members() {
		if coordinator.leaver(state) {
			leavers = append(leavers, state.Member.Host)
		}
	}
	slices.Sort(leavers)
	return leavers
}

func (coordinator *Coordinator) leaver(state gossiper.State) bool {
	return state.Member.FailureDomain == coordinator.Self.FailureDomain && state.Status == gossiper.StatusLeft &&
		state.Member.Host != coordinator.Self.Host && coordinator.connected[state.Member.Host]
}

// loseLeaver waits no longer for a host that has left.
func (coordinator *Coordinator) loseLeaver(host identifier.HostID) {
	if state, known := coordinator.gossiper.State(host); known && state.Status == gossiper.StatusLeft {
		coordinator.tellAllocators(&allocator.HostGone{Host: host})
		coordinator.tellDispatcher(&dispatcher.HostGone{Host: host, Left: true})
	}
}

// reachable tells whether a message to a host may arrive.
func (coordinator *Coordinator) reachable(host identifier.HostID) bool {
	state, known := coordinator.gossiper.State(host)
	return known && (state.Living() || coordinator.connected[host])
}

// missing lists the hosts of the own failure domain that are known and don't live, and those
// that the settings name and that were never heard of: a host that starts while all others are
// lost or cut off knows none of them, and may miss all that they knew.
func (coordinator *Coordinator) missing() []identifier.HostID {
	var missing []identifier.HostID
	for _, seed := range coordinator.Seeds {
		_, known := coordinator.gossiper.State(seed.Host)
		if !known && seed.FailureDomain == coordinator.Self.FailureDomain && seed.Host != coordinator.Self.Host {
			missing = append(missing, seed.Host)
		}
	}
	for _, state := range coordinator.gossiper.Members() {
		if state.Member.FailureDomain == coordinator.Self.FailureDomain && state.Status == gossiper.StatusDead {
			missing = append(missing, state.Member.Host)
		}
	}
	return missing
}

// ownDomain tells whether a host belongs to the own failure domain.
func (coordinator *Coordinator) ownDomain(host identifier.HostID) bool {
	state, known := coordinator.gossiper.State(host)
	return host == coordinator.Self.Host || (known && state.Member.FailureDomain == coordinator.Self.FailureDomain)
}

// livingIn lists the hosts of a failure domain that are counted on, in order of
// their ids, this host included.
func (coordinator *Coordinator) livingIn(failureDomain identifier.FailureDomain) []identifier.HostID {
	var living []identifier.HostID
	if failureDomain == coordinator.Self.FailureDomain {
		living = append(living, coordinator.Self.Host)
	}
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if member.FailureDomain == failureDomain && member.Host != coordinator.Self.Host && state.Living() {
			living = append(living, member.Host)
		}
	}
	slices.Sort(living)
	return living
}

// entryHosts returns those of hosts that serve callers. A host that only keeps the
// replicated log must not lead a cell: it has no part of the data path.
func (coordinator *Coordinator) entryHosts(hosts []identifier.HostID) []identifier.HostID {
	var serving []identifier.HostID
	for _, host := range hosts {
		member := coordinator.Self
		if state, known := coordinator.gossiper.State(host); known && host != coordinator.Self.Host {
			member = state.Member
		}
		if slices.Contains(member.Roles, gossiper.RoleEntry) {
			serving = append(serving, host)
		}
	}
	return serving
}

// missingIn counts the hosts of a failure domain that are known and may live
// somewhere out of reach.
func (coordinator *Coordinator) missingIn(failureDomain identifier.FailureDomain) int {
	missing := 0
	for _, state := range coordinator.gossiper.Members() {
		if state.Member.FailureDomain == failureDomain && state.Status == gossiper.StatusDead {
			missing++
		}
	}
	return missing
}

// hostsChanged tells the forwarder who lives. A host that sees no other one live
// may be cut off itself, so it goes on asking the others for copies, and holds back
// what it could not keep true, until a backend server proves that it is not.
func (coordinator *Coordinator) hostsChanged() {
	own := coordinator.Self.FailureDomain
	living := coordinator.livingIn(own)
	coordinator.aloneUnproven = len(living) == 1 && coordinator.missingIn(own) > 0
	if !coordinator.aloneUnproven {
		coordinator.tellForwarder(&forwarder.HostsChanged{Living: living})
	}
}

// proveContact notes that a backend server was heard.
func (coordinator *Coordinator) proveContact() {
	coordinator.tellElector(elector.ServerHeard{})
	if !coordinator.aloneUnproven {
		return
	}
	coordinator.aloneUnproven = false
	coordinator.tellForwarder(&forwarder.HostsChanged{Living: []identifier.HostID{coordinator.Self.Host}})
}

// changeRecord reads what another host spreads about itself.
func (coordinator *Coordinator) changeRecord(change gossiper.RecordChanged) {
	state, known := coordinator.gossiper.State(change.Host)
	if !known {
		return
	}
	key, value := change.Record.Key, string(change.Record.Value)
	switch {
	case strings.HasPrefix(key, leadRecordPrefix):
		coordinator.changeLeadRecord(state.Member, strings.TrimPrefix(key, leadRecordPrefix), value)
	case key == configRecordKey:
		version, err := strconv.ParseUint(value, recordNumberBase, recordNumberWidth)
		if err == nil {
			coordinator.tellFollower(&configurer.VersionSeen{Host: change.Host, Version: identifier.ConfigVersion(version)})
		}
	case key == joiningRecordKey:
		coordinator.tending.learnJoining(change.Host, value)
	case key == keeperLeaderKey:
		coordinator.preferKeeper(identifier.HostID(value))
	}
}

func (coordinator *Coordinator) changeLeadRecord(member gossiper.Member, cellText, value string) {
	number, err := strconv.ParseUint(cellText, recordNumberBase, 32)
	if err != nil {
		return
	}
	cell := messenger.CellNumber(number)
	epoch, err := strconv.ParseUint(value, recordNumberBase, recordNumberWidth)
	if err != nil {
		coordinator.tellElector(elector.LeadWithdrawn{FailureDomain: member.FailureDomain, Host: member.Host, Cell: cell})
		return
	}
	coordinator.tellElector(elector.LeadSeen{
		FailureDomain: member.FailureDomain, Host: member.Host, Cell: cell, Epoch: identifier.Epoch(epoch),
	})
}

// noticeLead takes a notice that came directly; the record that says the same
// spreads more slowly. An empty host withdraws what the sender announced.
func (coordinator *Coordinator) noticeLead(from identifier.HostID, notice messenger.LeadNotice) {
	if notice.Host == "" {
		coordinator.tellElector(elector.LeadWithdrawn{FailureDomain: notice.FailureDomain, Host: from, Cell: notice.Cell})
		return
	}
	coordinator.tellElector(elector.LeadSeen{
		FailureDomain: notice.FailureDomain, Host: notice.Host, Cell: notice.Cell, Epoch: notice.Epoch,
	})
}

func (coordinator *Coordinator) routeElectorOutput(output elector.Output) {
	switch output := output.(type) {
	case elector.LeadTaken:
		coordinator.takeLead(output)
	case elector.LeadLost:
		coordinator.loseLead(output)
	case elector.LeadIs:
		notice := messenger.LeadNotice{
			FailureDomain: output.FailureDomain, Cell: output.Cell, Host: output.Host, Epoch: output.Epoch,
		}
		coordinator.tellForwarder(&forwarder.LeadKnown{Notice: notice})
		coordinator.learnLead(notice)
		if output.FailureDomain != coordinator.Self.FailureDomain {
			coordinator.tellDispatcher(&dispatcher.RemoteLeadKnown{Notice: notice})
		}
	}
}

func (coordinator *Coordinator) takeLead(taken elector.LeadTaken) {
	hosts := append(coordinator.livingIn(coordinator.Self.FailureDomain), coordinator.leavers()...)
	coordinator.tellDispatcher(&dispatcher.LeadTaken{
		Cell: taken.Cell, Epoch: taken.Epoch, Hosts: hosts, Missing: coordinator.missing(),
	})
	coordinator.driving.leadTaken(taken.Cell)
	coordinator.takeRoomLead(taken)
	notice := messenger.LeadNotice{
		FailureDomain: coordinator.Self.FailureDomain,
		Cell:          taken.Cell,
		Host:          coordinator.Self.Host,
		Epoch:         taken.Epoch,
	}
	coordinator.publish(leadRecordKey(taken.Cell), strconv.FormatUint(uint64(taken.Epoch), recordNumberBase))
	coordinator.outputs.add(&LeadChanged{Notice: notice})
	coordinator.tellNeighbours(notice)
}

func (coordinator *Coordinator) loseLead(lost elector.LeadLost) {
	coordinator.tellDispatcher(&dispatcher.LeadLost{Cell: lost.Cell})
	coordinator.driving.leadLost(lost.Cell)
	coordinator.loseRoomLead(lost)
	coordinator.publish(leadRecordKey(lost.Cell), "")
	notice := messenger.LeadNotice{FailureDomain: coordinator.Self.FailureDomain, Cell: lost.Cell, Epoch: lost.Epoch}
	coordinator.outputs.add(&LeadChanged{Notice: notice})
	coordinator.tellNeighbours(notice)
}

// tellNeighbours sends a notice to the hosts of the failure domain, which forward
// their jobs to the new lead. A leaving host still has jobs to be answered.
func (coordinator *Coordinator) tellNeighbours(notice messenger.LeadNotice) {
	for _, host := range append(coordinator.livingIn(coordinator.Self.FailureDomain), coordinator.leavers()...) {
		if host != coordinator.Self.Host {
			coordinator.outputs.toPeer(host, PeerMessage{LeadNotice: &notice})
		}
	}
}

func leadRecordKey(cell messenger.CellNumber) string {
	return leadRecordPrefix + strconv.FormatUint(uint64(cell), recordNumberBase)
}

// publish spreads a record of this host; an empty value withdraws it.
func (coordinator *Coordinator) publish(key, value string) {
	coordinator.tellGossiper(gossiper.RecordSet{Key: key, Value: []byte(value)})
}
