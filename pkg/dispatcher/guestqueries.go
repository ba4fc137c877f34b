package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A lead that misses two hosts, which may be the only ones that know a submission, queries the
// leads of the other failure domains for the jobs of its home that they have accepted (guests).
//
// Without this query it would mistake the resubmission of a spilled job for a new
// job and start it at home: tasks of one submission would run in two failure domains. The replies
// are merged with the records of the takeover. A job that another lead has accepted is requested
// from that lead before any of its tasks starts here.

const (
	// maxGuestQueryAttempts bounds how long a takeover waits for leads of other failure domains:
	// TakeoverTimeout for each attempt, as long as it waits for hosts.
	maxGuestQueryAttempts = maxTakeoverAttempts
	// maxGuestsPerReply bounds a reply to about 5 MB at 100 bytes a record. It exceeds what a cell
	// accepts from other failure domains within the answer retention at 70 jobs a second. A reply
	// with this many records does not count as complete.
	maxGuestsPerReply = 50_000
	// maxAcknowledgedPerReply bounds a reply to 4.5 MB at 9 bytes each: what 12 backend servers
	// acknowledge within the answer retention at 70 starts a second each.
	maxAcknowledgedPerReply = 500_000
	// rereplicationTime is how long after a host restarted without state the other holders of its
	// records may not have copied them elsewhere, because they are gone or cut off themselves. A
	// loss takes 1.4 s to be noticed, and the batches of copies some seconds more.
	rereplicationTime = 10 * time.Second
)

// queryGuests queries all reachable leads of other failure domains that have not replied yet, and
// the backend servers.
func (dispatcher *Dispatcher) queryGuests(cell *cell) {
	dispatcher.requestAcknowledgedIfNeeded(cell)
	dispatcher.requestDigestsIfNeeded(cell)
	dispatcher.remotes.Each(func(key remoteKey, remote *remote) bool {
		if key.cell == cell.number {
			dispatcher.queryGuestsOf(cell, remote)
		}
		return true
	})
}

// retryGuestQueries repeats the queries during a takeover and finally goes on without the missing
// replies.
func (dispatcher *Dispatcher) retryGuestQueries(cell *cell) {
	if cell.guestQueryAttempts >= maxGuestQueryAttempts {
		clear(cell.awaitedDomains)
		return
	}
	dispatcher.queryGuests(cell)
	if len(cell.awaitedDomains) > 0 {
		cell.guestQueryAttempts++
	}
}

// queryGuestsOf queries one lead if records may be missing. A ready cell does not wait for the
// reply.
func (dispatcher *Dispatcher) queryGuestsOf(cell *cell, remote *remote) {
	domain := remote.key.failureDomain
	if !cell.mayMissRecords() || remote.unreachable || cell.repliedDomains[domain] {
		return
	}
	if !cell.ready {
		cell.awaitedDomains[domain] = true
	}
	query := messenger.GuestQuery{FailureDomain: dispatcher.FailureDomain, Cell: cell.number, Epoch: cell.epoch}
	dispatcher.outputs.add(&QueryGuests{To: remote.host, Query: query})
}

// handleGuestQuery answers the lead of a home that misses records. It first waits until the backend
// servers here have listed the acknowledged submissions: an earlier lead of this cell, now lost as
// well, may have accepted jobs of that home. A lead that repeats its query because some server does
// not report gets what is known. During a takeover no host here knows enough, and the lead has to
// retry.
func (dispatcher *Dispatcher) handleGuestQuery(input *GuestsQueried) {
	query := input.Query
	cell := dispatcher.cells.Get(query.Cell)
	key := remoteKey{failureDomain: query.FailureDomain, cell: query.Cell}
	if cell == nil || !cell.ready || dispatcher.isDeposed(key, input.From, query.Epoch) {
		return
	}
	repeated := slices.ContainsFunc(cell.guestQueries, func(waiting *GuestsQueried) bool { return *waiting == *input })
	if !cell.acknowledgedRequested {
		dispatcher.requestAcknowledged(cell)
	}
	if len(cell.awaitedServers) > 0 && !repeated {
		cell.guestQueries = append(cell.guestQueries, input)
		return
	}
	dispatcher.sendGuests(cell, input)
}

// sendGuests lists the jobs of a home that this host has accepted as a lead. From then on it
// accepts nothing from an earlier lead of that home, since the list would be incomplete.
func (dispatcher *Dispatcher) sendGuests(cell *cell, input *GuestsQueried) {
	query := input.Query
	reply := messenger.GuestReply{FailureDomain: dispatcher.FailureDomain, Cell: query.Cell, Epoch: query.Epoch}
	dispatcher.jobs.Each(func(_ identifier.SubmissionID, job *job) bool {
		if job.homeLead != "" && job.cell == query.Cell && job.spec.Home() == query.FailureDomain {
			reply.Records = append(reply.Records, dispatcher.guestRecord(job))
		}
		return len(reply.Records) < maxGuestsPerReply
	})
	reply.Records = append(reply.Records, dispatcher.unmatchedRecords(cell)...)
	reply.Acknowledged = slices.Sorted(maps.Keys(cell.acknowledged))
	reply.Acknowledged = reply.Acknowledged[:min(len(reply.Acknowledged), maxAcknowledgedPerReply)]
	dispatcher.outputs.add(&AnswerGuestQuery{To: input.From, Reply: reply})
}

// unmatchedRecords lists the submissions for which backend servers here have tasks, but this lead
// has no job. An earlier lead of this cell may have accepted them from the home, and its records
// are lost. The list may contain submissions of other homes, whose leads never query them there.
func (dispatcher *Dispatcher) unmatchedRecords(cell *cell) []messenger.CopyRecord {
	var records []messenger.CopyRecord
	for submission := range cell.unmatched {
		records = append(records, messenger.CopyRecord{Submission: submission, Cell: cell.number, SpilledTo: dispatcher.FailureDomain})
	}
	slices.SortFunc(records, func(first, second messenger.CopyRecord) int {
		return cmp.Compare(first.Submission, second.Submission)
	})
	return records
}

func (dispatcher *Dispatcher) guestRecord(job *job) messenger.CopyRecord {
	return messenger.CopyRecord{
		Submission: job.spec.Submission,
		Caller:     job.spec.Caller,
		Job:        job.spec.Job,
		Cell:       job.cell,
		Age:        dispatcher.now.Sub(job.firstForwarded),
		SpilledTo:  dispatcher.FailureDomain,
		Remaining:  job.deadline.Remaining(dispatcher.now),
	}
}

func (dispatcher *Dispatcher) recordGuests(input *GuestsListed) {
	cell := dispatcher.cells.Get(input.Reply.Cell)
	if cell == nil || cell.epoch != input.Reply.Epoch {
		return
	}
	for _, record := range input.Reply.Records {
		dispatcher.mergeRecord(cell, input.From, record)
	}
	for _, digest := range input.Reply.Acknowledged {
		cell.acknowledged[digest] = true
	}
	complete := len(input.Reply.Records) < maxGuestsPerReply && len(input.Reply.Acknowledged) < maxAcknowledgedPerReply
	cell.repliedDomains[input.Reply.FailureDomain] = complete
	delete(cell.awaitedDomains, input.Reply.FailureDomain)
	dispatcher.finishTakeoverIfComplete(cell)
}

// domainWithoutReply returns a failure domain that an earlier lead may have handed a job to and
// that has not listed its guests, or the empty string. Nothing of the job is started before that
// domain replies or the wait for unknown tasks is over.
func (dispatcher *Dispatcher) domainWithoutReply(cell *cell, job *job) identifier.FailureDomain {
	if job.homeLead != "" || !cell.mayMissRecords() {
		return ""
	}
	for _, domain := range job.spec.MayRun {
		known := dispatcher.remotes.Get(remoteKey{failureDomain: domain, cell: cell.number}) != nil
		if known && domain != dispatcher.FailureDomain && !cell.repliedDomains[domain] {
			return domain
		}
	}
	return ""
}

// recordHostWithoutState records that a host restarted without state before this lead had received
// all of that state. Its new process replies to the takeover with no records, which must not be
// mistaken for what the old process knew.
func (dispatcher *Dispatcher) recordHostWithoutState(cell *cell, host identifier.HostID) {
	if !cell.missingHosts[host] && !cell.awaitedHosts[host] {
		return
	}
	dispatcher.countHostWithoutState(cell, host)
	dispatcher.queryGuests(cell)
}

// HostsWithoutState lists the other hosts of the failure domain that this host has recently seen
// restart without state. A new lead that has just started itself does not know this of a host that
// started earlier.
func (dispatcher *Dispatcher) HostsWithoutState(now identifier.Moment) []identifier.HostID {
	recent := make(map[identifier.HostID]bool)
	for host, until := range dispatcher.withoutStateUntil {
		if host != dispatcher.Self && !until.Due(now) {
			recent[host] = true
		}
	}
	return sortedHosts(recent)
}

// MayLackState reports whether this host may not have received the state of the others yet, since
// it has just started or was isolated.
func (dispatcher *Dispatcher) MayLackState(now identifier.Moment) bool {
	until, started := dispatcher.withoutStateUntil[dispatcher.Self]
	return started && !until.Due(now)
}

// countHostsWithoutState counts the hosts that restarted without state shortly before a takeover.
// They are live and reply, but know nothing of the records that they shared with a missing host.
func (dispatcher *Dispatcher) countHostsWithoutState(cell *cell) {
	for host, until := range dispatcher.withoutStateUntil {
		if until.Due(dispatcher.now) {
			delete(dispatcher.withoutStateUntil, host)
			continue
		}
		dispatcher.countHostWithoutState(cell, host)
	}
}

func (dispatcher *Dispatcher) countHostWithoutState(cell *cell, host identifier.HostID) {
	cell.hostsWithoutState[host] = true
	dispatcher.scheduleLostStateExpiry(cell)
}

// scheduleLostStateExpiry sets the time after which no record that lost hosts held would still be
// kept.
func (dispatcher *Dispatcher) scheduleLostStateExpiry(cell *cell) {
	end := dispatcher.now.Add(dispatcher.Settings.AnswerRetention).Add(longestJob)
	dispatcher.timers.Set(timerKey{kind: timerLostState, cell: cell.number}, end)
}

// expireLostState stops counting hosts that restarted without state, once none of their records
// would still be kept.
func (dispatcher *Dispatcher) expireLostState(number messenger.CellNumber) {
	cell := dispatcher.cells.Get(number)
	if cell == nil {
		return
	}
	clear(cell.hostsWithoutState)
	clear(cell.acknowledged)
}
