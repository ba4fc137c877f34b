package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A lead that misses the two hosts which alone may know a submission asks the leads of
// the other failure domains for the jobs of its home that they have had.
//
// If it did not, it would take the resend of a job that was handed over for new and
// start it at home. It would show as tasks of a submission that run in two failure
// domains. What a lead tells is merged with the records of a takeover, so a job that it
// has had is asked for there before anything of it starts.

const (
	// mostGuestAttempts bounds how long a takeover waits for leads of other failure
	// domains, TakeoverTimeout each time: as long as it waits for hosts.
	mostGuestAttempts = mostTakeoverAttempts
	// mostGuestsTold bounds a reply, to about 5 MB at 100 bytes a record. It is above
	// what a cell takes from others within the answer retention at 70 jobs a second. A
	// reply that has so many does not count as complete.
	mostGuestsTold = 50_000
	// mostAcknowledgedTold bounds a reply as well, to 4.5 MB at 9 bytes each: what 12 backend
	// servers acknowledge within the answer retention at 70 starts a second each.
	mostAcknowledgedTold = 500_000
	// recopyTime is how long after a host has lost its memory the other holders of its
	// records may not have copied them elsewhere, because they are gone or cut off
	// themselves: a loss takes 1.4 s to be noticed, and the batches of the copying some
	// seconds more.
	recopyTime = 10 * time.Second
)

// askGuests asks all reachable leads of other failure domains that have not told yet, and the
// backend servers.
func (dispatcher *Dispatcher) askGuests(cell *cell) {
	dispatcher.askAcknowledged(cell)
	dispatcher.remotes.Each(func(key remoteKey, remote *remote) bool {
		if key.cell == cell.number {
			dispatcher.askGuestsOf(cell, remote)
		}
		return true
	})
}

// askGuestsAgain asks once more during a takeover, and in the end does without.
func (dispatcher *Dispatcher) askGuestsAgain(cell *cell) {
	if cell.guestAttempts >= mostGuestAttempts {
		clear(cell.awaitedDomains)
		return
	}
	dispatcher.askGuests(cell)
	if len(cell.awaitedDomains) > 0 {
		cell.guestAttempts++
	}
}

// askGuestsOf asks one lead, where records may be missing. A cell in service does not
// wait for the reply.
func (dispatcher *Dispatcher) askGuestsOf(cell *cell, remote *remote) {
	domain := remote.key.failureDomain
	if !cell.mayMissRecords() || remote.unreachable || cell.toldDomains[domain] {
		return
	}
	if !cell.ready {
		cell.awaitedDomains[domain] = true
	}
	query := messenger.GuestQuery{FailureDomain: dispatcher.FailureDomain, Cell: cell.number, Epoch: cell.epoch}
	dispatcher.outputs.add(&GuestsWanted{To: remote.host, Query: query})
}

// takeGuestQuery answers the lead of a home that misses records, once the backend servers here
// have told what was acknowledged: an earlier lead of this cell may have had jobs of that home,
// and is lost as well. A lead that asks again, since some server doesn't report, is answered
// with what is known. While the cell is taken over nobody here knows enough; it asks again.
func (dispatcher *Dispatcher) takeGuestQuery(input *GuestsQueried) {
	query := input.Query
	cell := dispatcher.cells.Get(query.Cell)
	key := remoteKey{failureDomain: query.FailureDomain, cell: query.Cell}
	if cell == nil || !cell.ready || dispatcher.deposed(key, input.From, query.Epoch) {
		return
	}
	again := slices.ContainsFunc(cell.guestQueries, func(waiting *GuestsQueried) bool { return *waiting == *input })
	if !cell.wantsAcknowledged {
		dispatcher.wantAcknowledged(cell)
	}
	if len(cell.awaitedServers) > 0 && !again {
		cell.guestQueries = append(cell.guestQueries, input)
		return
	}
	dispatcher.tellGuests(cell, input)
}

// tellGuests lists the jobs of a home that this host has had as a lead. It takes
// nothing more from an earlier lead of that home: the list would be incomplete.
func (dispatcher *Dispatcher) tellGuests(cell *cell, input *GuestsQueried) {
	query := input.Query
	reply := messenger.GuestReply{FailureDomain: dispatcher.FailureDomain, Cell: query.Cell, Epoch: query.Epoch}
	dispatcher.jobs.Each(func(_ identifier.SubmissionID, job *job) bool {
		if job.guestOf != "" && job.cell == query.Cell && job.spec.Home() == query.FailureDomain {
			reply.Records = append(reply.Records, dispatcher.guestRecord(job))
		}
		return len(reply.Records) < mostGuestsTold
	})
	reply.Records = append(reply.Records, dispatcher.orphanRecords(cell)...)
	reply.Acknowledged = slices.Sorted(maps.Keys(cell.acknowledged))
	reply.Acknowledged = reply.Acknowledged[:min(len(reply.Acknowledged), mostAcknowledgedTold)]
	dispatcher.outputs.add(&GuestsTold{To: input.From, Reply: reply})
}

// orphanRecords lists the submissions of which backend servers here have tasks that no job of
// this lead asked for. An earlier lead of this cell may have taken them from the home; that it
// knew of them is lost with it. Those of other homes are never asked for there.
func (dispatcher *Dispatcher) orphanRecords(cell *cell) []messenger.CopyRecord {
	var records []messenger.CopyRecord
	for submission := range cell.orphans {
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
	complete := len(input.Reply.Records) < mostGuestsTold && len(input.Reply.Acknowledged) < mostAcknowledgedTold
	cell.toldDomains[input.Reply.FailureDomain] = complete
	delete(cell.awaitedDomains, input.Reply.FailureDomain)
	dispatcher.finishTakeoverIfComplete(cell)
}

// untoldDomain returns a failure domain that an earlier lead may have handed a job to and
// that has not told which jobs it has had; empty where there is none. Nothing of the job
// is started before that one tells, or the wait for unknown tasks is over.
func (dispatcher *Dispatcher) untoldDomain(cell *cell, job *job) identifier.FailureDomain {
	if job.guestOf != "" || !cell.mayMissRecords() {
		return ""
	}
	for _, domain := range job.spec.MayRun {
		known := dispatcher.remotes.Get(remoteKey{failureDomain: domain, cell: cell.number}) != nil
		if known && domain != dispatcher.FailureDomain && !cell.toldDomains[domain] {
			return domain
		}
	}
	return ""
}

// noteEmptied notes that a host has lost its memory before this lead had all of it.
// Its new process answers the takeover with nothing, and that must not pass for what
// the old one knew.
func (dispatcher *Dispatcher) noteEmptied(cell *cell, host identifier.HostID) {
	if !cell.missingHosts[host] && !cell.awaitedHosts[host] {
		return
	}
	dispatcher.countEmptied(cell, host)
	dispatcher.askGuests(cell)
}

// Emptied lists the other hosts of the failure domain that have lately lost their
// memory, as far as this host has seen. A new lead that has just started itself does not
// know it of a host that started before it looked.
func (dispatcher *Dispatcher) Emptied(now identifier.Moment) []identifier.HostID {
	recent := make(map[identifier.HostID]bool)
	for host, until := range dispatcher.emptiedUntil {
		if host != dispatcher.Self && !until.Due(now) {
			recent[host] = true
		}
	}
	return sortedHosts(recent)
}

// countAllEmptied counts the hosts at a takeover that have lost their memory just
// before. They live and answer, and know nothing of what a missing host shared with
// them.
func (dispatcher *Dispatcher) countAllEmptied(cell *cell) {
	for host, until := range dispatcher.emptiedUntil {
		if until.Due(dispatcher.now) {
			delete(dispatcher.emptiedUntil, host)
			continue
		}
		dispatcher.countEmptied(cell, host)
	}
}

func (dispatcher *Dispatcher) countEmptied(cell *cell, host identifier.HostID) {
	cell.emptiedHosts[host] = true
	dispatcher.doubtUntilForgotten(cell)
}

// doubtUntilForgotten sets when nothing that lost hosts knew would be remembered any more.
func (dispatcher *Dispatcher) doubtUntilForgotten(cell *cell) {
	end := dispatcher.now.Add(dispatcher.Settings.AnswerRetention).Add(longestJob)
	dispatcher.timers.Set(timerKey{kind: timerEmptied, cell: cell.number}, end)
}

// endDoubt counts emptied hosts no longer, once nothing that they knew would
// be remembered any more.
func (dispatcher *Dispatcher) endDoubt(number messenger.CellNumber) {
	cell := dispatcher.cells.Get(number)
	if cell == nil {
		return
	}
	clear(cell.emptiedHosts)
	clear(cell.acknowledged)
}
