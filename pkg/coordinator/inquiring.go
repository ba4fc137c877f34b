package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// requestCapacity passes a request on to the allocator of a cell. If the job was not referred by
// the lead of its home and the allocator doesn't have it, the request first waits until the other
// hosts of its home have been queried.
func (coordinator *Coordinator) requestCapacity(from identifier.HostID, request *messenger.CapacityRequest) {
	if !request.Unreferred || !coordinator.isUnknownJob(request) {
		coordinator.passRequest(from, request)
		return
	}
	home := coordinator.domainOf(from)
	peers := slices.Clone(coordinator.entryHostsIn(home))
	peers = slices.DeleteFunc(peers, func(host identifier.HostID) bool { return host == from })
	coordinator.notifyInquirer(&inquirer.CapacityRequested{From: from, Request: *request, Home: home, Peers: peers})
}

// isUnknownJob reports whether this host leads the requested cell and doesn't have the job there.
func (coordinator *Coordinator) isUnknownJob(request *messenger.CapacityRequest) bool {
	if int(request.Cell) >= len(coordinator.allocators) {
		return false
	}
	cellAllocator := coordinator.allocators[request.Cell].allocator
	return cellAllocator.Leads() && !cellAllocator.Has(request.Job)
}

// homeCellOf returns the cell of its failure domain that a job is requested from first.
func (coordinator *Coordinator) homeCellOf(job identifier.JobID) messenger.CellNumber {
	return messenger.CellOf(identifier.SubmissionID(job), coordinator.cells())
}

// domainOf returns the failure domain of a host, or that of this host if the other one is unknown.
func (coordinator *Coordinator) domainOf(host identifier.HostID) identifier.FailureDomain {
	if state, known := coordinator.gossiper.State(host); known && host != coordinator.Self.Host {
		return state.Member.FailureDomain
	}
	return coordinator.Self.FailureDomain
}

// releaseCapacity passes on that a host needs no more capacity for a job.
func (coordinator *Coordinator) releaseCapacity(from identifier.HostID, release *messenger.CapacityRelease) {
	coordinator.notifyInquirer(&inquirer.CapacityReleased{From: from, Job: release.Job, Cell: release.Cell})
	coordinator.notifyAllocator(release.Cell, &allocator.CapacityReleased{From: from, Job: release.Job})
}

// handleInquiry replies to the lead of another cell whether this host knows a job.
func (coordinator *Coordinator) handleInquiry(from identifier.HostID, inquiry *messenger.JobInquiry) {
	inquiringCell := messenger.CellRef{FailureDomain: coordinator.domainOf(from), Cell: inquiry.Cell}
	reply := messenger.JobInquiryReply{
		Job: inquiry.Job, Cell: inquiry.Cell, Host: inquiry.Host, Known: coordinator.knowsJob(inquiry, inquiringCell),
	}
	coordinator.send(from, PeerMessage{JobInquiryReply: &reply})
}

// recordJobElsewhere notifies the allocator of the home cell where a job of its failure domain is
// placed. The allocator records it if this host leads that cell.
func (coordinator *Coordinator) recordJobElsewhere(from identifier.HostID, notice *messenger.JobHandoff) {
	coordinator.notifyAllocator(coordinator.homeCellOf(notice.Job), &allocator.JobHandedOff{
		Job: notice.Job, Tasks: notice.Tasks, Cell: messenger.CellRef{FailureDomain: coordinator.domainOf(from), Cell: notice.Cell},
	})
}

// knowsJob reports whether a run of a job may be active or may still be granted, for a host other
// than the one that requests capacity and by a cell other than the one that sent the inquiry.
func (coordinator *Coordinator) knowsJob(inquiry *messenger.JobInquiry, inquiringCell messenger.CellRef) bool {
	if inquiry.Host != coordinator.Self.Host && coordinator.supervisor.MayRun(inquiry.Job, inquiringCell) {
		return true
	}
	return slices.ContainsFunc(coordinator.allocators, func(cellAllocator *cellAllocator) bool {
		return cellAllocator.allocator.MayRunFor(inquiry.Job, inquiry.Host, inquiringCell)
	})
}

func (coordinator *Coordinator) notifyInquirer(input inquirer.Input) {
	coordinator.toInquirer = append(coordinator.toInquirer, input)
}

func (coordinator *Coordinator) routeInquirerOutput(output inquirer.Output) {
	switch output := output.(type) {
	case *inquirer.SendInquiry:
		coordinator.send(output.To, PeerMessage{JobInquiry: &output.Inquiry})
	case *inquirer.SendNotice:
		coordinator.send(output.To, PeerMessage{JobElsewhere: &output.Notice})
	case *inquirer.RequestCleared:
		coordinator.passRequest(output.From, &output.Request)
	case *inquirer.RequestDenied:
		coordinator.answerCapacityRequest(output.From, &output.Request, messenger.CapacityAnswerKnownElsewhere)
	case *inquirer.RequestPending:
		coordinator.answerCapacityRequest(output.From, &output.Request, messenger.CapacityAnswerWaiting)
	case *inquirer.Decided:
		coordinator.outputs.add(&Decided{Decision: output.Decision})
	}
}

func (coordinator *Coordinator) answerCapacityRequest(to identifier.HostID, request *messenger.CapacityRequest, kind messenger.CapacityAnswerKind) {
	answer := messenger.CapacityAnswer{Job: request.Job, Kind: kind, Cell: request.Cell, RequestNumber: request.Number}
	coordinator.send(to, PeerMessage{CapacityAnswer: &answer})
}
