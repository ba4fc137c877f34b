package coordinator

import (
	"slices"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

const (
	// layoutRecordKey is the key of the member record with the number of cells that a host uses, 0
	// while it uses none. The record also tells that the host's program knows agreed layouts.
	layoutRecordKey = "layout"
	// learningTime is how long a host that has learned its layout expects the other hosts to learn it
	// too. Hosts that start together learn it within milliseconds of each other; if the first one
	// took the cells of the others, two hosts would lead a cell for a moment.
	learningTime = 500 * time.Millisecond
	// layoutRetryAfter is when a caller should resubmit a job to a host that has no layout to use.
	layoutRetryAfter = time.Second
)

// layouts holds into how many cells each failure domain is divided. The settings fix the number, or
// the hosts learn it with the configuration.
type layouts struct {
	coordinator *Coordinator
	// agreed are the layouts of the configuration in force.
	agreed []configurer.Layout
	// own is the number of cells that this host uses, 0 while it uses none.
	own int
	// differing are the living hosts of the failure domain that use another number of cells.
	differing []LayoutDifference
	// suspended reports that this host must not serve because its layout differs.
	suspended bool
	// unfit are the hosts of the failure domain that can lead no cell.
	unfit []identifier.HostID
	// learnedBy is when the other hosts should have learned the layout too.
	learnedBy identifier.Moment
	// changed reports that the layouts of the hosts may differ in another way than before.
	changed bool
	// unreported reports that a LayoutChanged is due.
	unreported bool
	// reports are the reports of backend servers that arrived before the layout was known.
	reports *tabulator.Table[earlyReportKey, messenger.ServerReport]
}

// earlyReportKey distinguishes what a server reports from what a keeper recalls of it.
type earlyReportKey struct {
	server   identifier.ServerIncarnation
	recalled bool
}

// LayoutDifference is a host that uses another number of cells than this one.
type LayoutDifference struct {
	Host  identifier.HostID
	Cells int
}

func newLayouts(coordinator *Coordinator) *layouts {
	created := &layouts{
		coordinator: coordinator, learnedBy: identifier.Never,
		reports: tabulator.New[earlyReportKey, messenger.ServerReport](),
	}
	if !coordinator.Settings.AgreedLayout {
		created.own = max(coordinator.Settings.Dispatcher.Cells, 1)
	}
	if coordinator.Settings.AgreedLayout || coordinator.Settings.AnnounceLayout && created.isEntryHost() {
		coordinator.publish(layoutRecordKey, strconv.Itoa(created.own))
	}
	return created
}

// serves reports whether this host serves callers, as far as its layout is concerned.
func (layouts *layouts) serves() bool {
	return layouts.own > 0 && !layouts.suspended && layouts.isEntryHost()
}

func (layouts *layouts) isEntryHost() bool {
	return slices.Contains(layouts.coordinator.Self.Roles, gossiper.RoleEntry)
}

// cells returns the number of cells of the own failure domain, 0 while it is unknown.
func (coordinator *Coordinator) cells() int { return coordinator.layouts.own }

// cellsIn returns the number of cells of a failure domain, 0 while it is unknown.
func (coordinator *Coordinator) cellsIn(domain identifier.FailureDomain) int {
	layouts := coordinator.layouts
	if !coordinator.Settings.AgreedLayout || domain == coordinator.Self.FailureDomain && layouts.own > 0 {
		return layouts.own
	}
	return layouts.agreedIn(domain)
}

func (layouts *layouts) agreedIn(domain identifier.FailureDomain) int {
	version := configurer.Version{Layouts: layouts.agreed}
	layout, _ := version.Layout(domain)
	return layout.Cells
}

// adopt records the layouts of the configuration in force. A host keeps the layout that it uses: jobs
// run under it.
func (layouts *layouts) adopt(agreed []configurer.Layout) {
	if slices.Equal(agreed, layouts.agreed) {
		return
	}
	coordinator := layouts.coordinator
	layouts.agreed = agreed
	layouts.changed = true
	cells := layouts.agreedIn(coordinator.Self.FailureDomain)
	if layouts.own == 0 && cells > 0 && layouts.isEntryHost() {
		layouts.use(cells)
	}
	layouts.unreported = true
}

// use creates everything that depends on the number of cells, in the state that it would have if it
// had existed since the start.
func (layouts *layouts) use(cells int) {
	coordinator := layouts.coordinator
	layouts.own = cells
	layouts.learnedBy = coordinator.now.Add(learningTime)
	coordinator.publish(layoutRecordKey, strconv.Itoa(cells))
	coordinator.supervisor.Cells = cells
	coordinator.dispatcher.Settings.Cells = cells
	coordinator.forwarder.Settings.Cells = cells
	coordinator.allocators = newAllocators(coordinator)
	coordinator.cellPersister.own = make([]persistedCell, cells)
	coordinator.followerTracker.setCells(cells)
	coordinator.notifyElector(elector.LayoutKnown{Cells: cells})
	if len(coordinator.enforcedEvacuations) > 0 {
		coordinator.notifyAllocators(&allocator.EvacuationsChanged{Evacuated: coordinator.enforcedEvacuations})
	}
	coordinator.elector.EachLead(func(lead elector.LeadIs) {
		cell := messenger.CellRef{FailureDomain: lead.FailureDomain, Cell: lead.Cell}
		coordinator.notifyAllocators(&allocator.RemoteLeadChanged{Cell: cell, Host: lead.Host})
	})
	layouts.reports.Each(func(key earlyReportKey, report *messenger.ServerReport) bool {
		coordinator.receiveReport(*report, key.recalled)
		return true
	})
	layouts.reports = nil
}

// receiveReport passes the report of a backend server to the allocator of its cell, or keeps it until
// the layout is known.
func (coordinator *Coordinator) receiveReport(report messenger.ServerReport, recalled bool) {
	if coordinator.cells() == 0 {
		if coordinator.layouts.isEntryHost() {
			coordinator.layouts.reports.Put(earlyReportKey{server: report.Server, recalled: recalled}, &report)
		}
		return
	}
	cell := coordinator.cellOfServer(report.Server)
	if recalled {
		coordinator.notifyAllocator(cell, &allocator.ReportRecalled{Report: report})
		return
	}
	coordinator.notifyAllocator(cell, &allocator.ReportArrived{Report: report})
}

// settle compares the layouts of the hosts of the failure domain once they may have changed.
func (layouts *layouts) settle() {
	if layouts.learnedBy.Due(layouts.coordinator.now) {
		layouts.learnedBy = identifier.Never
		layouts.changed = true
	}
	if !layouts.changed {
		return
	}
	layouts.changed = false
	if layouts.own > 0 && layouts.isEntryHost() {
		layouts.compare()
	}
	if layouts.unreported {
		layouts.unreported = false
		layouts.report()
	}
}

// compare decides whether this host may serve with its layout.
func (layouts *layouts) compare() {
	differing, learning := layouts.compareHosts()
	agreed := layouts.agreedIn(layouts.coordinator.Self.FailureDomain)
	suspended := len(differing) > 0
	if agreed > 0 {
		suspended = agreed != layouts.own
	}
	layouts.updateUnfit(differing, learning, suspended)
	if suspended != layouts.suspended || !slices.Equal(differing, layouts.differing) {
		layouts.suspended, layouts.differing = suspended, differing
		layouts.unreported = true
	}
}

// compareHosts returns the living hosts of the failure domain that use another number of cells than
// this one, and those that don't know theirs yet, sorted by id. Hosts without the record run an older
// program.
func (layouts *layouts) compareHosts() (differing []LayoutDifference, learning []identifier.HostID) {
	coordinator := layouts.coordinator
	for _, host := range coordinator.entryHostsIn(coordinator.Self.FailureDomain) {
		record, known := coordinator.gossiper.Record(host, layoutRecordKey)
		cells, err := strconv.Atoi(string(record.Value))
		switch {
		case !known || err != nil || host == coordinator.Self.Host || cells == layouts.own:
		case cells == 0:
			learning = append(learning, host)
		case cells > 0 && cells <= configurer.MaxCells:
			differing = append(differing, LayoutDifference{Host: host, Cells: cells})
		}
	}
	return differing, learning
}

// updateUnfit notifies the elector which hosts lead nothing, so that it waits for none of them to
// take a cell.
func (layouts *layouts) updateUnfit(differing []LayoutDifference, learning []identifier.HostID, suspended bool) {
	var unfit []identifier.HostID
	for _, difference := range differing {
		unfit = append(unfit, difference.Host)
	}
	if layouts.learnedBy == identifier.Never {
		unfit = append(unfit, learning...)
	}
	if suspended {
		unfit = append(unfit, layouts.coordinator.Self.Host)
	}
	slices.Sort(unfit)
	if !slices.Equal(unfit, layouts.unfit) {
		layouts.unfit = unfit
		layouts.coordinator.notifyElector(elector.UnfitChanged{Hosts: unfit})
	}
}

// report reports the layouts for the log and for those that serve callers and backend servers.
func (layouts *layouts) report() {
	layouts.coordinator.outputs.add(&LayoutChanged{
		Cells: layouts.own, Layouts: layouts.agreed, Serving: layouts.serves(),
		Agreed:    layouts.agreedIn(layouts.coordinator.Self.FailureDomain),
		Differing: layouts.differing,
	})
}

// refuseWithoutLayout answers a job that this host can't serve without a layout, and reports whether
// it did. A suspended host still answers the resend of a job that it runs.
func (coordinator *Coordinator) refuseWithoutLayout(arrived *supervisor.JobArrived) bool {
	layouts := coordinator.layouts
	if layouts.serves() || !coordinator.Settings.AgreedLayout && !layouts.suspended {
		return false
	}
	if layouts.suspended && coordinator.supervisor.Has(arrived.Job.Job) {
		return false
	}
	coordinator.outputs.add(&JobEnded{Ended: &supervisor.JobEnded{
		Waiter: arrived.Waiter, Job: arrived.Job.Job, Outcome: supervisor.OutcomeRefused,
		Reason: messenger.ReasonNoBackendServer, Detail: layouts.refusal(), RetryAfter: layoutRetryAfter,
	}})
	return true
}

// refuseSubmission answers a submission that this host can't accept because of its layout, and reports
// whether it did. An earlier process or another host may have run the submission.
func (coordinator *Coordinator) refuseSubmission(event forwarder.Input) bool {
	submitted, isSubmission := event.(*forwarder.CallerSubmitted)
	layouts := coordinator.layouts
	if !isSubmission || layouts.own > 0 && !layouts.suspended {
		return false
	}
	answer := messenger.RefuseUnknown(submitted.Job.Submission, messenger.ReasonNoBackendServer, layouts.refusal())
	answer.RetryAfter = layoutRetryAfter
	coordinator.outputs.add(&ToCaller{Answer: &forwarder.AnswerCaller{Waiter: submitted.Waiter, Answer: answer}})
	return true
}

// refusal returns why this host accepts no job.
func (layouts *layouts) refusal() string {
	if layouts.suspended {
		return "the hosts of the failure domain use different layouts"
	}
	return "no configuration yet"
}

// entryCapacities returns the capacities of the known entry hosts that have not left, by failure
// domain.
func (coordinator *Coordinator) entryCapacities() map[identifier.FailureDomain]map[identifier.HostID]identifier.HostCapacity {
	capacities := make(map[identifier.FailureDomain]map[identifier.HostID]identifier.HostCapacity)
	add := func(member *gossiper.Member) {
		if !slices.Contains(member.Roles, gossiper.RoleEntry) {
			return
		}
		hosts := capacities[member.FailureDomain]
		if hosts == nil {
			hosts = make(map[identifier.HostID]identifier.HostCapacity)
			capacities[member.FailureDomain] = hosts
		}
		hosts[member.Host] = member.Capacity.OrUnknown()
	}
	coordinator.gossiper.EachState(func(state *gossiper.State) {
		if state.Status != gossiper.StatusLeft && state.Member.Host != coordinator.Self.Host {
			add(&state.Member)
		}
	})
	add(&coordinator.Self)
	return capacities
}
