package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// requestRoom passes a request on to the ledger of a cell. A job that the lead of its home has not
// sent there, and that the ledger doesn't have, waits until the other hosts of its home were asked.
func (coordinator *Coordinator) requestRoom(from identifier.HostID, request *messenger.RoomRequest) {
	if !request.Unvouched || !coordinator.isNewHere(request) {
		coordinator.tellAllocator(request.Cell, &allocator.RoomRequested{From: from, Request: *request})
		return
	}
	home := coordinator.domainOf(from)
	peers := coordinator.entryHosts(coordinator.livingIn(home))
	peers = slices.DeleteFunc(peers, func(host identifier.HostID) bool { return host == from })
	coordinator.tellInquirer(&inquirer.RoomRequested{From: from, Request: *request, Home: home, Peers: peers})
}

// isNewHere tells whether this host leads the cell that is asked and doesn't have the job there.
func (coordinator *Coordinator) isNewHere(request *messenger.RoomRequest) bool {
	if int(request.Cell) >= len(coordinator.rooms) {
		return false
	}
	ledger := coordinator.rooms[request.Cell].allocator
	return ledger.Leads() && !ledger.Has(request.Job)
}

// homeCellOf is the cell of its failure domain that a job is asked for first.
func (coordinator *Coordinator) homeCellOf(job identifier.JobID) messenger.CellNumber {
	return messenger.CellOf(identifier.SubmissionID(job), coordinator.cells())
}

// domainOf is the failure domain of a host; that of this host where the other is not known.
func (coordinator *Coordinator) domainOf(host identifier.HostID) identifier.FailureDomain {
	if state, known := coordinator.gossiper.State(host); known && host != coordinator.Self.Host {
		return state.Member.FailureDomain
	}
	return coordinator.Self.FailureDomain
}

// releaseRoom passes on that a host wants no more room for a job.
func (coordinator *Coordinator) releaseRoom(from identifier.HostID, release *messenger.RoomRelease) {
	coordinator.tellInquirer(&inquirer.RoomReleased{From: from, Job: release.Job, Cell: release.Cell})
	coordinator.tellAllocator(release.Cell, &allocator.RoomReleased{From: from, Job: release.Job})
}

// takeInquiry tells the lead of another cell whether this host knows a job.
func (coordinator *Coordinator) takeInquiry(from identifier.HostID, inquiry *messenger.JobInquiry) {
	asking := messenger.CellRef{FailureDomain: coordinator.domainOf(from), Cell: inquiry.Cell}
	reply := messenger.JobInquiryReply{
		Job: inquiry.Job, Cell: inquiry.Cell, Host: inquiry.Host, Known: coordinator.knowsJob(inquiry, asking),
	}
	coordinator.send(from, PeerMessage{JobInquiryReply: &reply})
}

// noteElsewhere has this host remember where a job of its failure domain goes, should it lead the
// home's cell.
func (coordinator *Coordinator) noteElsewhere(from identifier.HostID, notice *messenger.JobElsewhere) {
	coordinator.tellAllocator(coordinator.homeCellOf(notice.Job), &allocator.JobGoesElsewhere{
		Job: notice.Job, Tasks: notice.Tasks, Cell: messenger.CellRef{FailureDomain: coordinator.domainOf(from), Cell: notice.Cell},
	})
}

// knowsJob tells whether a run of a job may be at work, or may still be granted, for another host
// than the one that asks for room and by another cell than the one that is asked.
func (coordinator *Coordinator) knowsJob(inquiry *messenger.JobInquiry, asking messenger.CellRef) bool {
	if inquiry.Host != coordinator.Self.Host && coordinator.supervisor.MayRun(inquiry.Job, asking) {
		return true
	}
	return slices.ContainsFunc(coordinator.rooms, func(room *room) bool {
		return room.allocator.Knows(inquiry.Job, inquiry.Host, asking)
	})
}

func (coordinator *Coordinator) tellInquirer(input inquirer.Input) {
	coordinator.toInquirer = append(coordinator.toInquirer, input)
}

func (coordinator *Coordinator) routeInquirerOutput(output inquirer.Output) {
	switch output := output.(type) {
	case *inquirer.SendInquiry:
		coordinator.send(output.To, PeerMessage{JobInquiry: &output.Inquiry})
	case *inquirer.SendNotice:
		coordinator.send(output.To, PeerMessage{JobElsewhere: &output.Notice})
	case *inquirer.RequestCleared:
		coordinator.tellAllocator(output.Request.Cell, &allocator.RoomRequested{From: output.From, Request: output.Request})
	case *inquirer.RequestDenied:
		coordinator.answerRoom(output.From, &output.Request, messenger.RoomAnswerKnownElsewhere)
	case *inquirer.RequestHeld:
		coordinator.answerRoom(output.From, &output.Request, messenger.RoomAnswerWaiting)
	case *inquirer.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}

func (coordinator *Coordinator) answerRoom(to identifier.HostID, request *messenger.RoomRequest, kind messenger.RoomAnswerKind) {
	answer := messenger.RoomAnswer{Job: request.Job, Kind: kind, Cell: request.Cell, Ask: request.Ask}
	coordinator.send(to, PeerMessage{RoomAnswer: &answer})
}
