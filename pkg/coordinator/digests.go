package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func newDigester(coordinator *Coordinator) *digester.Digester {
	settings := coordinator.Settings.Digester
	settings.Retention = coordinator.Settings.Dispatcher.AnswerRetention
	return &digester.Digester{
		Self: coordinator.Self.Host, FailureDomain: coordinator.Self.FailureDomain, Settings: settings,
		HasPeers: coordinator.seedsOfOwnDomain() > 0,
	}
}

func (coordinator *Coordinator) notifyDigester(input digester.Input) {
	coordinator.toDigester = append(coordinator.toDigester, input)
}

// notifyDigesterOfHosts reports which other hosts are live, once for all changes that arrived
// together.
func (coordinator *Coordinator) notifyDigesterOfHosts() {
	version := coordinator.gossiper.Version()
	if coordinator.digestHosts == version {
		return
	}
	coordinator.digestHosts = version
	var hosts []digester.Host
	coordinator.gossiper.EachState(func(state *gossiper.State) {
		member := &state.Member
		if state.Living() && member.Host != coordinator.Self.Host {
			hosts = append(hosts, digester.Host{
				ID: member.Host, FailureDomain: member.FailureDomain, Incarnation: member.Incarnation,
				Processor: member.Capacity.OrUnknown().MilliCPU,
			})
		}
	})
	slices.SortFunc(hosts, digester.CompareHosts)
	coordinator.notifyDigester(&digester.HostsChanged{Hosts: hosts})
}

// applyDigestMessage applies a message about digests. Digests of a home come from its own hosts, or
// as a reply to a query from that home. Other ones are rejected: they would make this host refuse
// submissions that are new.
func (coordinator *Coordinator) applyDigestMessage(from identifier.HostID, message *PeerMessage) {
	own := coordinator.Self.FailureDomain
	switch {
	case message.DigestReply != nil && message.DigestReply.Home == own:
		coordinator.notifyDigester(&digester.ReplyArrived{From: from, Batch: *message.DigestReply})
	case message.DigestQuery != nil && coordinator.mayBeIn(from, message.DigestQuery.Home):
		coordinator.notifyDigester(&digester.QueryArrived{From: from, Query: *message.DigestQuery})
	case message.DigestBatch != nil && coordinator.mayBeIn(from, message.DigestBatch.Home):
		coordinator.notifyDigester(&digester.BatchArrived{Batch: *message.DigestBatch})
	default:
		coordinator.outputs.add(&DigestsRejected{From: from})
	}
}

// mayBeIn reports whether a host belongs to a failure domain, or is not known yet.
func (coordinator *Coordinator) mayBeIn(host identifier.HostID, domain identifier.FailureDomain) bool {
	state, known := coordinator.gossiper.State(host)
	return !known || state.Member.FailureDomain == domain
}

func (coordinator *Coordinator) routeDigesterOutput(output digester.Output) {
	switch output := output.(type) {
	case *digester.SendBatch:
		coordinator.outputs.toPeer(output.To, PeerMessage{DigestBatch: &output.Batch})
	case *digester.SendQuery:
		coordinator.outputs.toPeer(output.To, PeerMessage{DigestQuery: &output.Query})
	case *digester.SendReply:
		coordinator.outputs.toPeer(output.To, PeerMessage{DigestReply: &output.Batch})
	case *digester.Collected:
		coordinator.notifyDispatcher(&dispatcher.DigestsCollected{})
	case *digester.CapacityReached:
		coordinator.outputs.add(&DigestsFull{Home: output.Home, Digests: output.Digests})
	}
}

// DigestsFull reports that this host stores the maximum number of digests of a home, and drops
// further ones.
type DigestsFull struct {
	Home    identifier.FailureDomain
	Digests int
}

// DigestsRejected reports a message about digests of another failure domain than its sender's.
type DigestsRejected struct {
	From identifier.HostID
}

func (*DigestsFull) isCoordinatorOutput()     {}
func (*DigestsRejected) isCoordinatorOutput() {}
