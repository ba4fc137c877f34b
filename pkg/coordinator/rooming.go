package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// room is the ledger of one cell of the own failure domain. Cells divide the backend
// servers and the jobs, so that a lead has no more to do than one small host can.
type room struct {
	allocator *allocator.Allocator
	inputs    []allocator.Input
}

func newRooms(coordinator *Coordinator) []*room {
	rooms := make([]*room, coordinator.cells())
	for cell := range rooms {
		rooms[cell] = &room{allocator: &allocator.Allocator{

			FailureDomain: coordinator.Self.FailureDomain,
			Cell:          messenger.CellNumber(cell),
			Settings:      coordinator.Settings.Allocator,
		}}
	}
	return rooms
}

// cells is how many cells each failure domain has.
func (coordinator *Coordinator) cells() int { return max(coordinator.Settings.Dispatcher.Cells, 1) }

func (coordinator *Coordinator) roomsUnsettled() bool {
	return slices.ContainsFunc(coordinator.rooms, func(room *room) bool { return len(room.inputs) > 0 })
}

// fenceStep is what is added to an epoch that backend servers have refused. All hosts
// of a failure domain that start anew have forgotten the epochs before.
// A step of several takings passes what an ordinary day has used up in one go: steps
// of one cost 0.7 s each, and three of them after all hosts had been killed.
const fenceStep identifier.Epoch = 16 << hostBits

func (coordinator *Coordinator) tellSupervisor(input supervisor.Input) {
	coordinator.toSupervisor = append(coordinator.toSupervisor, input)
}

// tellAllocator tells the ledger of one cell. A cell that doesn't exist comes from a
// host with other settings.
func (coordinator *Coordinator) tellAllocator(cell messenger.CellNumber, input allocator.Input) {
	if int(cell) < len(coordinator.rooms) {
		room := coordinator.rooms[cell]
		room.inputs = append(room.inputs, input)
	}
}

// tellAllocators tells the ledgers of all cells.
func (coordinator *Coordinator) tellAllocators(input allocator.Input) {
	for cell := range coordinator.rooms {
		coordinator.tellAllocator(messenger.CellNumber(cell), input)
	}
}

// cellOfServer is the cell that a backend server belongs to.
func (coordinator *Coordinator) cellOfServer(server identifier.ServerIncarnation) messenger.CellNumber {
	return messenger.CellOfServer(server.Server(), coordinator.cells())
}

// hearCalledServer takes the answer of a backend server that was called. An answer
// proves that this host isn't cut off from it.
func (coordinator *Coordinator) hearCalledServer(event allocator.Input) {
	switch event := event.(type) {
	case *allocator.HoldReturned:
		coordinator.tellAllocator(coordinator.cellOfServer(event.Server), event)
		if event.Outcome == allocator.CallAnswered {
			coordinator.proveContact()
		}
	case *allocator.StopReturned:
		coordinator.tellAllocator(coordinator.cellOfServer(event.Server), event)
	}
}

// announceCard takes what a backend server says about itself, and passes it to the
// lead of its failure domain, or to every host there while nobody leads.
func (coordinator *Coordinator) announceCard(card *messenger.ServerCard) {
	cell := coordinator.cellOfServer(card.Server)
	if card.FailureDomain == coordinator.Self.FailureDomain {
		coordinator.tellAllocator(cell, &allocator.CardArrived{Card: *card})
		coordinator.proveContact()
	}
	lead, _ := coordinator.elector.Lead(card.FailureDomain, cell)
	if lead != "" {
		coordinator.sendCards(lead, []messenger.ServerCard{*card})
		return
	}
	for _, host := range coordinator.entryHosts(coordinator.livingIn(card.FailureDomain)) {
		coordinator.sendCards(host, []messenger.ServerCard{*card})
	}
}

// takeCard takes a card from another host. One that only keeps the log may not know
// how many cells this failure domain has; its card is passed on to the right lead.
func (coordinator *Coordinator) takeCard(from identifier.HostID, card *messenger.ServerCard) {
	if state, known := coordinator.gossiper.State(from); known && !slices.Contains(state.Member.Roles, gossiper.RoleEntry) {
		coordinator.announceCard(card)
		return
	}
	coordinator.tellAllocator(coordinator.cellOfServer(card.Server), &allocator.CardArrived{Card: *card})
}

func (coordinator *Coordinator) sendCards(to identifier.HostID, cards []messenger.ServerCard) {
	if to != coordinator.Self.Host && len(cards) > 0 {
		coordinator.outputs.toPeer(to, PeerMessage{ServerCards: cards})
	}
}

// learnLead tells who leads a failure domain.
func (coordinator *Coordinator) learnLead(notice messenger.LeadNotice) {
	cell := messenger.CellRef{FailureDomain: notice.FailureDomain, Cell: notice.Cell}
	coordinator.tellSupervisor(&supervisor.LeadKnown{Cell: cell, Host: notice.Host, Epoch: notice.Epoch})
	coordinator.tellAllocators(&allocator.RemoteLeadKnown{Cell: cell, Host: notice.Host})
	coordinator.following.learn(notice)
	coordinator.outputs.add(&LeadKnown{Notice: notice})
}

func (coordinator *Coordinator) takeRoomLead(taken elector.LeadTaken) {
	coordinator.tellAllocator(taken.Cell, &allocator.LeadTaken{Epoch: taken.Epoch})
	coordinator.remembering.change(taken.Cell)
}

func (coordinator *Coordinator) loseRoomLead(lost elector.LeadLost) {
	coordinator.tellAllocator(lost.Cell, &allocator.LeadLost{})
}

// shareCardsWith tells a host of the own failure domain, to which a connection stands
// now, which backend servers there are. What was sent before may have been lost with
// an older connection.
func (coordinator *Coordinator) shareCardsWith(host identifier.HostID) {
	if !coordinator.ownDomain(host) {
		return
	}
	for _, room := range coordinator.rooms {
		if room.allocator.Leads() {
			coordinator.sendCards(host, room.allocator.Cards())
		}
	}
}

// changeRoomHost follows a host whose callers' jobs may have room here. A leaving host
// still answers its callers; it is gone when its connection ends.
func (coordinator *Coordinator) changeRoomHost(state gossiper.State, restarted bool) {
	host := state.Member.Host
	if restarted || state.Status == gossiper.StatusDead {
		coordinator.tellAllocators(&allocator.HostGone{Host: host})
	}
	if state.Status == gossiper.StatusAlive {
		coordinator.shareCardsWith(host)
		coordinator.remembering.meet(host)
	}
}

func (coordinator *Coordinator) settleRooming() {
	now := coordinator.now
	tickPart(now, coordinator.supervisor, &coordinator.toSupervisor, coordinator.routeSupervisorOutput)
	tickPart(now, coordinator.starter, &coordinator.toStarter, coordinator.routeStarterOutput)
	tickPart(now, coordinator.inquirer, &coordinator.toInquirer, coordinator.routeInquirerOutput)
	for cell, room := range coordinator.rooms {
		tickPart(now, room.allocator, &room.inputs, func(output allocator.Output) {
			coordinator.routeAllocatorOutput(messenger.CellNumber(cell), output)
		})
	}
}

// applyRoomMessage applies a message about room, and tells whether it was one.
func (coordinator *Coordinator) applyRoomMessage(from identifier.HostID, message *PeerMessage) bool {
	switch {
	case message.RoomRequest != nil:
		coordinator.requestRoom(from, message.RoomRequest)
	case message.RoomRelease != nil:
		coordinator.releaseRoom(from, message.RoomRelease)
	case message.StartReport != nil:
		coordinator.tellAllocator(message.StartReport.Cell, &allocator.StartReported{From: from, Report: *message.StartReport})
	case message.Grant != nil:
		coordinator.tellSupervisor(&supervisor.GrantArrived{From: from, Grant: *message.Grant})
	case message.RoomAnswer != nil:
		coordinator.tellSupervisor(&supervisor.AnswerArrived{From: from, Answer: *message.RoomAnswer})
	case message.TaskDone != nil:
		coordinator.tellSupervisor(&supervisor.DoneArrived{From: from, Done: *message.TaskDone})
	case message.RoomNotice != nil:
		coordinator.tellAllocators(&allocator.NoticeArrived{Notice: *message.RoomNotice})
	case message.CellMemory != nil:
		coordinator.remembering.take(message.CellMemory)
	case message.StartOrder != nil:
		coordinator.tellStarter(&starter.OrderArrived{From: from, Order: *message.StartOrder})
	case message.StartResult != nil:
		coordinator.tellStarter(&starter.ResultArrived{From: from, Result: *message.StartResult})
	case message.JobInquiry != nil:
		coordinator.takeInquiry(from, message.JobInquiry)
	case message.JobInquiryReply != nil:
		coordinator.tellInquirer(&inquirer.ReplyArrived{From: from, Reply: *message.JobInquiryReply})
	case message.JobElsewhere != nil:
		coordinator.noteElsewhere(from, message.JobElsewhere)
	case message.LeadFollowed != nil:
		coordinator.following.take(from, message.LeadFollowed)
	case message.ServerCards != nil:
		for index := range message.ServerCards {
			coordinator.takeCard(from, &message.ServerCards[index])
		}
	default:
		return false
	}
	return true
}

func (coordinator *Coordinator) routeSupervisorOutput(output supervisor.Output) {
	switch output := output.(type) {
	case *supervisor.AskRoom:
		coordinator.send(output.To, PeerMessage{RoomRequest: &output.Request})
	case *supervisor.ReleaseRoom:
		coordinator.send(output.To, PeerMessage{RoomRelease: &output.Release})
	case *supervisor.ReportStart:
		coordinator.send(output.To, PeerMessage{StartReport: &output.Report})
	case *supervisor.StartRun:
		coordinator.tellStarter(&starter.RunWanted{Start: output})
	case *supervisor.JobEnded:
		coordinator.outputs.add(&JobEnded{Ended: output})
	case *supervisor.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}

func (coordinator *Coordinator) tellStarter(input starter.Input) {
	coordinator.toStarter = append(coordinator.toStarter, input)
}

func (coordinator *Coordinator) routeStarterOutput(output starter.Output) {
	switch output := output.(type) {
	case *starter.CallServer:
		coordinator.outputs.add(&CallStart{Call: output.Start, For: output.For, Connections: output.Connections})
	case *starter.SendOrder:
		coordinator.outputs.toPeer(output.To, PeerMessage{StartOrder: &output.Order})
	case *starter.SendResult:
		coordinator.outputs.toPeer(output.To, PeerMessage{StartResult: &output.Result})
	case *starter.StartDone:
		coordinator.tellSupervisor(&output.Returned)
	}
}

func (coordinator *Coordinator) routeAllocatorOutput(cell messenger.CellNumber, output allocator.Output) {
	switch output := output.(type) {
	case *allocator.GrantRoom:
		coordinator.send(output.To, PeerMessage{Grant: &output.Grant})
	case *allocator.AnswerRoom:
		coordinator.send(output.To, PeerMessage{RoomAnswer: &output.Answer})
	case *allocator.TellDone:
		coordinator.send(output.To, PeerMessage{TaskDone: &output.Done})
	default:
		coordinator.routeAllocatorCall(cell, output)
	}
}

func (coordinator *Coordinator) routeAllocatorCall(cell messenger.CellNumber, output allocator.Output) {
	switch output := output.(type) {
	case *allocator.TellNotice:
		coordinator.send(output.To, PeerMessage{RoomNotice: &output.Notice})
	case *allocator.HoldServer:
		coordinator.outputs.add(&CallHold{Call: output})
	case *allocator.StopRun:
		coordinator.outputs.add(&CallStop{Call: output})
	case *allocator.Fenced:
		coordinator.tellElector(elector.EpochSeen{Cell: cell, Epoch: output.Epoch + fenceStep})
	case *allocator.ShareCard:
		coordinator.remembering.change(cell)
		for _, host := range coordinator.entryHosts(coordinator.livingIn(coordinator.Self.FailureDomain)) {
			coordinator.sendCards(host, []messenger.ServerCard{output.Card})
		}
	case *allocator.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}
