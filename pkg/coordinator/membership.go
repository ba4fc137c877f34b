package coordinator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/ranker"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
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
		Cells:         coordinator.cells(),
		OtherHosts:    coordinator.seedsOfOwnDomain(),
		SettleTime:    coordinator.Settings.LeadSettleTime,
		OvertakenTime: coordinator.Settings.LeadOvertakenTime,
		JoinedTime:    coordinator.Settings.LeadJoinedTime,
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

func (coordinator *Coordinator) notifyGossiper(input gossiper.Input) {
	coordinator.toGossiper = append(coordinator.toGossiper, input)
}

func (coordinator *Coordinator) notifyElector(input elector.Input) {
	coordinator.toElector = append(coordinator.toElector, input)
}

func (coordinator *Coordinator) routeGossiperOutput(output gossiper.Output) {
	switch output := output.(type) {
	case gossiper.Send:
		message := output.Message
		coordinator.outputs.toPeer(output.To, PeerMessage{Gossip: &message})
	case gossiper.MemberChanged:
		coordinator.handleMemberChange(output)
	case gossiper.RecordChanged:
		coordinator.handleRecordChange(output)
	case gossiper.Joined:
		coordinator.notifyElector(elector.Joined{})
	}
}

// handleMemberChange processes a changed state of a host: it updates everything that depends on
// which hosts live, such as the leads, the holders of copies and the order of the keepers.
func (coordinator *Coordinator) handleMemberChange(change gossiper.MemberChanged) {
	member := change.New.Member
	coordinator.outputs.add(&MemberChanged{State: change.New})
	coordinator.recordSilentLoss(change.New)
	restarted := change.Old != nil && change.Old.Member.Incarnation != member.Incarnation
	if restarted {
		coordinator.notifyElector(elector.HostRestarted{FailureDomain: member.FailureDomain, Host: member.Host})
	}
	coordinator.notifyOfDomain(member.FailureDomain)
	if member.FailureDomain == coordinator.Self.FailureDomain {
		if restarted {
			coordinator.notifyForwarder(&forwarder.HostRestarted{Host: member.Host})
		}
		coordinator.notifyDispatcherOfHost(change, restarted)
	}
	coordinator.handleAllocatorHostChange(change.New, restarted)
	if change.Old != nil && change.Old.Living() && (restarted || change.New.Status == gossiper.StatusDead) {
		coordinator.notifyInquirer(&inquirer.HostLost{Host: member.Host, FailureDomain: member.FailureDomain})
	}
	coordinator.notifyDigesterOfHosts()
	coordinator.followerTracker.changed = true
	coordinator.layouts.changed = true
	if slices.Contains(member.Roles, gossiper.RoleKeeper) {
		coordinator.updateKeeperReachability(change.New)
	}
}

// notifyOfDomain reports which hosts of a failure domain live, once for all changes that arrived
// together.
func (coordinator *Coordinator) notifyOfDomain(domain identifier.FailureDomain) {
	version := coordinator.gossiper.Version()
	if coordinator.notifiedDomains[domain] == version {
		return
	}
	coordinator.notifiedDomains[domain] = version
	entryHosts := coordinator.entryHostsIn(domain)
	coordinator.notifyStarter(&starter.HostsChanged{
		FailureDomain: domain, Living: entryHosts, Processors: coordinator.domainView(domain).processors,
	})
	coordinator.notifyElector(elector.HostsChanged{
		FailureDomain: domain, Living: entryHosts, Processors: coordinator.domainView(domain).processors,
		Suspected: coordinator.domainView(domain).suspected, MissingHosts: coordinator.countMissing(domain),
	})
	coordinator.notifyForwarder(&forwarder.DomainChanged{FailureDomain: domain, Living: len(coordinator.livingIn(domain)) > 0})
	if domain == coordinator.Self.FailureDomain {
		coordinator.updateLivingHosts()
		others := slices.DeleteFunc(slices.Clone(entryHosts), func(host identifier.HostID) bool { return host == coordinator.Self.Host })
		coordinator.notifySupervisor(&supervisor.PeersChanged{Count: len(others)})
	}
}

// notifyDispatcherOfHost makes the dispatcher query a host that has joined or returned, and stop
// waiting for one that is gone.
func (coordinator *Coordinator) notifyDispatcherOfHost(change gossiper.MemberChanged, restarted bool) {
	wasLiving := change.Old != nil && change.Old.Living() && !restarted
	switch host := change.New.Member.Host; {
	case change.New.Living() && !wasLiving:
		lostState := restarted && !coordinator.handovers.isHandedOver(*change.Old)
		coordinator.notifyDispatcher(&dispatcher.HostReturned{Host: host, WithoutState: lostState})
	case !change.New.Living() && wasLiving && !coordinator.isLeaving(change.New):
		coordinator.notifyHostGone(change.New)
	}
}

// leavingHosts lists the hosts of the own failure domain that are leaving and can still be queried.
// A host that gave up its cell has not handed over all its records at that moment.
func (coordinator *Coordinator) leavingHosts() []identifier.HostID {
	var leavers []identifier.HostID
	for _, state := range coordinator.gossiper.Members() {
		if coordinator.isLeaving(state) {
			leavers = append(leavers, state.Member.Host)
		}
	}
	slices.Sort(leavers)
	return leavers
}

func (coordinator *Coordinator) isLeaving(state gossiper.State) bool {
	return state.Member.FailureDomain == coordinator.Self.FailureDomain && state.Status == gossiper.StatusLeft &&
		state.Member.Host != coordinator.Self.Host && coordinator.connected[state.Member.Host]
}

// handleLeaverGone stops waiting for a host that has left.
func (coordinator *Coordinator) handleLeaverGone(host identifier.HostID) {
	if state, known := coordinator.gossiper.State(host); known && state.Status == gossiper.StatusLeft {
		coordinator.notifyAllocators(&allocator.HostGone{Host: host})
		coordinator.notifyHostGone(state)
	}
}

func (coordinator *Coordinator) notifyHostGone(state gossiper.State) {
	coordinator.notifyDispatcher(&dispatcher.HostGone{
		Host: state.Member.Host, Left: state.Status == gossiper.StatusLeft, HandedOver: coordinator.handovers.isHandedOver(state),
	})
}

// reachable reports whether a message to a host may arrive.
func (coordinator *Coordinator) reachable(host identifier.HostID) bool {
	state, known := coordinator.gossiper.State(host)
	return known && (state.Living() || coordinator.connected[host])
}

// missingHosts lists the known hosts of the own failure domain that died or left without a handover,
// and those named in the settings that have never been seen: a host that starts while all others are
// lost or cut off knows none of them and may lack all their records.
func (coordinator *Coordinator) missingHosts() []identifier.HostID {
	var missing []identifier.HostID
	for _, seed := range coordinator.Seeds {
		_, known := coordinator.gossiper.State(seed.Host)
		if !known && seed.FailureDomain == coordinator.Self.FailureDomain && seed.Host != coordinator.Self.Host {
			missing = append(missing, seed.Host)
		}
	}
	for _, state := range coordinator.gossiper.Members() {
		if state.Member.FailureDomain == coordinator.Self.FailureDomain && coordinator.mayHoldMissingRecords(state) {
			missing = append(missing, state.Member.Host)
		}
	}
	return missing
}

// mayHoldMissingRecords reports whether a host may have records that no reachable host has: it has
// died, or it has left and no handover of its records is known.
func (coordinator *Coordinator) mayHoldMissingRecords(state gossiper.State) bool {
	switch state.Status {
	case gossiper.StatusDead:
		return true
	case gossiper.StatusLeft:
		isSelf := state.Member.Host == coordinator.Self.Host
		return !isSelf && !coordinator.isLeaving(state) && !coordinator.handovers.isHandedOver(state)
	default:
		return false
	}
}

// inOwnDomain reports whether a host belongs to the own failure domain.
func (coordinator *Coordinator) inOwnDomain(host identifier.HostID) bool {
	state, known := coordinator.gossiper.State(host)
	return host == coordinator.Self.Host || (known && state.Member.FailureDomain == coordinator.Self.FailureDomain)
}

// updateLivingHosts notifies the forwarder which hosts live. A host that sees no other living host
// may be cut off itself. Until a backend server proves that it isn't, it goes on requesting copies
// from the others and delays commitments that it might not be able to keep.
func (coordinator *Coordinator) updateLivingHosts() {
	own := coordinator.Self.FailureDomain
	living := coordinator.livingIn(own)
	coordinator.possiblyIsolated = len(living) == 1 && coordinator.countMissing(own) > 0
	if !coordinator.possiblyIsolated {
		coordinator.notifyForwarder(&forwarder.HostsChanged{Living: coordinator.inCopyOrder(living)})
	}
}

// inCopyOrder returns the living hosts of the own failure domain in the order in which this host
// requests copies from them: by id, or by weighted rendezvous hashing if their capacities differ.
func (coordinator *Coordinator) inCopyOrder(living []identifier.HostID) []identifier.HostID {
	processors := coordinator.domainView(coordinator.Self.FailureDomain).processors
	candidates := make([]ranker.Candidate, len(living))
	for index, host := range living {
		hash := xxhash.Sum64String(string(coordinator.Self.Host) + " " + string(host))
		candidates[index] = ranker.Candidate{Host: host, Hash: hash, Capacity: processors[host]}
	}
	if ranker.Alike(candidates) {
		return living
	}
	ranker.Rank(candidates)
	ordered := make([]identifier.HostID, len(living))
	for index, candidate := range candidates {
		ordered[index] = candidate.Host
	}
	return ordered
}

// recordServerContact records that a backend server has responded.
func (coordinator *Coordinator) recordServerContact() {
	coordinator.notifyElector(elector.ServerResponded{})
	if !coordinator.possiblyIsolated {
		return
	}
	coordinator.possiblyIsolated = false
	coordinator.notifyForwarder(&forwarder.HostsChanged{Living: []identifier.HostID{coordinator.Self.Host}})
}

// handleRecordChange processes a record that another host published about itself.
func (coordinator *Coordinator) handleRecordChange(change gossiper.RecordChanged) {
	state, known := coordinator.gossiper.State(change.Host)
	if !known {
		return
	}
	key, value := change.Record.Key, string(change.Record.Value)
	switch {
	case strings.HasPrefix(key, leadRecordPrefix):
		coordinator.handleLeadRecord(state.Member, strings.TrimPrefix(key, leadRecordPrefix), value)
	case key == configRecordKey:
		version, err := strconv.ParseUint(value, recordNumberBase, recordNumberWidth)
		if err == nil {
			coordinator.notifyFollower(&configurer.VersionAnnounced{Host: change.Host, Version: identifier.ConfigVersion(version)})
		}
	case key == layoutRecordKey:
		coordinator.layouts.changed = true
	case key == joiningRecordKey:
		coordinator.keeperMembership.recordJoining(change.Host, value)
	case key == keeperLeaderKey:
		coordinator.preferKeeper(identifier.HostID(value))
	}
}

func (coordinator *Coordinator) handleLeadRecord(member gossiper.Member, cellText, value string) {
	number, err := strconv.ParseUint(cellText, recordNumberBase, 32)
	if err != nil {
		return
	}
	cell := messenger.CellNumber(number)
	epoch, err := strconv.ParseUint(value, recordNumberBase, recordNumberWidth)
	if err != nil {
		coordinator.notifyElector(elector.LeadWithdrawn{FailureDomain: member.FailureDomain, Host: member.Host, Cell: cell})
		return
	}
	coordinator.notifyElector(elector.LeadSeen{
		FailureDomain: member.FailureDomain, Host: member.Host, Cell: cell, Epoch: identifier.Epoch(epoch),
	})
}

// handleLeadNotice processes a notice that a host sent directly; the record with the same content
// spreads more slowly. An empty host withdraws what the sender announced.
func (coordinator *Coordinator) handleLeadNotice(from identifier.HostID, notice messenger.LeadNotice) {
	if notice.Host == "" {
		coordinator.notifyElector(elector.LeadWithdrawn{FailureDomain: notice.FailureDomain, Host: from, Cell: notice.Cell})
		return
	}
	coordinator.notifyElector(elector.LeadSeen{
		FailureDomain: notice.FailureDomain, Host: notice.Host, Cell: notice.Cell, Epoch: notice.Epoch,
	})
}

func (coordinator *Coordinator) routeElectorOutput(output elector.Output) {
	switch output := output.(type) {
	case elector.LeadTaken:
		coordinator.handleLeadTaken(output)
	case elector.LeadLost:
		coordinator.handleLeadLost(output)
	case elector.MovePlanned:
		coordinator.outputs.add(&LeadMovePlanned{Move: output})
	case elector.LeadIs:
		notice := messenger.LeadNotice{
			FailureDomain: output.FailureDomain, Cell: output.Cell, Host: output.Host, Epoch: output.Epoch,
		}
		coordinator.notifyForwarder(&forwarder.LeadChanged{Notice: notice})
		coordinator.handleLeadKnown(notice)
		if output.FailureDomain != coordinator.Self.FailureDomain {
			coordinator.notifyDispatcher(&dispatcher.RemoteLeadChanged{Notice: notice})
		}
	}
}

func (coordinator *Coordinator) handleLeadTaken(taken elector.LeadTaken) {
	hosts := append(coordinator.livingIn(coordinator.Self.FailureDomain), coordinator.leavingHosts()...)
	coordinator.notifyDispatcher(&dispatcher.LeadTaken{
		Cell: taken.Cell, Epoch: taken.Epoch, Hosts: hosts, Missing: coordinator.missingHosts(),
	})
	coordinator.notifyDigester(&digester.LeadTaken{Cell: taken.Cell})
	coordinator.intentDriver.handleLeadTaken(taken.Cell)
	coordinator.handleAllocatorLeadTaken(taken)
	notice := messenger.LeadNotice{
		FailureDomain: coordinator.Self.FailureDomain,
		Cell:          taken.Cell,
		Host:          coordinator.Self.Host,
		Epoch:         taken.Epoch,
	}
	coordinator.publish(leadRecordKey(taken.Cell), strconv.FormatUint(uint64(taken.Epoch), recordNumberBase))
	coordinator.outputs.add(&LeadChanged{Notice: notice})
	coordinator.notifyOwnDomain(notice)
}

func (coordinator *Coordinator) handleLeadLost(lost elector.LeadLost) {
	coordinator.notifyDispatcher(&dispatcher.LeadLost{Cell: lost.Cell})
	coordinator.notifyDigester(&digester.LeadLost{Cell: lost.Cell})
	coordinator.intentDriver.handleLeadLost(lost.Cell)
	coordinator.handleAllocatorLeadLost(lost)
	coordinator.publish(leadRecordKey(lost.Cell), "")
	notice := messenger.LeadNotice{FailureDomain: coordinator.Self.FailureDomain, Cell: lost.Cell, Epoch: lost.Epoch}
	coordinator.outputs.add(&LeadChanged{Notice: notice})
	coordinator.notifyOwnDomain(notice)
}

// notifyOwnDomain sends a notice to the hosts of the failure domain, which forward their jobs to
// the new lead. Leaving hosts are included, since they still have unanswered jobs.
func (coordinator *Coordinator) notifyOwnDomain(notice messenger.LeadNotice) {
	for _, host := range append(coordinator.livingIn(coordinator.Self.FailureDomain), coordinator.leavingHosts()...) {
		if host != coordinator.Self.Host {
			coordinator.outputs.toPeer(host, PeerMessage{LeadNotice: &notice})
		}
	}
}

func leadRecordKey(cell messenger.CellNumber) string {
	return leadRecordPrefix + strconv.FormatUint(uint64(cell), recordNumberBase)
}

// publish spreads a record of this host with the membership. An empty value withdraws it.
func (coordinator *Coordinator) publish(key, value string) {
	coordinator.notifyGossiper(gossiper.RecordPublished{Key: key, Value: []byte(value)})
}
