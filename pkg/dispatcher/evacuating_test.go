package dispatcher_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// outcomes counts the results of a tick.
type outcomes struct{ starts, refused, handedOver int }

func countOutcomes(outputs []dispatcher.Output) outcomes {
	var counted outcomes
	for _, output := range outputs {
		switch output := output.(type) {
		case *dispatcher.ToServer:
			counted.starts += len(output.Starts)
		case *dispatcher.JobAnswered:
			if output.Answer.NotRun {
				counted.refused++
			}
		case *dispatcher.RecordSpill:
			counted.handedOver++
		}
	}
	return counted
}

// TestEvacuationOfALead guards against starts on servers of an evacuated failure domain, and against
// jobs that wait there although another failure domain has capacity, or none ever will.
func TestEvacuationOfALead(t *testing.T) {
	const other = identifier.FailureDomain("other")
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
	lead.Tick(0, []dispatcher.Input{
		&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}},
		&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
		&dispatcher.RemoteLeadChanged{Notice: messenger.LeadNotice{FailureDomain: other, Host: "other-0", Epoch: 7}},
		&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 2},
		&dispatcher.ServerReported{Server: "server-0", Epoch: 2},
	})
	forward := func(submission identifier.SubmissionID, mayRun ...identifier.FailureDomain) dispatcher.Input {
		job := newJob(string(submission), "a", "counter", equalRuns(2, 0), nil)
		job.MayRun = mayRun
		return &dispatcher.JobForwarded{From: "entry-0", Job: job, Deadline: identifier.Never}
	}
	evacuated := &dispatcher.EvacuationsChanged{Evacuated: messenger.EvacuatedDomains{fake.Domain}}
	free := &dispatcher.LoadAnnounced{From: "other-0", Notice: messenger.LoadNotice{FailureDomain: other, FreeSlots: 8}}
	for step, test := range []struct {
		what   string
		inputs []dispatcher.Input
		want   outcomes
	}{
		{"free slots", []dispatcher.Input{forward("s-1", fake.Domain)}, outcomes{starts: 2}},
		{"no free slots", []dispatcher.Input{forward("s-2", fake.Domain), forward("s-3", fake.Domain, other)}, outcomes{}},
		{"evacuated, free slots elsewhere", []dispatcher.Input{free, evacuated}, outcomes{refused: 1, handedOver: 1}},
		{"a new job", []dispatcher.Input{forward("s-4", fake.Domain)}, outcomes{refused: 1}},
		{"readmitted", []dispatcher.Input{&dispatcher.EvacuationsChanged{}, forward("s-5", fake.Domain)}, outcomes{}},
	} {
		if counted := countOutcomes(lead.Tick(identifier.Moment(step+1), test.inputs)); counted != test.want {
			t.Errorf("%s: %+v, want %+v", test.what, counted, test.want)
		}
	}
}
