package dispatcher

import "github.com/stoathitch/stoathitch/pkg/messenger"

// handleHostReturned queries a host that has returned for its records.
//
// A lead may have been cut off for a moment just after it sent its caller the answer of a
// submission and before another host held a copy. This host then took over the cell without that
// answer and would answer a resubmission differently.
func (dispatcher *Dispatcher) handleHostReturned(input *HostReturned) {
	if input.Host == dispatcher.Self {
		return
	}
	dispatcher.recordHostVisibility(input.Host, false)
	if input.WithoutState {
		dispatcher.withoutStateUntil[input.Host] = dispatcher.now.Add(rereplicationTime)
	}
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		if input.WithoutState {
			dispatcher.recordHostWithoutState(cell, input.Host)
		}
		if !cell.ready {
			cell.awaitedHosts[input.Host] = true
		}
		query := messenger.TakeoverQuery{Cell: cell.number, Epoch: cell.epoch}
		dispatcher.outputs.add(&TakeoverWanted{To: input.Host, Query: query})
		return true
	})
}

// IsolationEnded reports that this host was cut off from the others of its failure domain and may
// have missed their records.
type IsolationEnded struct{}

func (*IsolationEnded) isDispatcherInput() {}

// recordIsolation counts this host among those without earlier state.
//
// While it was cut off, the last host that the others could reach may have accepted jobs that no
// other host knew of, and may have been lost since. A takeover that ignored this would start
// resubmissions of those jobs as new.
func (dispatcher *Dispatcher) recordIsolation() {
	dispatcher.withoutStateUntil[dispatcher.Self] = dispatcher.now.Add(rereplicationTime)
}

// handleHostGone goes on without a host that is gone. The records it has not sent are missing,
// unless it has handed them over.
func (dispatcher *Dispatcher) handleHostGone(input *HostGone) {
	dispatcher.recordHostVisibility(input.Host, !input.Left)
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		if cell.awaitedHosts[input.Host] && !input.HandedOver {
			cell.missingHosts[input.Host] = true
		}
		delete(cell.awaitedHosts, input.Host)
		dispatcher.queryGuests(cell)
		dispatcher.finishTakeoverIfComplete(cell)
		return true
	})
}

// adoptAnswers ends the jobs of a ready cell whose answer turned out to be held by another host.
// The waiting hosts get that answer.
func (dispatcher *Dispatcher) adoptAnswers(cell *cell, records []messenger.CopyRecord) {
	if !cell.ready {
		return
	}
	for _, record := range records {
		job := dispatcher.jobs.Get(record.Submission)
		if !record.Answered || job == nil || job.state == jobFinished {
			continue
		}
		dispatcher.requestAnswerFromHolder(cell.recovered[record.Submission], job)
	}
}
