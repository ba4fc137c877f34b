package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/replicator"
	"github.com/stoathitch/stoathitch/pkg/starter"
)

func (coordinator *Coordinator) apply(input Input) {
	switch input := input.(type) {
	case *PeerBatchArrived:
		for index := range input.Batch.Messages {
			coordinator.applyPeerMessage(input.From, &input.Batch.Messages[index])
		}
	case *PeerConnected:
		coordinator.connected[input.Host] = true
		coordinator.notifyGossiper(gossiper.PeerConnected{Host: input.Host})
		coordinator.notifyForwarder(&forwarder.LeadReconnected{Host: input.Host})
		coordinator.notifyDispatcher(&dispatcher.RemoteReconnected{Host: input.Host})
		coordinator.notifyDigester(&digester.Reconnected{Host: input.Host})
		coordinator.notifyStarter(&starter.PeerConnectionChanged{Host: input.Host, Connected: true})
		coordinator.sendReportsTo(input.Host)
		coordinator.cellPersister.exchangeWith(input.Host)
		coordinator.followerTracker.renotify(input.Host)
	case *PeerDisconnected:
		delete(coordinator.connected, input.Host)
		delete(coordinator.deadButConnected, input.Host)
		coordinator.notifyStarter(&starter.PeerConnectionChanged{Host: input.Host})
		coordinator.handleLeaverGone(input.Host)
		coordinator.followerTracker.changed = true
		coordinator.notifyGossiper(gossiper.PeerConnectionClosed{Host: input.Host})
	case *ServerEvent:
		coordinator.handleServerEvent(input.Event)
	case *CallerEvent:
		if coordinator.refuseSubmission(input.Event) {
			return
		}
		coordinator.toForwarder = append(coordinator.toForwarder, input.Event)
	case *StartEvent:
		coordinator.notifyStarter(input.Event)
	case *SupervisorEvent:
		coordinator.handleSupervisorEvent(input.Event)
	case *AllocatorEvent:
		coordinator.handleCallResult(input.Event)
	case *ServerReportAnnounced:
		coordinator.handleAnnouncedReport(&input.Report)
	case *InputsWaited:
		coordinator.observeWait(input.Wait)
	case *ShutdownRequested:
		coordinator.shutDown()
	default:
		coordinator.applyOperation(input)
	}
}

func (coordinator *Coordinator) handleServerEvent(event dispatcher.Input) {
	coordinator.notifyDispatcher(event)
	if _, lost := event.(*dispatcher.ServerLost); !lost {
		coordinator.recordServerContact()
	}
}

// shutDown begins a graceful shutdown: other hosts take the cells as fast as after a crash, and
// nothing is lost with them.
func (coordinator *Coordinator) shutDown() {
	coordinator.draining = true
	coordinator.notifyElector(elector.Resign{})
	coordinator.notifyForwarder(&forwarder.LeaveRequested{})
	coordinator.notifyGossiper(gossiper.LeaveRequested{})
	coordinator.notifyKeeper(&keeper.LogInput{Input: replicator.TransferRequested{}})
}

// applyOperation applies the inputs of the journal, of operators and of workers.
func (coordinator *Coordinator) applyOperation(input Input) {
	switch input := input.(type) {
	case *Restored:
		coordinator.notifyKeeper(&keeper.LogInput{Input: input.Restored})
	case *Persisted:
		coordinator.notifyKeeper(&keeper.LogInput{Input: replicator.Persisted{Sequence: input.Sequence}})
	case *SnapshotSaved:
		coordinator.notifyKeeper(&keeper.LogInput{Input: replicator.SnapshotSaved{Index: input.Index}})
	case *ConfigRestored:
		coordinator.notifyFollower(&configurer.VersionFetched{Version: input.Version})
	case *CellsRestored:
		coordinator.cellPersister.restore(input.Cells)
	case *OperatorRequest:
		coordinator.operatorRequests.begin(input)
	case *ConfigHistoryWanted:
		coordinator.answerHistory(input)
	case *ConfigWanted:
		coordinator.outputs.add(&ConfigAnswer{
			Waiter: input.Waiter, Known: coordinator.follower.KnowsVersion(coordinator.now), Version: coordinator.follower.InForce(),
		})
	case *ExplainWanted:
		steps := coordinator.Explain(input.Submission)
		coordinator.outputs.add(&ExplainAnswer{Waiter: input.Waiter, At: coordinator.now, Steps: steps})
	case *StatusWanted:
		coordinator.outputs.add(&StatusAnswer{Waiter: input.Waiter, Status: coordinator.status()})
	case *WorkerEvent:
		coordinator.intentDriver.handleWorkerEvent(input)
	}
}

func (coordinator *Coordinator) applyPeerMessage(from identifier.HostID, message *PeerMessage) {
	if coordinator.applyAllocationMessage(from, message) {
		return
	}
	switch {
	case message.Forward != nil:
		coordinator.receiveForward(from, message.Forward)
	case message.Answer != nil:
		coordinator.notifyForwarder(&forwarder.AnswerArrived{From: from, Answer: message.Answer})
	case message.AnswerReceipt != "":
		coordinator.receiveAnswerReceipt(from, message.AnswerReceipt)
	case message.SpillReceipt != "":
		coordinator.notifyDispatcher(&dispatcher.AnswerReplicated{Submission: message.SpillReceipt})
	case message.CopyRequest != nil:
		coordinator.notifyForwarder(&forwarder.CopiesRequested{From: from, Records: message.CopyRequest})
	case message.CopyReceipt != nil:
		coordinator.notifyForwarder(&forwarder.CopiesHeld{From: from, Submissions: message.CopyReceipt})
		coordinator.notifyDispatcher(&dispatcher.SpillRecorded{Submissions: message.CopyReceipt})
	case message.Load != nil:
		coordinator.notifyDispatcher(&dispatcher.LoadAnnounced{From: from, Notice: *message.Load})
	case message.Spill != nil:
		deadline := identifier.DeadlineFrom(coordinator.now, message.Spill.Remaining)
		coordinator.notifyDispatcher(&dispatcher.SpillArrived{
			From: from, Request: *message.Spill, Deadline: deadline, SenderNotLive: !coordinator.isLiving(from),
		})
	case message.SpillAnswer != nil:
		coordinator.notifyDispatcher(&dispatcher.SpillAnswered{From: from, Answer: message.SpillAnswer})
	case message.GuestQuery != nil:
		coordinator.notifyDispatcher(&dispatcher.GuestsQueried{From: from, Query: *message.GuestQuery})
	case message.GuestReply != nil:
		coordinator.receiveGuests(from, message.GuestReply)
	case message.AnswerCopy != nil:
		coordinator.notifyForwarder(&forwarder.AnswerCopyArrived{From: from, Copy: *message.AnswerCopy})
	case message.AnswerCopyReceipt != "":
		coordinator.notifyForwarder(&forwarder.AnswerCopyHeld{From: from, Submission: message.AnswerCopyReceipt})
	case message.AnswerRequest != nil:
		coordinator.notifyForwarder(&forwarder.AnswerRequested{Request: *message.AnswerRequest})
	case message.TakeoverQuery != nil:
		coordinator.notifyForwarder(&forwarder.TakeoverQueried{From: from, Query: *message.TakeoverQuery})
	case message.TakeoverReply != nil:
		coordinator.handovers.adopt(message.TakeoverReply.HandedOver)
		coordinator.notifyDispatcher(&dispatcher.TakeoverReplied{
			From: from, Reply: *message.TakeoverReply, HandedOver: coordinator.handovers.known(),
		})
		coordinator.notifyForwarder(&forwarder.TakeoverRecordsArrived{From: from, Partner: from, Records: message.TakeoverReply.Records})
	case message.LookupReply != nil:
		coordinator.notifyForwarder(&forwarder.LookupReplied{From: from, Reply: *message.LookupReply})
	case message.Replicas != nil:
		coordinator.notifyForwarder(&forwarder.ReplicasArrived{From: from, Replicas: message.Replicas})
		coordinator.notifyDispatcher(&dispatcher.RecordsReplicated{Replicas: message.Replicas})
	case message.ReplicaReceipt != nil:
		coordinator.notifyForwarder(&forwarder.ReplicasHeld{From: from, Receipt: *message.ReplicaReceipt})
	case message.Handover != nil:
		coordinator.handovers.handleNotice(from, *message.Handover)
	case message.HandoverReceipt:
		coordinator.handovers.handleReceipt(from)
	case message.LeadNotice != nil:
		coordinator.handleLeadNotice(from, *message.LeadNotice)
	case message.Lookup != nil:
		coordinator.notifyDispatcher(&dispatcher.LookupArrived{From: from, Lookup: *message.Lookup})
	case message.Cancel != nil:
		coordinator.notifyDispatcher(&dispatcher.CancelArrived{From: from, Cancel: *message.Cancel})
	case message.DigestBatch != nil, message.DigestQuery != nil, message.DigestReply != nil:
		coordinator.applyDigestMessage(from, message)
	default:
		coordinator.applyControlMessage(from, message)
	}
}

// applyControlMessage applies the messages of membership, keepers, intents and configuration.
func (coordinator *Coordinator) applyControlMessage(from identifier.HostID, message *PeerMessage) {
	switch {
	case message.Gossip != nil:
		coordinator.notifyGossiper(gossiper.MessageReceived{Message: *message.Gossip})
	case message.Log != nil:
		coordinator.notifyKeeper(&keeper.LogInput{Input: replicator.MessageArrived{From: from, Message: *message.Log}})
	case message.KeeperRequest != nil:
		coordinator.notifyKeeper(&keeper.RequestReceived{Request: *message.KeeperRequest})
	case message.KeeperReply != nil:
		coordinator.handleKeeperReply(message.KeeperReply)
	case message.IntentSync != nil:
		coordinator.intentPlanner.handleSync(from, message.IntentSync)
	case message.IntentUpdate != nil:
		coordinator.intentDriver.handleUpdate(message.IntentUpdate)
	case message.ConfigWanted:
		coordinator.notifyFollower(&configurer.VersionRequested{From: from})
	case message.Config != nil:
		coordinator.notifyFollower(&configurer.VersionFetched{From: from, Version: *message.Config})
	}
}

func (coordinator *Coordinator) notifyForwarder(input forwarder.Input) {
	coordinator.toForwarder = append(coordinator.toForwarder, input)
}

func (coordinator *Coordinator) notifyDispatcher(input dispatcher.Input) {
	coordinator.toDispatcher = append(coordinator.toDispatcher, input)
}

func (coordinator *Coordinator) acceptForward(from identifier.HostID, forward *messenger.Forward) {
	coordinator.keepRecord(from, from, forward)
	coordinator.notifyDispatcher(&dispatcher.JobForwarded{
		From:                 from,
		Job:                  forward.Job,
		Deadline:             identifier.DeadlineFrom(coordinator.now, forward.Remaining),
		MayHaveEarlierStarts: forward.MayHaveEarlierStarts,
		Age:                  forward.Age,
	})
}

// receiveGuests records which jobs of this host's home another failure domain has had. The
// forwarder keeps the records like those of a takeover: the next lead may query this host when it
// has none of its own.
func (coordinator *Coordinator) receiveGuests(from identifier.HostID, reply *messenger.GuestReply) {
	coordinator.notifyDispatcher(&dispatcher.GuestsListed{From: from, Reply: *reply})
	coordinator.notifyForwarder(&forwarder.TakeoverRecordsArrived{From: from, Partner: from, Records: reply.Records})
}

// receiveForward has a job from another failure domain recorded by a second host of this one before
// it may start.
func (coordinator *Coordinator) receiveForward(from identifier.HostID, forward *messenger.Forward) {
	if coordinator.inOwnDomain(from) {
		coordinator.acceptForward(from, forward)
		return
	}
	deadline := identifier.DeadlineFrom(coordinator.now, forward.Remaining)
	coordinator.notifyForwarder(&forwarder.JobRelayed{From: from, Forward: forward, Deadline: deadline})
}

// receiveAnswerReceipt records that the caller's host holds an answer. If that host belongs to
// another failure domain, only a copy at a host of this one counts.
func (coordinator *Coordinator) receiveAnswerReceipt(from identifier.HostID, submission identifier.SubmissionID) {
	if coordinator.inOwnDomain(from) || len(coordinator.livingIn(coordinator.Self.FailureDomain)) == 1 {
		coordinator.notifyDispatcher(&dispatcher.AnswerReplicated{Submission: submission})
	}
}

// keepRecord makes this host one of the two that know a submission for as long as it lives, whether
// or not it still leads the cell.
//
// The dispatcher drops its jobs when the lead is lost. Without the record, a lead that was deposed
// for a moment and takes the cell again would run a resubmitted job a second time.
func (coordinator *Coordinator) keepRecord(from, partner identifier.HostID, forward *messenger.Forward) {
	number := messenger.CellOf(forward.Job.Submission, coordinator.cells())
	lead, _ := coordinator.elector.Lead(coordinator.Self.FailureDomain, number)
	if from == coordinator.Self.Host || lead != coordinator.Self.Host {
		return
	}
	record := messenger.CopyRecord{
		Submission: forward.Job.Submission,
		Caller:     forward.Job.Caller,
		Job:        forward.Job.Job,
		Cell:       number,
		Age:        forward.Age,
		Remaining:  forward.Remaining,
	}
	coordinator.notifyForwarder(&forwarder.TakeoverRecordsArrived{
		From: coordinator.Self.Host, Partner: partner, Records: []messenger.CopyRecord{record},
	})
}

func (coordinator *Coordinator) routeForwarderOutput(output forwarder.Output) {
	self := coordinator.Self.Host
	switch output := output.(type) {
	case *forwarder.AnswerCaller:
		coordinator.outputs.add(&ToCaller{Answer: output})
	case *forwarder.ForwardJob:
		if output.To == self {
			coordinator.acceptForward(self, &output.Forward)
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{Forward: &output.Forward})
	case *forwarder.ConfirmAnswer:
		if output.To == self {
			coordinator.notifyDispatcher(&dispatcher.AnswerReplicated{Submission: output.Submission})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{AnswerReceipt: output.Submission})
	case *forwarder.SendAnswer:
		coordinator.send(output.To, PeerMessage{Answer: output.Answer})
	case *forwarder.ForwardCancel:
		if output.To == self {
			coordinator.notifyDispatcher(&dispatcher.CancelArrived{From: self, Cancel: output.Cancel})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{Cancel: &output.Cancel})
	case *forwarder.ForwardLookup:
		if output.To == self {
			coordinator.notifyDispatcher(&dispatcher.LookupArrived{From: self, Lookup: output.Lookup})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{Lookup: &output.Lookup})
	case *forwarder.PassJob:
		coordinator.keepRecord(output.From, output.Partner, &output.Forward)
		coordinator.notifyDispatcher(&dispatcher.JobForwarded{
			From: output.From, Job: output.Forward.Job, Deadline: output.Deadline,
			MayHaveEarlierStarts: output.Forward.MayHaveEarlierStarts, Age: output.Forward.Age,
		})
	case *forwarder.ReplyLookup:
		coordinator.send(output.To, PeerMessage{LookupReply: &output.Reply})
	case *forwarder.HolderAnswered:
		coordinator.notifyDispatcher(&dispatcher.ClaimHolderAnswered{Claimant: output.Claimant, Answer: output.Answer})
	case *forwarder.ReplyTakeover:
		output.Reply.HostsWithoutState = coordinator.dispatcher.HostsWithoutState(coordinator.now)
		output.Reply.MayLackState = coordinator.dispatcher.MayLackState(coordinator.now)
		output.Reply.HandedOver = coordinator.handovers.known()
		coordinator.dispatcher.AddSeenServers(&output.Reply)
		if output.To == self {
			coordinator.notifyDispatcher(&dispatcher.TakeoverReplied{From: self, Reply: output.Reply})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{TakeoverReply: &output.Reply})
	default:
		coordinator.sendForwarderOutput(output)
	}
}

// sendForwarderOutput sends outputs that are always for other hosts.
func (coordinator *Coordinator) sendForwarderOutput(output forwarder.Output) {
	switch output := output.(type) {
	case *forwarder.StoreCopies:
		coordinator.outputs.toPeer(output.To, PeerMessage{CopyRequest: output.Records})
	case *forwarder.ConfirmCopies:
		coordinator.outputs.toPeer(output.To, PeerMessage{CopyReceipt: output.Submissions})
	case *forwarder.StoreAnswerCopy:
		coordinator.outputs.toPeer(output.To, PeerMessage{AnswerCopy: &output.Copy})
	case *forwarder.ConfirmAnswerCopy:
		coordinator.outputs.toPeer(output.To, PeerMessage{AnswerCopyReceipt: output.Submission})
	case *forwarder.SendReplicas:
		coordinator.outputs.toPeer(output.To, PeerMessage{Replicas: output.Replicas})
	case *forwarder.ConfirmReplicas:
		coordinator.outputs.toPeer(output.To, PeerMessage{ReplicaReceipt: &output.Receipt})
	case *forwarder.SendLeadNotice:
		coordinator.outputs.toPeer(output.To, PeerMessage{LeadNotice: &output.Notice})
	}
}

// recordSpill has this host and a second one of the failure domain record where a job goes: the
// caller's host, which knows the job already, or else another. A host that is alone proceeds
// without the second.
func (coordinator *Coordinator) recordSpill(output *dispatcher.RecordSpill) {
	coordinator.notifyForwarder(&forwarder.JobSpilled{
		Submission: output.Record.Submission, To: output.Record.SpilledTo,
	})
	living := coordinator.livingIn(coordinator.Self.FailureDomain)
	others := func(host identifier.HostID) bool {
		return host != coordinator.Self.Host && slices.Contains(living, host)
	}
	index := slices.IndexFunc(output.Holders, others)
	holders := output.Holders
	if index < 0 {
		holders = living
		index = slices.IndexFunc(holders, others)
	}
	if index < 0 && coordinator.possiblyIsolated {
		// This host may be the one that is cut off; the job stays at home.
		return
	}
	if index < 0 {
		coordinator.notifyDispatcher(&dispatcher.SpillRecorded{Submissions: []identifier.SubmissionID{output.Record.Submission}})
		return
	}
	coordinator.outputs.toPeer(holders[index], PeerMessage{CopyRequest: []messenger.CopyRecord{output.Record}})
}

// send sends a message to a host, which may be this one.
func (coordinator *Coordinator) send(to identifier.HostID, message PeerMessage) {
	if to == coordinator.Self.Host {
		coordinator.applyPeerMessage(to, &message)
		return
	}
	coordinator.outputs.toPeer(to, message)
}

func (coordinator *Coordinator) routeDispatcherOutput(output dispatcher.Output) {
	self := coordinator.Self.Host
	switch output := output.(type) {
	case *dispatcher.ToServer:
		coordinator.outputs.add(&ToServer{Batch: output})
	case *dispatcher.JobAnswered:
		coordinator.notifyForwarder(&forwarder.AnswerSent{Answer: output.Answer})
		coordinator.send(output.To, PeerMessage{Answer: output.Answer})
	case *dispatcher.LookupAnswered:
		coordinator.send(output.To, PeerMessage{LookupReply: &output.Reply})
	case *dispatcher.ClaimHolderAnswerWanted:
		coordinator.notifyForwarder(&forwarder.ClaimHolderQueried{
			Claimant: output.Claimant, Caller: output.Caller, Holder: output.Holder, Home: output.Home,
		})
	case *dispatcher.ClaimReleased:
		coordinator.releaseClaim(output)
	case *dispatcher.AnswerReplicationRequested:
		coordinator.notifyForwarder(&forwarder.AnswerReplicationRequested{Submission: output.Submission})
	case *dispatcher.AnswerWanted:
		if output.Holder == self || !coordinator.reachable(output.Holder) {
			// What a lost host held has been copied, and the lead gets the copies first.
			coordinator.notifyForwarder(&forwarder.AnswerRequested{Request: output.Request})
			return
		}
		coordinator.outputs.toPeer(output.Holder, PeerMessage{AnswerRequest: &output.Request})
	case *dispatcher.ClaimWanted:
		coordinator.requestClaim(output)
	case *dispatcher.TakeoverWanted:
		if output.To == self {
			coordinator.notifyForwarder(&forwarder.TakeoverQueried{From: self, Query: output.Query})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{TakeoverQuery: &output.Query})
	case *dispatcher.RecordDigest:
		coordinator.notifyDigester(&digester.SubmissionRecorded{Submission: output.Submission, Kind: output.Kind})
	case *dispatcher.DigestsRequested:
		coordinator.notifyDigester(&digester.DigestsRequested{})
	case *dispatcher.AnnounceLoad:
		coordinator.outputs.toPeer(output.To, PeerMessage{Load: &output.Notice})
	case *dispatcher.RecordSpill:
		coordinator.recordSpill(output)
	case *dispatcher.SpillJob:
		coordinator.outputs.toPeer(output.To, PeerMessage{Spill: &output.Request})
	case *dispatcher.AnswerSpill:
		coordinator.outputs.toPeer(output.To, PeerMessage{SpillAnswer: output.Answer})
	case *dispatcher.ConfirmSpill:
		coordinator.outputs.toPeer(output.To, PeerMessage{SpillReceipt: output.Submission})
	case *dispatcher.CancelSpill:
		coordinator.outputs.toPeer(output.To, PeerMessage{Cancel: &output.Cancel})
	case *dispatcher.QueryGuests:
		coordinator.outputs.toPeer(output.To, PeerMessage{GuestQuery: &output.Query})
	case *dispatcher.AnswerGuestQuery:
		coordinator.outputs.toPeer(output.To, PeerMessage{GuestReply: &output.Reply})
	case *dispatcher.EpochSeen:
		coordinator.notifyElector(elector.EpochSeen{Cell: output.Cell, Epoch: output.Epoch})
	}
}
