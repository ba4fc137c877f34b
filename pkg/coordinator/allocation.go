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

// cellAllocator is the allocator of one cell of the own failure domain, with its queued inputs.
// Cells divide the backend servers and the jobs, so that one small host can handle the work of a
// lead.
type cellAllocator struct {
	allocator *allocator.Allocator
	inputs    []allocator.Input
}

func newAllocators(coordinator *Coordinator) []*cellAllocator {
	allocators := make([]*cellAllocator, coordinator.cells())
	for cell := range allocators {
		allocators[cell] = &cellAllocator{allocator: &allocator.Allocator{

			FailureDomain: coordinator.Self.FailureDomain,
			Cell:          messenger.CellNumber(cell),
			Settings:      coordinator.Settings.Allocator,
		}}
	}
	return allocators
}

func (coordinator *Coordinator) allocatorsHavePendingInputs() bool {
	return slices.ContainsFunc(coordinator.allocators, func(cellAllocator *cellAllocator) bool { return len(cellAllocator.inputs) > 0 })
}

// fenceStep is added to an epoch that backend servers have rejected. When all hosts of a failure
// domain restart, they have lost the earlier epochs. A step of 16 takings passes those of an
// ordinary day at once. Steps of one taking cost 0.7 s each, and three of them were needed after
// all hosts had been killed.
const fenceStep identifier.Epoch = 16 << hostBits

func (coordinator *Coordinator) notifySupervisor(input supervisor.Input) {
	coordinator.toSupervisor = append(coordinator.toSupervisor, input)
}

// notifyAllocator queues an input for the allocator of one cell. A message for a cell that doesn't
// exist comes from a host with other settings and is ignored.
func (coordinator *Coordinator) notifyAllocator(cell messenger.CellNumber, input allocator.Input) {
	if int(cell) < len(coordinator.allocators) {
		cellAllocator := coordinator.allocators[cell]
		cellAllocator.inputs = append(cellAllocator.inputs, input)
	}
}

// notifyAllocators queues an input for the allocators of all cells.
func (coordinator *Coordinator) notifyAllocators(input allocator.Input) {
	for cell := range coordinator.allocators {
		coordinator.notifyAllocator(messenger.CellNumber(cell), input)
	}
}

// cellOfServer returns the cell that a backend server belongs to.
func (coordinator *Coordinator) cellOfServer(server identifier.ServerIncarnation) messenger.CellNumber {
	return messenger.CellOfServer(server.Server(), coordinator.cells())
}

// handleCallResult processes the response of a backend server that was called. An answered poll
// proves that this host isn't cut off from it.
func (coordinator *Coordinator) handleCallResult(event allocator.Input) {
	switch event := event.(type) {
	case *allocator.PollReturned:
		coordinator.notifyAllocator(coordinator.cellOfServer(event.Server), event)
		if event.Outcome == allocator.CallAnswered {
			coordinator.recordServerContact()
		}
	case *allocator.StopReturned:
		coordinator.notifyAllocator(coordinator.cellOfServer(event.Server), event)
	}
}

// handleAnnouncedReport processes the report that a backend server sent to this host, and passes it
// to the lead of the server's cell, or to every entry host of its failure domain while nobody
// leads. A server doesn't state its speed.
func (coordinator *Coordinator) handleAnnouncedReport(announced *messenger.ServerReport) {
	report := withoutSpeed(announced)
	if report.FailureDomain == coordinator.Self.FailureDomain {
		coordinator.receiveReport(*report, false)
		coordinator.recordServerContact()
	}
	if lead := coordinator.leadOfServer(report); lead != "" {
		coordinator.sendReports(lead, []messenger.ServerReport{*report})
		return
	}
	for _, host := range coordinator.entryHostsIn(report.FailureDomain) {
		coordinator.sendReports(host, []messenger.ServerReport{*report})
	}
}

// leadOfServer returns the lead of a backend server's cell, or "" if the lead or the layout of the
// failure domain is unknown.
func (coordinator *Coordinator) leadOfServer(report *messenger.ServerReport) identifier.HostID {
	cells := coordinator.cellsIn(report.FailureDomain)
	if cells == 0 {
		return ""
	}
	lead, _ := coordinator.elector.Lead(report.FailureDomain, messenger.CellOfServer(report.Server.Server(), cells))
	return lead
}

// handlePeerReport processes a server report from another host. A host that only keeps the log may
// not know how many cells this failure domain has, so its report is passed on to the right lead. The
// speed in a report counts only if the lead of the server's cell has sent it.
func (coordinator *Coordinator) handlePeerReport(from identifier.HostID, report *messenger.ServerReport) {
	if state, known := coordinator.gossiper.State(from); known && !slices.Contains(state.Member.Roles, gossiper.RoleEntry) {
		coordinator.handleAnnouncedReport(report)
		return
	}
	if coordinator.leadOfServer(report) != from {
		report = withoutSpeed(report)
	}
	coordinator.receiveReport(*report, false)
}

// withoutSpeed returns a copy of a report that states no speed.
func withoutSpeed(report *messenger.ServerReport) *messenger.ServerReport {
	stripped := *report
	stripped.Speed = 0
	return &stripped
}

func (coordinator *Coordinator) sendReports(to identifier.HostID, reports []messenger.ServerReport) {
	if to != coordinator.Self.Host && len(reports) > 0 {
		coordinator.outputs.toPeer(to, PeerMessage{ServerReports: reports})
	}
}

// handleLeadKnown announces who leads a cell of a failure domain.
func (coordinator *Coordinator) handleLeadKnown(notice messenger.LeadNotice) {
	cell := messenger.CellRef{FailureDomain: notice.FailureDomain, Cell: notice.Cell}
	coordinator.notifySupervisor(&supervisor.LeadChanged{Cell: cell, Host: notice.Host, Epoch: notice.Epoch})
	coordinator.notifyAllocators(&allocator.RemoteLeadChanged{Cell: cell, Host: notice.Host})
	coordinator.followerTracker.handleLeadKnown(notice)
	coordinator.outputs.add(&LeadKnown{Notice: notice})
}

func (coordinator *Coordinator) handleAllocatorLeadTaken(taken elector.LeadTaken) {
	coordinator.notifyAllocator(taken.Cell, &allocator.LeadTaken{Epoch: taken.Epoch})
	coordinator.cellPersister.handleLeadTaken(taken.Cell)
}

func (coordinator *Coordinator) handleAllocatorLeadLost(lost elector.LeadLost) {
	coordinator.notifyAllocator(lost.Cell, &allocator.LeadLost{})
}

// sendReportsTo sends the server reports of the own cells to a newly connected host of the own
// failure domain. Earlier ones may have been lost with an older connection.
func (coordinator *Coordinator) sendReportsTo(host identifier.HostID) {
	if !coordinator.inOwnDomain(host) {
		return
	}
	for _, cellAllocator := range coordinator.allocators {
		if cellAllocator.allocator.Leads() {
			coordinator.sendReports(host, cellAllocator.allocator.Reports())
		}
	}
}

// handleAllocatorHostChange notifies the allocators when a host is gone whose callers' jobs may
// have capacity here. A leaving host still answers its callers; it counts as gone when its
// connection closes.
func (coordinator *Coordinator) handleAllocatorHostChange(state gossiper.State, restarted bool) {
	host := state.Member.Host
	if restarted || state.Status == gossiper.StatusDead {
		coordinator.notifyAllocators(&allocator.HostGone{Host: host})
	}
	if state.Status == gossiper.StatusAlive {
		coordinator.sendReportsTo(host)
		coordinator.cellPersister.exchangeWith(host)
	}
}

func (coordinator *Coordinator) settleAllocation() {
	now := coordinator.now
	tickComponent(now, coordinator.supervisor, &coordinator.toSupervisor, coordinator.routeSupervisorOutput)
	tickComponent(now, coordinator.starter, &coordinator.toStarter, coordinator.routeStarterOutput)
	tickComponent(now, coordinator.inquirer, &coordinator.toInquirer, coordinator.routeInquirerOutput)
	for cell, cellAllocator := range coordinator.allocators {
		tickComponent(now, cellAllocator.allocator, &cellAllocator.inputs, func(output allocator.Output) {
			coordinator.routeAllocatorOutput(messenger.CellNumber(cell), output)
		})
	}
}

// applyAllocationMessage applies a message about allocation, and reports whether it was one.
func (coordinator *Coordinator) applyAllocationMessage(from identifier.HostID, message *PeerMessage) bool {
	switch {
	case message.CapacityRequest != nil:
		coordinator.requestCapacity(from, message.CapacityRequest)
	case message.CapacityRelease != nil:
		coordinator.releaseCapacity(from, message.CapacityRelease)
	case message.StartReport != nil:
		coordinator.notifyAllocator(message.StartReport.Cell, &allocator.StartReported{From: from, Report: *message.StartReport})
	case message.StartRepeat != nil:
		coordinator.notifyAllocator(message.StartRepeat.Cell, &allocator.StartRepeated{From: from, Repeat: *message.StartRepeat})
	case message.Grant != nil:
		coordinator.notifySupervisor(&supervisor.GrantArrived{From: from, Grant: *message.Grant})
	case message.CapacityAnswer != nil:
		coordinator.notifySupervisor(&supervisor.AnswerArrived{From: from, Answer: *message.CapacityAnswer})
	case message.TaskDone != nil:
		coordinator.notifySupervisor(&supervisor.TaskDoneArrived{From: from, Done: *message.TaskDone})
	case message.CapacityNotice != nil:
		coordinator.notifyAllocators(&allocator.NoticeArrived{Notice: *message.CapacityNotice})
	case message.StoredCell != nil:
		coordinator.cellPersister.handleStoredCell(message.StoredCell)
	case message.CellUpdate != nil:
		coordinator.cellPersister.handleUpdate(message.CellUpdate)
	case message.StartOrder != nil:
		coordinator.notifyStarter(&starter.OrderArrived{From: from, Order: *message.StartOrder})
	case message.StartResult != nil:
		coordinator.notifyStarter(&starter.ResultArrived{From: from, Result: *message.StartResult})
	case message.JobInquiry != nil:
		coordinator.handleInquiry(from, message.JobInquiry)
	case message.JobInquiryReply != nil:
		coordinator.notifyInquirer(&inquirer.ReplyArrived{From: from, Reply: *message.JobInquiryReply})
	case message.JobElsewhere != nil:
		coordinator.recordJobElsewhere(from, message.JobElsewhere)
	case message.LeadFollowed != nil:
		coordinator.followerTracker.handleFollowed(from, message.LeadFollowed)
	case message.ServerReports != nil:
		for index := range message.ServerReports {
			coordinator.handlePeerReport(from, &message.ServerReports[index])
		}
	default:
		return false
	}
	return true
}

func (coordinator *Coordinator) routeSupervisorOutput(output supervisor.Output) {
	switch output := output.(type) {
	case *supervisor.RequestCapacity:
		coordinator.send(output.To, PeerMessage{CapacityRequest: &output.Request})
	case *supervisor.ReleaseCapacity:
		coordinator.send(output.To, PeerMessage{CapacityRelease: &output.Release})
	case *supervisor.ReportRepeat:
		coordinator.send(output.To, PeerMessage{StartRepeat: &output.Repeat})
	case *supervisor.ReportStart:
		coordinator.send(output.To, PeerMessage{StartReport: &output.Report})
	case *supervisor.StartRun:
		coordinator.notifyStarter(&starter.StartRequested{Start: output})
	case *supervisor.JobEnded:
		coordinator.countRejectedJob(output)
		coordinator.outputs.add(&JobEnded{Ended: output})
	case *supervisor.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}

func (coordinator *Coordinator) notifyStarter(input starter.Input) {
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
	case *starter.StartReturned:
		coordinator.notifySupervisor(&output.Returned)
	}
}

func (coordinator *Coordinator) routeAllocatorOutput(cell messenger.CellNumber, output allocator.Output) {
	switch output := output.(type) {
	case *allocator.GrantCapacity:
		coordinator.send(output.To, PeerMessage{Grant: &output.Grant})
	case *allocator.AnswerRequest:
		coordinator.send(output.To, PeerMessage{CapacityAnswer: &output.Answer})
	case *allocator.NotifyDone:
		coordinator.send(output.To, PeerMessage{TaskDone: &output.Done})
	default:
		coordinator.routeAllocatorCall(cell, output)
	}
}

func (coordinator *Coordinator) routeAllocatorCall(cell messenger.CellNumber, output allocator.Output) {
	switch output := output.(type) {
	case *allocator.SendNotice:
		coordinator.send(output.To, PeerMessage{CapacityNotice: &output.Notice})
	case *allocator.PollServer:
		coordinator.outputs.add(&CallPoll{Call: output})
	case *allocator.StopRun:
		coordinator.outputs.add(&CallStop{Call: output})
	case *allocator.LeadFenced:
		coordinator.notifyElector(elector.EpochSeen{Cell: cell, Epoch: output.Epoch + fenceStep})
	case *allocator.BroadcastReport:
		coordinator.cellPersister.addUpdate(cell, &output.Report)
		for _, host := range coordinator.entryHostsIn(coordinator.Self.FailureDomain) {
			coordinator.sendReports(host, []messenger.ServerReport{output.Report})
		}
	case *allocator.Decided:
		coordinator.countRejectedRequest(&output.Decision)
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}
