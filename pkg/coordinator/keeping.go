package coordinator

import (
	"slices"
	"strconv"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// newKeeper returns the keeper of a host with the keeper role, and nil on other hosts.
func (coordinator *Coordinator) newKeeper() *keeper.Keeper {
	if !slices.Contains(coordinator.Self.Roles, gossiper.RoleKeeper) {
		return nil
	}
	created := &keeper.Keeper{
		Self: coordinator.Self.Host, Incarnation: coordinator.joiningAs(), Seed: coordinator.Seed,
		Settings: coordinator.Settings.Keeper,
	}
	if coordinator.Settings.JoinKeepers {
		created.Joining = true
		return created
	}
	founders := coordinator.Founders
	if len(founders) == 0 {
		founders = coordinator.settingsKeepers()
	}
	for _, host := range founders {
		created.InitialMembers = append(created.InitialMembers, replicator.Member{Host: host, Role: replicator.MemberVoter})
	}
	return created
}

// keeperHosts lists the keepers in the settings and those known to the membership, sorted by id.
// The settings of a process may be older than the set of keepers: a replacement is known only to
// the membership.
func (coordinator *Coordinator) keeperHosts() []identifier.HostID {
	hosts := coordinator.settingsKeepers()
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if state.Living() && slices.Contains(member.Roles, gossiper.RoleKeeper) && !slices.Contains(hosts, member.Host) {
			hosts = append(hosts, member.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// settingsKeepers lists the keepers that the settings name, sorted by id.
func (coordinator *Coordinator) settingsKeepers() []identifier.HostID {
	var hosts []identifier.HostID
	for _, member := range append([]gossiper.Member{coordinator.Self}, coordinator.Seeds...) {
		if slices.Contains(member.Roles, gossiper.RoleKeeper) && !slices.Contains(hosts, member.Host) {
			hosts = append(hosts, member.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func (coordinator *Coordinator) notifyKeeper(input keeper.Input) {
	if coordinator.keeper != nil {
		coordinator.toKeeper = append(coordinator.toKeeper, input)
	}
}

func (coordinator *Coordinator) routeKeeperOutput(output keeper.Output) {
	switch output := output.(type) {
	case *keeper.Send:
		message := output.Message
		coordinator.outputs.toPeer(output.To, PeerMessage{Log: &message})
	case *keeper.Forward:
		coordinator.sendRequest(output.To, output.Request)
	case *keeper.Answer:
		coordinator.sendReply(output.To, output.Reply)
	case *keeper.Persist:
		coordinator.outputs.add(&Persist{Persist: output.Persist})
	case *keeper.SaveSnapshot:
		coordinator.outputs.add(&SaveSnapshot{Snapshot: output.Snapshot})
	case *keeper.VersionAccepted:
		coordinator.notifyFollower(&configurer.VersionFetched{Version: output.Version})
	case *keeper.LeaderChanged:
		coordinator.handleKeeperLeaderChange(output)
	case *keeper.History:
		coordinator.outputs.add(&ConfigHistory{Waiter: output.Waiter, Versions: output.Versions})
	case *keeper.Joined:
		coordinator.publish(joiningRecordKey, "")
		joined := &KeeperJoined{}
		for _, member := range coordinator.keeper.Members() {
			joined.Members = append(joined.Members, member.Host)
		}
		coordinator.outputs.add(joined)
	case *keeper.MembersChanged:
		coordinator.outputs.add(&KeeperMembersChanged{Members: output.Members})
	case *keeper.MembershipDecided:
		coordinator.keeperMembership.handleDecided(output)
	case *keeper.Halted:
		coordinator.outputs.add(&KeeperHalted{Reason: output.Reason})
	}
}

func (coordinator *Coordinator) handleKeeperLeaderChange(change *keeper.LeaderChanged) {
	coordinator.outputs.add(&KeeperLeaderChanged{Leader: change.Leader, Term: change.Term})
	coordinator.preferKeeper(change.Leader)
	if change.Leader == coordinator.Self.Host {
		coordinator.publish(keeperLeaderKey, string(coordinator.Self.Host))
		return
	}
	coordinator.publish(keeperLeaderKey, "")
}

func (coordinator *Coordinator) sendRequest(to identifier.HostID, request keeper.Request) {
	if to == coordinator.Self.Host {
		coordinator.notifyKeeper(&keeper.RequestReceived{Request: request})
		return
	}
	coordinator.outputs.toPeer(to, PeerMessage{KeeperRequest: &request})
}

func (coordinator *Coordinator) sendReply(to identifier.HostID, reply keeper.Reply) {
	if to == coordinator.Self.Host {
		coordinator.handleKeeperReply(&reply)
		return
	}
	coordinator.outputs.toPeer(to, PeerMessage{KeeperReply: &reply})
}

// handleKeeperReply passes a keeper's reply to the component that sent the request.
func (coordinator *Coordinator) handleKeeperReply(reply *keeper.Reply) {
	if reply.Leader != "" {
		coordinator.preferKeeper(reply.Leader)
	}
	if reply.Kind == keeper.ReplyApplied && reply.Result.Decisions != nil {
		coordinator.notifyRequester(&claimer.Decided{Decisions: reply.Result.Decisions})
		return
	}
	if coordinator.layoutProposer.handleReply(reply) || coordinator.intentDriver.handleReply(reply) || coordinator.intentPlanner.handleReply(reply) {
		return
	}
	coordinator.operatorRequests.handleReply(reply)
}

// preferKeeper makes later requests go to the leading keeper first.
func (coordinator *Coordinator) preferKeeper(leader identifier.HostID) {
	if leader == coordinator.keeperLeader || leader == "" {
		return
	}
	coordinator.keeperLeader = leader
	coordinator.notifyRequester(&claimer.KeepersChanged{Keepers: coordinator.keepersInOrder()})
	coordinator.operatorRequests.resendToLeader()
}

// keepersInOrder lists the keepers, the one last known to lead first.
func (coordinator *Coordinator) keepersInOrder() []identifier.HostID {
	hosts := coordinator.keeperHosts()
	position := slices.Index(hosts, coordinator.keeperLeader)
	if position > 0 {
		hosts[0], hosts[position] = hosts[position], hosts[0]
	}
	return hosts
}

func (coordinator *Coordinator) updateKeeperReachability(state gossiper.State) {
	var hint replicator.Input = replicator.PeerUnreachable{Host: state.Member.Host}
	if state.Living() {
		hint = replicator.PeerReachable{Host: state.Member.Host}
	}
	coordinator.notifyKeeper(&keeper.LogInput{Input: hint})
}

// requestClaim requests a claim from the keepers, without which a submission may not run a
// not-repeatable job.
func (coordinator *Coordinator) requestClaim(wanted *dispatcher.ClaimWanted) {
	coordinator.notifyRequester(&claimer.ClaimRequested{Claim: claimer.Claim{
		Caller:     wanted.Caller,
		Job:        wanted.Job,
		Submission: wanted.Submission,
		Home:       coordinator.Self.FailureDomain,
	}})
}

// releaseClaim releases a claim under which nothing ran.
func (coordinator *Coordinator) releaseClaim(released *dispatcher.ClaimReleased) {
	coordinator.notifyRequester(&claimer.ReleaseRequested{Release: claimer.Release{
		Caller:     released.Caller,
		Job:        released.Job,
		Submission: released.Submission,
	}})
}

func (coordinator *Coordinator) notifyRequester(input claimer.Input) {
	coordinator.toRequester = append(coordinator.toRequester, input)
}

func (coordinator *Coordinator) routeRequesterOutput(output claimer.Output) {
	switch output := output.(type) {
	case *claimer.Ask:
		command := output.Command
		coordinator.nextNonce++
		coordinator.sendRequest(output.Keeper, keeper.Request{
			Origin:  coordinator.Self.Host,
			Nonce:   coordinator.nextNonce,
			Command: keeper.Command{Claims: &command},
		})
	case *claimer.LateGrants:
		coordinator.notifyDispatcher(&dispatcher.ClaimsGrantedLate{Submissions: output.Submissions})
	case *claimer.ClaimsDecided:
		for _, decision := range output.Decisions {
			coordinator.notifyDispatcher(claimDecided(decision))
		}
	}
}

func claimDecided(decision claimer.Decision) *dispatcher.ClaimDecided {
	decided := &dispatcher.ClaimDecided{Submission: decision.Submission, Holder: decision.Holder, HolderHome: decision.HolderHome}
	switch decision.Verdict {
	case claimer.VerdictGranted:
		decided.Verdict = dispatcher.ClaimGranted
	case claimer.VerdictHeld, claimer.VerdictForgotten:
		decided.Verdict = dispatcher.ClaimHeld
	default:
		decided.Verdict = dispatcher.ClaimUnavailable
	}
	return decided
}

func (coordinator *Coordinator) notifyFollower(input configurer.Input) {
	coordinator.toFollower = append(coordinator.toFollower, input)
}

func (coordinator *Coordinator) routeFollowerOutput(output configurer.Output) {
	switch output := output.(type) {
	case *configurer.Fetch:
		coordinator.outputs.toPeer(output.From, PeerMessage{ConfigWanted: true})
	case *configurer.Serve:
		version := output.Version
		coordinator.outputs.toPeer(output.To, PeerMessage{Config: &version})
	case *configurer.InForce:
		version := output.Version
		coordinator.publish(configRecordKey, strconv.FormatUint(uint64(version.Version), recordNumberBase))
		coordinator.enforceLimits(version.Document)
		coordinator.enforceQuotas(version.Document)
		coordinator.enforceEvacuations()
		coordinator.layouts.adopt(version.Layouts)
		coordinator.outputs.add(&ConfigInForce{Version: version})
	}
}

// enforceLimits passes the limits of a configuration to the dispatcher in the tick in which it
// comes into force. A document that can't be read changes nothing.
func (coordinator *Coordinator) enforceLimits(document []byte) {
	if coordinator.LimitsOf == nil {
		return
	}
	if limits, readable := coordinator.LimitsOf(document); readable {
		coordinator.notifyDispatcher(&limits)
	}
}

// answerHistory requests the stored versions from the own keeper. A host without a keeper has only
// the version in force.
func (coordinator *Coordinator) answerHistory(wanted *ConfigHistoryWanted) {
	if coordinator.keeper != nil {
		coordinator.notifyKeeper(&keeper.HistoryRequested{Waiter: wanted.Waiter})
		return
	}
	history := &ConfigHistory{Waiter: wanted.Waiter}
	if inForce := coordinator.follower.InForce(); inForce.Version > 0 {
		history.Versions = []configurer.Version{inForce}
	}
	coordinator.outputs.add(history)
}
