// Package inquirer decides, on the host that leads a cell, whether a job may get capacity there
// although the lead of its home cell has not referred it.
//
// Only the home's lead knows which runs an earlier submission of the job has. If that lead doesn't
// answer the host of the job, the inquirer first queries every other host of the home. One of them
// supervises the earlier submission, if there is one.
//
// The package has no side effects: Tick takes the time and events, and returns messages.
package inquirer

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/renewer"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings holds the timeouts of an inquirer.
type Settings struct {
	// ReplyTimeout is how long the hosts have to reply to an inquiry.
	ReplyTimeout time.Duration
	// Lease is how long a run may continue without a renewal.
	Lease time.Duration
}

// DefaultSettings returns the daemon's default settings.
func DefaultSettings() Settings {
	return Settings{ReplyTimeout: 40 * time.Millisecond, Lease: renewer.DefaultLease}
}

// Inquirer holds the requests that wait for replies. Set the exported fields before the first Tick.
type Inquirer struct {
	Settings Settings

	now       identifier.Moment
	inquiries *tabulator.Table[inquiryKey, inquiry]
	// silentPeriods holds the hosts that have left inquiries unanswered.
	silentPeriods map[identifier.HostID]silentPeriod
	// lostHosts holds the hosts that were lost within the last lease.
	lostHosts map[identifier.HostID]hostLoss
	timers    *tabulator.Timers[inquiryKey]
	outputs   []Output
}

// silentPeriod is the time from a host's first unanswered inquiry to the end of its last one.
type silentPeriod struct{ since, until identifier.Moment }

// hostLoss is the failure domain of a lost host and the time of the loss.
type hostLoss struct {
	domain identifier.FailureDomain
	at     identifier.Moment
}

// inquiryKey identifies an inquiry. One job may have a request at two cells of one host.
type inquiryKey struct {
	job  identifier.JobID
	cell messenger.CellNumber
}

// inquiry is a request that waits for replies.
type inquiry struct {
	request   *CapacityRequested
	arrivedAt identifier.Moment
	// pendingHosts holds the hosts that have not replied.
	pendingHosts []identifier.HostID
}

// Tick applies the inputs, ends the inquiries that time out at now and returns the outputs for its
// owner to carry out.
func (inquirer *Inquirer) Tick(now identifier.Moment, inputs []Input) []Output {
	inquirer.prepare(now)
	for _, input := range inputs {
		inquirer.apply(input)
	}
	inquirer.timers.EachDue(now, inquirer.handleTimeout)
	outputs := inquirer.outputs
	inquirer.outputs = nil
	return outputs
}

// NextDeadline returns the time at which Tick must run even without inputs, or identifier.Never.
func (inquirer *Inquirer) NextDeadline() identifier.Moment {
	if inquirer.timers == nil {
		return identifier.Never
	}
	return inquirer.timers.Next()
}

func (inquirer *Inquirer) prepare(now identifier.Moment) {
	inquirer.now = now
	if inquirer.timers != nil {
		return
	}
	inquirer.inquiries = tabulator.New[inquiryKey, inquiry]()
	inquirer.silentPeriods = make(map[identifier.HostID]silentPeriod)
	inquirer.lostHosts = make(map[identifier.HostID]hostLoss)
	inquirer.timers = tabulator.NewTimers[inquiryKey]()
}

func (inquirer *Inquirer) apply(input Input) {
	switch input := input.(type) {
	case *CapacityRequested:
		inquirer.handleRequest(input)
	case *CapacityReleased:
		inquirer.handleRelease(input)
	case *ReplyArrived:
		inquirer.handleReply(input)
	case *HostLost:
		delete(inquirer.silentPeriods, input.Host)
		inquirer.lostHosts[input.Host] = hostLoss{domain: input.FailureDomain, at: inquirer.now}
	}
}

// handleRequest sends an inquiry to the hosts of a job's home. An earlier request for the same job
// from another host is denied, as only one submission may continue.
func (inquirer *Inquirer) handleRequest(input *CapacityRequested) {
	key := inquiryKey{job: input.Request.Job, cell: input.Request.Cell}
	if earlier := inquirer.inquiries.Get(key); earlier != nil && earlier.request.From != input.From {
		inquirer.deny(key, earlier, "sent again")
	}
	created := &inquiry{request: input, arrivedAt: inquirer.now, pendingHosts: slices.Clone(input.Peers)}
	if host := inquirer.recentlyLostHost(input.Home); host != "" {
		inquirer.deny(key, created, string(host)+" was lost lately")
		return
	}
	inquirer.inquiries.Put(key, created)
	inquirer.timers.Set(key, inquirer.now.Add(inquirer.Settings.ReplyTimeout))
	message := messenger.JobInquiry{Job: key.job, Cell: key.cell, Host: input.From}
	for _, peer := range input.Peers {
		inquirer.emit(&SendInquiry{To: peer, Inquiry: message})
	}
	inquirer.clearIfSettled(key, created)
	if inquirer.inquiries.Get(key) == created {
		inquirer.emit(&RequestPending{From: input.From, Request: input.Request})
	}
}

func tasksOf(request *messenger.CapacityRequest) []messenger.TaskIndex {
	tasks := make([]messenger.TaskIndex, len(request.Tasks))
	for index := range request.Tasks {
		tasks[index] = request.Tasks[index].Task
	}
	return tasks
}

// recentlyLostHost returns a lost host of a failure domain whose runs may still be active, or an
// empty id.
func (inquirer *Inquirer) recentlyLostHost(domain identifier.FailureDomain) identifier.HostID {
	var found identifier.HostID
	for host, loss := range inquirer.lostHosts {
		switch {
		case loss.at.Add(inquirer.lapseTime()).Due(inquirer.now):
			delete(inquirer.lostHosts, host)
		case loss.domain == domain:
			found = max(found, host)
		}
	}
	return found
}

func (inquirer *Inquirer) handleRelease(input *CapacityReleased) {
	key := inquiryKey{job: input.Job, cell: input.Cell}
	if pending := inquirer.inquiries.Get(key); pending != nil && pending.request.From == input.From {
		inquirer.remove(key)
	}
}

func (inquirer *Inquirer) handleReply(input *ReplyArrived) {
	delete(inquirer.silentPeriods, input.From)
	key := inquiryKey{job: input.Reply.Job, cell: input.Reply.Cell}
	pending := inquirer.inquiries.Get(key)
	if pending == nil || pending.request.From != input.Reply.Host {
		return
	}
	if input.Reply.Known {
		inquirer.deny(key, pending, "known to "+string(input.From))
		return
	}
	pending.pendingHosts = slices.DeleteFunc(pending.pendingHosts, func(host identifier.HostID) bool { return host == input.From })
	inquirer.clearIfSettled(key, pending)
}

// clearIfSettled clears a request once all hosts that may have runs have replied.
func (inquirer *Inquirer) clearIfSettled(key inquiryKey, inquiry *inquiry) {
	if !slices.ContainsFunc(inquiry.pendingHosts, inquirer.mayHaveRuns) {
		inquirer.clear(key, inquiry)
	}
}

// mayHaveRuns reports whether runs that a host without a reply has started may be active. Once the
// host has been silent for a lease, its runs have ended or are renewed by another host, which knows
// them.
func (inquirer *Inquirer) mayHaveRuns(host identifier.HostID) bool {
	period, silent := inquirer.silentPeriods[host]
	lapse := inquirer.lapseTime()
	return !silent || period.until.Before(period.since.Add(lapse)) || period.until.Add(lapse).Due(inquirer.now)
}

// lapseTime returns the longest time that a run continues without a renewal.
func (inquirer *Inquirer) lapseTime() time.Duration {
	return renewer.LapseTime(inquirer.Settings.Lease)
}

// handleTimeout ends an inquiry after ReplyTimeout. The request is cleared if the hosts without a
// reply can have no runs, and denied otherwise.
func (inquirer *Inquirer) handleTimeout(key inquiryKey) {
	pending := inquirer.inquiries.Get(key)
	if pending == nil {
		return
	}
	for _, host := range pending.pendingHosts {
		inquirer.recordSilence(host, pending.arrivedAt)
	}
	inquirer.clearIfSettled(key, pending)
	if inquirer.inquiries.Get(key) == pending {
		first := slices.IndexFunc(pending.pendingHosts, inquirer.mayHaveRuns)
		inquirer.deny(key, pending, "no reply of "+string(pending.pendingHosts[first]))
	}
}

// recordSilence records that a host has not replied in time to an inquiry. A new silent period
// starts if the host got no inquiry for a lease, as it may have been responsive meanwhile.
func (inquirer *Inquirer) recordSilence(host identifier.HostID, sentAt identifier.Moment) {
	period, silent := inquirer.silentPeriods[host]
	if !silent || period.until.Add(inquirer.lapseTime()).Due(inquirer.now) {
		period.since = sentAt
	}
	period.until = sentAt.Add(inquirer.Settings.ReplyTimeout)
	inquirer.silentPeriods[host] = period
}

// clear passes a request on with its times updated, and notifies the home where the job goes, so
// that a later submission there follows it.
func (inquirer *Inquirer) clear(key inquiryKey, inquiry *inquiry) {
	inquirer.remove(key)
	waited := inquirer.now.Sub(inquiry.arrivedAt)
	request := inquiry.request.Request
	request.Elapsed += waited
	request.Remaining -= waited
	inquirer.logDecision(inquiry, "cleared")
	notice := messenger.JobHandoff{Job: key.job, Cell: key.cell, Tasks: tasksOf(&request)}
	for _, peer := range inquiry.request.Peers {
		inquirer.emit(&SendNotice{To: peer, Notice: notice})
	}
	inquirer.emit(&RequestCleared{From: inquiry.request.From, Request: request})
}

func (inquirer *Inquirer) deny(key inquiryKey, inquiry *inquiry, reason string) {
	inquirer.remove(key)
	inquirer.logDecision(inquiry, reason)
	inquirer.emit(&RequestDenied{From: inquiry.request.From, Request: inquiry.request.Request})
}

func (inquirer *Inquirer) remove(key inquiryKey) {
	inquirer.inquiries.Remove(key)
	inquirer.timers.Clear(key)
}

func (inquirer *Inquirer) logDecision(inquiry *inquiry, reason string) {
	inquirer.emit(&Decided{Decision: messenger.Decision{
		Kind: messenger.DecisionInquired, Job: inquiry.request.Request.Job, Host: inquiry.request.From, Tasks: len(inquiry.request.Peers),
		Reason: reason, Elapsed: inquirer.now.Sub(inquiry.arrivedAt),
	}})
}

func (inquirer *Inquirer) emit(output Output) {
	inquirer.outputs = append(inquirer.outputs, output)
}
