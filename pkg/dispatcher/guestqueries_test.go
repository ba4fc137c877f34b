package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestFullListOfGuestsIsNotComplete guards against a job that runs at home although another failure
// domain has it, because a list of guests that was cut off counts as complete. A lead that misses
// two hosts queries the home's jobs, and the reply has the maximum number of records; a job that
// an earlier lead knew is not among them. The lead must query that job separately.
func TestFullListOfGuestsIsNotComplete(t *testing.T) {
	const away = identifier.FailureDomain("away")
	for records, want := range map[int]int{1: 0, 50_000: 1} {
		reply := messenger.GuestReply{FailureDomain: away, Epoch: 2}
		for number := range records {
			submission := identifier.SubmissionID(fmt.Sprintf("other-%d", number))
			reply.Records = append(reply.Records, messenger.CopyRecord{Submission: submission, SpilledTo: away})
		}
		job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
		job.MayRun = []identifier.FailureDomain{fake.Domain, away}
		lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
		outputs := lead.Tick(0, []dispatcher.Input{
			&dispatcher.RemoteLeadChanged{Notice: messenger.LeadNotice{FailureDomain: away, Host: "away-0", Epoch: 7}},
			&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}, Missing: []identifier.HostID{"entry-1", "entry-2"}},
			&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
			&dispatcher.GuestsListed{From: "away-0", Reply: reply},
			&dispatcher.JobForwarded{From: "entry-0", Job: job, Deadline: identifier.Never, MayHaveEarlierStarts: true},
		})
		queries := 0
		for _, output := range outputs {
			if spill, isSpill := output.(*dispatcher.SpillJob); isSpill && spill.Request.Mode == messenger.SpillQuery {
				queries++
			}
		}
		if queries != want {
			t.Errorf("with %d records: %d queries, want %d", records, queries, want)
		}
	}
}
