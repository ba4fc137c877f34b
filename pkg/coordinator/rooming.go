package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// roomCell is the cell whose lead grants room. The room of a failure domain is one
// ledger: divided into cells, a wide job would no longer fit into one of them.
const roomCell messenger.CellNumber = 0

// fenceStep is what is added to an epoch that backend servers have refused. All hosts
// of a failure domain that start anew have forgotten the epochs before.
// A step of several takings passes what an ordinary day has used up in one go: steps
// of one cost 0.7 s each, and three of them after all hosts had been killed.
const fenceStep identifier.Epoch = 16 << hostBits

func (coordinator *Coordinator) tellSupervisor(input supervisor.Input) {
	coordinator.toSupervisor = append(coordinator.toSupervisor, input)
}

func (coordinator *Coordinator) tellAllocator(input allocator.Input) {
	coordinator.toAllocator = append(coordinator.toAllocator, input)
}

// hearCalledServer takes the answer of a backend server that was called. An answer
// proves that this host isn't cut off from it.
func (coordinator *Coordinator) hearCalledServer(event allocator.Input) {
	coordinator.tellAllocator(event)
	if returned, isHold := event.(*allocator.HoldReturned); isHold && returned.Outcome == allocator.CallAnswered {
		coordinator.proveContact()
	}
}

// announceCard takes what a backend server says about itself, and passes it to the
// lead of its failure domain, or to every host there while nobody leads.
func (coordinator *Coordinator) announceCard(card *messenger.ServerCard) {
	coordinator.tellAllocator(&allocator.CardArrived{Card: *card})
	if card.FailureDomain == coordinator.Self.FailureDomain {
		coordinator.proveContact()
	}
	lead, _ := coordinator.elector.Lead(card.FailureDomain, identifier.CellID(roomCell))
	if lead != "" {
		coordinator.sendCards(lead, []messenger.ServerCard{*card})
		return
	}
	for _, host := range coordinator.entryHosts(coordinator.livingIn(card.FailureDomain)) {
		coordinator.sendCards(host, []messenger.ServerCard{*card})
	}
}

func (coordinator *Coordinator) sendCards(to identifier.HostID, cards []messenger.ServerCard) {
	if to != coordinator.Self.Host && len(cards) > 0 {
		coordinator.outputs.toPeer(to, PeerMessage{ServerCards: cards})
	}
}

// learnLead tells who leads a failure domain.
func (coordinator *Coordinator) learnLead(notice messenger.LeadNotice) {
	if notice.Cell != roomCell {
		return
	}
	coordinator.tellSupervisor(&supervisor.LeadKnown{FailureDomain: notice.FailureDomain, Host: notice.Host, Epoch: notice.Epoch})
	coordinator.tellAllocator(&allocator.RemoteLeadKnown{FailureDomain: notice.FailureDomain, Host: notice.Host})
	coordinator.outputs.add(&LeadKnown{Notice: notice})
}

func (coordinator *Coordinator) takeRoomLead(taken elector.LeadTaken) {
	if taken.Cell == roomCell {
		coordinator.tellAllocator(&allocator.LeadTaken{Epoch: taken.Epoch})
	}
}

func (coordinator *Coordinator) loseRoomLead(lost elector.LeadLost) {
	if lost.Cell == roomCell {
		coordinator.tellAllocator(&allocator.LeadLost{})
	}
}

// shareCardsWith tells a host of the own failure domain, to which a connection stands
// now, which backend servers there are. What was sent before may have been lost with
// an older connection.
func (coordinator *Coordinator) shareCardsWith(host identifier.HostID) {
	if coordinator.allocator.Leads() && coordinator.ownDomain(host) {
		coordinator.sendCards(host, coordinator.allocator.Cards())
	}
}

// changeRoomHost follows a host whose callers' jobs may have room here. A leaving host
// still answers its callers; it is gone when its connection ends.
func (coordinator *Coordinator) changeRoomHost(state gossiper.State, restarted bool) {
	host := state.Member.Host
	if restarted || state.Status == gossiper.StatusDead {
		coordinator.tellAllocator(&allocator.HostGone{Host: host})
	}
	if state.Status == gossiper.StatusAlive {
		coordinator.shareCardsWith(host)
	}
}

func (coordinator *Coordinator) settleRooming() {
	now := coordinator.now
	tickPart(now, coordinator.supervisor, &coordinator.toSupervisor, coordinator.routeSupervisorOutput)
	tickPart(now, coordinator.allocator, &coordinator.toAllocator, coordinator.routeAllocatorOutput)
}

// applyRoomMessage applies a message about room, and tells whether it was one.
func (coordinator *Coordinator) applyRoomMessage(from identifier.HostID, message *PeerMessage) bool {
	switch {
	case message.RoomRequest != nil:
		coordinator.tellAllocator(&allocator.RoomRequested{From: from, Request: *message.RoomRequest})
	case message.RoomRelease != "":
		coordinator.tellAllocator(&allocator.RoomReleased{From: from, Job: message.RoomRelease})
	case message.StartReport != nil:
		coordinator.tellAllocator(&allocator.StartReported{From: from, Report: *message.StartReport})
	case message.Grant != nil:
		coordinator.tellSupervisor(&supervisor.GrantArrived{From: from, Grant: *message.Grant})
	case message.RoomAnswer != nil:
		coordinator.tellSupervisor(&supervisor.AnswerArrived{From: from, Answer: *message.RoomAnswer})
	case message.TaskDone != nil:
		coordinator.tellSupervisor(&supervisor.DoneArrived{From: from, Done: *message.TaskDone})
	case message.RoomNotice != nil:
		coordinator.tellAllocator(&allocator.NoticeArrived{Notice: *message.RoomNotice})
	case message.ServerCards != nil:
		for index := range message.ServerCards {
			coordinator.tellAllocator(&allocator.CardArrived{Card: message.ServerCards[index]})
		}
	default:
		return false
	}
	return true
}

func (coordinator *Coordinator) routeSupervisorOutput(output supervisor.Output) {
	self := coordinator.Self.Host
	switch output := output.(type) {
	case *supervisor.AskRoom:
		if output.To == self {
			coordinator.tellAllocator(&allocator.RoomRequested{From: self, Request: output.Request})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{RoomRequest: &output.Request})
	case *supervisor.ReleaseRoom:
		if output.To == self {
			coordinator.tellAllocator(&allocator.RoomReleased{From: self, Job: output.Job})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{RoomRelease: output.Job})
	case *supervisor.ReportStart:
		if output.To == self {
			coordinator.tellAllocator(&allocator.StartReported{From: self, Report: output.Report})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{StartReport: &output.Report})
	case *supervisor.StartRun:
		coordinator.outputs.add(&CallStart{Call: output})
	case *supervisor.JobEnded:
		coordinator.outputs.add(&JobEnded{Ended: output})
	case *supervisor.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}

func (coordinator *Coordinator) routeAllocatorOutput(output allocator.Output) {
	self := coordinator.Self.Host
	switch output := output.(type) {
	case *allocator.GrantRoom:
		if output.To == self {
			coordinator.tellSupervisor(&supervisor.GrantArrived{From: self, Grant: output.Grant})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{Grant: &output.Grant})
	case *allocator.AnswerRoom:
		if output.To == self {
			coordinator.tellSupervisor(&supervisor.AnswerArrived{From: self, Answer: output.Answer})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{RoomAnswer: &output.Answer})
	case *allocator.TellDone:
		if output.To == self {
			coordinator.tellSupervisor(&supervisor.DoneArrived{From: self, Done: output.Done})
			return
		}
		coordinator.outputs.toPeer(output.To, PeerMessage{TaskDone: &output.Done})
	default:
		coordinator.routeAllocatorCall(output)
	}
}

func (coordinator *Coordinator) routeAllocatorCall(output allocator.Output) {
	switch output := output.(type) {
	case *allocator.TellNotice:
		coordinator.outputs.toPeer(output.To, PeerMessage{RoomNotice: &output.Notice})
	case *allocator.HoldServer:
		coordinator.outputs.add(&CallHold{Call: output})
	case *allocator.StopRun:
		coordinator.outputs.add(&CallStop{Call: output})
	case *allocator.Fenced:
		coordinator.tellElector(elector.EpochSeen{Cell: identifier.CellID(roomCell), Epoch: output.Epoch + fenceStep})
	case *allocator.ShareCard:
		for _, host := range coordinator.entryHosts(coordinator.livingIn(coordinator.Self.FailureDomain)) {
			coordinator.sendCards(host, []messenger.ServerCard{output.Card})
		}
	case *allocator.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}
