package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

func (coordinator *Coordinator) apply(input Input) {
	switch input := input.(type) {
	case *PeerBatchArrived:
		for index := range input.Batch.Messages {
			coordinator.applyPeerMessage(input.From, &input.Batch.Messages[index])
		}
	case *PeerConnected:
		coordinator.tellGossiper(gossiper.PeerConnected{Host: input.Host})
	case *PeerDisconnected:
		coordinator.tellGossiper(gossiper.PeerConnectionClosed{Host: input.Host})
	case *ServerEvent:
		coordinator.hearServer(input.Event)
	case *CallerEvent:
		coordinator.toForwarder = append(coordinator.toForwarder, input.Event)
	case *ShutdownRequested:
		coordinator.shutDown()
	default:
		coordinator.applyOperation(input)
	}
}

func (coordinator *Coordinator) hearServer(event dispatcher.Input) {
	coordinator.tellDispatcher(event)
	if _, lost := event.(*dispatcher.ServerLost); !lost {
		coordinator.tellElector(elector.ServerHeard{})
	}
}

// shutDown begins a graceful shutdown: the cells go to other hosts, which take no
// longer than after a loss, and nothing is lost with them.
func (coordinator *Coordinator) shutDown() {
	coordinator.draining = true
	coordinator.tellElector(elector.Resign{})
	coordinator.tellGossiper(gossiper.LeaveRequested{})
	coordinator.tellKeeper(&keeper.ToLog{Input: replicator.TransferRequested{}})
}

// applyOperation applies the inputs of the journal and of operators.
func (coordinator *Coordinator) applyOperation(input Input) {
	switch input := input.(type) {
	case *Restored:
		coordinator.tellKeeper(&keeper.ToLog{Input: input.Restored})
	case *Persisted:
		coordinator.tellKeeper(&keeper.ToLog{Input: replicator.Persisted{Sequence: input.Sequence}})
	case *SnapshotSaved:
		coordinator.tellKeeper(&keeper.ToLog{Input: replicator.SnapshotSaved{Index: input.Index}})
	case *OperatorRequest:
		coordinator.petitions.begin(input)
	case *ConfigHistoryWanted:
		coordinator.answerHistory(input)
	case *ConfigWanted:
		coordinator.outputs.add(&ConfigAnswer{Waiter: input.Waiter, Version: coordinator.follower.InForce()})
	case *StatusWanted:
		coordinator.outputs.add(&StatusAnswer{Waiter: input.Waiter, Status: coordinator.status()})
	}
}

func (coordinator *Coordinator) applyPeerMessage(from identifier.HostID, message *PeerMessage) {
	switch {
	case message.Forward != nil:
		coordinator.acceptForward(from, message.Forward)
	case message.Answer != nil:
		coordinator.tellForwarder(&forwarder.AnswerArrived{From: from, Answer: message.Answer})
	case message.AnswerReceipt != "":
		coordinator.tellDispatcher(&dispatcher.AnswerHeld{Submission: message.AnswerReceipt})
	case message.CopyRequest != nil:
		coordinator.tellForwarder(&forwarder.CopiesWanted{From: from, Records: message.CopyRequest})
	case message.CopyReceipt != nil:
		coordinator.tellForwarder(&forwarder.CopiesHeld{From: from, Submissions: message.CopyReceipt})
	case message.AnswerCopy != nil:
		coordinator.tellForwarder(&forwarder.AnswerCopyArrived{From: from, Answer: message.AnswerCopy})
	case message.AnswerCopyReceipt != "":
		coordinator.tellForwarder(&forwarder.AnswerCopyHeld{Submission: message.AnswerCopyReceipt})
	case message.AnswerRequest != nil:
		coordinator.tellForwarder(&forwarder.AnswerRequested{Request: *message.AnswerRequest})
	case message.TakeoverQuery != nil:
		coordinator.tellForwarder(&forwarder.TakeoverQueried{From: from, Query: *message.TakeoverQuery})
	case message.TakeoverReply != nil:
		coordinator.tellDispatcher(&dispatcher.TakeoverReplied{From: from, Reply: *message.TakeoverReply})
	case message.LeadNotice != nil:
		coordinator.noticeLead(from, *message.LeadNotice)
	case message.Lookup != nil:
		coordinator.tellDispatcher(&dispatcher.LookupArrived{From: from, Lookup: *message.Lookup})
	case message.Cancel != nil:
		coordinator.tellDispatcher(&dispatcher.CancelArrived{From: from, Cancel: *message.Cancel})
	default:
		coordinator.applyControlMessage(from, message)
	}
}

// applyControlMessage applies the messages of membership, keepers and
// configuration.
func (coordinator *Coordinator) applyControlMessage(from identifier.HostID, message *PeerMessage) {
	switch {
	case message.Gossip != nil:
		coordinator.tellGossiper(gossiper.MessageReceived{Message: *message.Gossip})
	case message.Log != nil:
		coordinator.tellKeeper(&keeper.ToLog{Input: replicator.MessageArrived{From: from, Message: *message.Log}})
	case message.KeeperRequest != nil:
		coordinator.tellKeeper(&keeper.Requested{Request: *message.KeeperRequest})
	case message.KeeperReply != nil:
		coordinator.takeReply(message.KeeperReply)
	case message.ConfigWanted:
		coordinator.tellFollower(&configurer.VersionRequested{From: from})
	case message.Config != nil:
		coordinator.tellFollower(&configurer.VersionFetched{Version: *message.Config})
	}
}

func (coordinator *Coordinator) tellForwarder(input forwarder.Input) {
	coordinator.toForwarder = append(coordinator.toForwarder, input)
}

func (coordinator *Coordinator) tellDispatcher(input dispatcher.Input) {
	coordinator.toDispatcher = append(coordinator.toDispatcher, input)
}

func (coordinator *Coordinator) acceptForward(from identifier.HostID, forward *messenger.Forward) {
	coordinator.tellDispatcher(&dispatcher.JobForwarded{
		From:     from,
		Job:      forward.Job,
		Deadline: identifier.DeadlineFrom(coordinator.now, forward.Remaining),
		Again:    forward.Again,
		Age:      forward.Age,
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
	case *forwarder.HoldCopies:
		coordinator.outputs.toPeer(output.To, PeerMessage{CopyRequest: output.Records})
	case *forwarder.ConfirmCopies:
		coordinator.outputs.toPeer(output.To, PeerMessage{CopyReceipt: output.Submissions})
	case *forwarder.ConfirmAnswer:
		if output.To == self {
			coordinator.tellDispatcher(&dispatcher.AnswerHeld{Submission: output.Submission})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{AnswerReceipt: output.Submission})
	case *forwarder.HoldAnswer:
		coordinator.outputs.toPeer(output.To, PeerMessage{AnswerCopy: output.Answer})
	case *forwarder.ConfirmAnswerCopy:
		coordinator.outputs.toPeer(output.To, PeerMessage{AnswerCopyReceipt: output.Submission})
	case *forwarder.SendAnswer:
		coordinator.sendAnswer(output.To, output.Answer)
	case *forwarder.ForwardCancel:
		if output.To == self {
			coordinator.tellDispatcher(&dispatcher.CancelArrived{From: self, Cancel: output.Cancel})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{Cancel: &output.Cancel})
	case *forwarder.ForwardLookup:
		if output.To == self {
			coordinator.tellDispatcher(&dispatcher.LookupArrived{From: self, Lookup: output.Lookup})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{Lookup: &output.Lookup})
	case *forwarder.ReplyTakeover:
		if output.To == self {
			coordinator.tellDispatcher(&dispatcher.TakeoverReplied{From: self, Reply: output.Reply})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{TakeoverReply: &output.Reply})
	}
}

func (coordinator *Coordinator) sendAnswer(to identifier.HostID, answer *messenger.JobAnswer) {
	if to == coordinator.Self.Host {
		coordinator.tellForwarder(&forwarder.AnswerArrived{From: to, Answer: answer})
		return
	}
	coordinator.outputs.toPeer(to, PeerMessage{Answer: answer})
}

func (coordinator *Coordinator) routeDispatcherOutput(output dispatcher.Output) {
	self := coordinator.Self.Host
	switch output := output.(type) {
	case *dispatcher.ToServer:
		coordinator.outputs.add(&ToServer{Batch: output})
	case *dispatcher.JobAnswered:
		coordinator.sendAnswer(output.To, output.Answer)
	case *dispatcher.AnswerWanted:
		if output.Holder == self {
			coordinator.tellForwarder(&forwarder.AnswerRequested{Request: output.Request})
			return
		}
		coordinator.outputs.toPeer(output.Holder, PeerMessage{AnswerRequest: &output.Request})
	case *dispatcher.ClaimWanted:
		coordinator.claim(output)
	case *dispatcher.TakeoverWanted:
		if output.To == self {
			coordinator.tellForwarder(&forwarder.TakeoverQueried{From: self, Query: output.Query})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{TakeoverQuery: &output.Query})
	case *dispatcher.EpochSeen:
		coordinator.tellElector(elector.EpochSeen{Cell: output.Cell, Epoch: output.Epoch})
	}
}
