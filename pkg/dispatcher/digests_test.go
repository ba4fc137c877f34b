package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// digests is a fixed set of digests.
type digests struct {
	kinds    map[identifier.SubmissionID]messenger.DigestKind
	lastHost bool
}

func (digests digests) KindOf(submission identifier.SubmissionID) messenger.DigestKind {
	return digests.kinds[submission]
}

func (digests digests) IsLastHost() bool { return digests.lastHost }

// newDigestLead returns the lead of a cell with one backend server, and its first outputs.
func newDigestLead(known digests, missing ...identifier.HostID) (*dispatcher.Dispatcher, []dispatcher.Output) {
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings(), Digests: known}
	lead.Tick(0, []dispatcher.Input{&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 4}})
	outputs := lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{
		&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}, Missing: missing},
		&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
		&dispatcher.ServerReported{Server: "server-0", Epoch: 2},
	})
	return lead, outputs
}

func forwardOf(submission identifier.SubmissionID, mayHaveEarlierStarts bool) *dispatcher.JobForwarded {
	job := newJob(string(submission), "a", "counter", equalRuns(1, 0), nil)
	return &dispatcher.JobForwarded{From: "entry-0", Job: job, Deadline: identifier.Never, MayHaveEarlierStarts: mayHaveEarlierStarts}
}

func answersIn(outputs []dispatcher.Output) []*messenger.JobAnswer {
	var answers []*messenger.JobAnswer
	for _, output := range outputs {
		if answered, isAnswer := output.(*dispatcher.JobAnswered); isAnswer {
			answers = append(answers, answered.Answer)
		}
	}
	return answers
}

func recordedIn(outputs []dispatcher.Output) map[identifier.SubmissionID]messenger.DigestKind {
	recorded := make(map[identifier.SubmissionID]messenger.DigestKind)
	for _, output := range outputs {
		if record, isRecord := output.(*dispatcher.RecordDigest); isRecord {
			recorded[record.Submission] = record.Kind
		}
	}
	return recorded
}

// TestDigestWithoutARecordStartsNothing guards against a second run of a submission, or the run of a
// refused one, when all hosts that hold its record are lost. A submission that somebody knows is ended
// only if two hosts are missing; else one that holds its answer replies later.
func TestDigestWithoutARecordStartsNothing(t *testing.T) {
	known := digests{kinds: map[identifier.SubmissionID]messenger.DigestKind{
		"s-started": messenger.DigestStarted, "s-ended": messenger.DigestEnded,
		"s-started-known": messenger.DigestStarted, "s-started-forwarded": messenger.DigestStarted, "s-ended-known": messenger.DigestEnded,
	}}
	for _, test := range []struct {
		name    string
		missing []identifier.HostID
		started []identifier.SubmissionID
	}{
		{"no host missing", nil, []identifier.SubmissionID{"s-started-known", "s-ended-known", "s-new"}},
		{"two hosts missing", []identifier.HostID{"entry-1", "entry-2"}, []identifier.SubmissionID{"s-new"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			lead, _ := newDigestLead(known, test.missing...)
			outputs := lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{
				&dispatcher.ServerReported{Server: "server-0", Epoch: 2, ListsAcknowledged: true},
				&dispatcher.DigestsCollected{},
				&dispatcher.TakeoverReplied{From: "entry-3", Reply: messenger.TakeoverReply{Epoch: 2, Records: []messenger.CopyRecord{
					{Submission: "s-started-known"}, {Submission: "s-ended-known"},
				}}},
				forwardOf("s-started", false),
				forwardOf("s-ended", false),
				// The caller's host had sent it to a lead that is lost.
				forwardOf("s-started-forwarded", true),
				forwardOf("s-started-known", true),
				forwardOf("s-ended-known", true),
				forwardOf("s-new", false),
			})
			for _, answer := range answersIn(outputs) {
				if answer.Reason != messenger.ReasonAnswerLost || !answer.ClaimsNothing() {
					t.Errorf("answered %+v", answer)
				}
			}
			if started := startedSubmissions(outputs); !slices.Equal(started, test.started) {
				t.Errorf("started %v, want %v", started, test.started)
			}
		})
	}
}

// TestLeadRecordsDigests pins what gets a digest: what is started, and what is refused as not run.
func TestLeadRecordsDigests(t *testing.T) {
	lead, _ := newDigestLead(digests{})
	tooLarge := forwardOf("s-refused", false)
	tooLarge.Job.MayRun = []identifier.FailureDomain{fake.Domain}
	tooLarge.Deadline = identifier.Moment(time.Minute)
	outputs := lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{forwardOf("s-started", false), tooLarge})
	recorded := recordedIn(outputs)
	if len(recorded) != 2 || recorded["s-started"] != messenger.DigestStarted || recorded["s-refused"] != messenger.DigestEnded {
		t.Errorf("recorded %v", recorded)
	}
}

// TestLoneHostDoesNotClaimNotRun guards against the run of a submission whose refusal was lost with
// the only host that knew it.
func TestLoneHostDoesNotClaimNotRun(t *testing.T) {
	for _, alone := range []bool{false, true} {
		lead, _ := newDigestLead(digests{lastHost: alone})
		late := forwardOf("s-late", false)
		late.Deadline = identifier.Moment(time.Minute)
		answers := answersIn(lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{late}))
		if len(answers) != 1 || answers[0].NotRun == alone {
			t.Errorf("alone %v: answered %+v", alone, answers)
		}
	}
}

// TestLoneHostDoesNotClaimFailure guards against the answer "complete" to a resend after "failed": the
// only host that knew of the failure was lost, and the next lead completed the job.
func TestLoneHostDoesNotClaimFailure(t *testing.T) {
	for _, alone := range []bool{false, true} {
		lead, _ := newDigestLead(digests{lastHost: alone})
		job := forwardOf("s-1", false)
		lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{job})
		cancel := messenger.Cancel{Submission: "s-1", Caller: job.Job.Caller}
		answers := answersIn(lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{
			&dispatcher.CancelArrived{From: "entry-0", Cancel: cancel},
		}))
		if len(answers) != 1 || answers[0].ClaimsNothing() != alone {
			t.Errorf("alone %v: answered %+v", alone, answers)
		}
	}
}

// TestLeadInDoubtAwaitsDigests guards against a second run: a lead that misses two hosts started a
// submission before another host sent its digest.
func TestLeadInDoubtAwaitsDigests(t *testing.T) {
	lead, outputs := newDigestLead(digests{}, "entry-1", "entry-2")
	wanted := false
	for _, output := range outputs {
		_, isWanted := output.(*dispatcher.DigestsRequested)
		wanted = wanted || isWanted
	}
	if !wanted {
		t.Error("the lead requests no digests")
	}
	outputs = lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{
		&dispatcher.ServerReported{Server: "server-0", Epoch: 2, ListsAcknowledged: true}, forwardOf("s-1", false),
	})
	if started := startedSubmissions(outputs); len(started) > 0 {
		t.Errorf("started %v before the digests were collected", started)
	}
	outputs = lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{&dispatcher.DigestsCollected{}})
	if started := startedSubmissions(outputs); len(started) != 1 {
		t.Errorf("started %v, want s-1", started)
	}
}

// TestRecoveredAnswerIsRecordedAgain guards against the loss of a digest that an earlier lead had not
// sent to all hosts.
func TestRecoveredAnswerIsRecordedAgain(t *testing.T) {
	lead, _ := newDigestLead(digests{})
	recorded := recordedIn(lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{
		&dispatcher.TakeoverReplied{From: "entry-1", Reply: messenger.TakeoverReply{Epoch: 2, Records: []messenger.CopyRecord{
			{Submission: "s-answered", Answered: true}, {Submission: "s-spilled", SpilledTo: "away"}, {Submission: "s-open"},
			{Submission: "s-old", Answered: true, Age: time.Minute},
		}}},
	}))
	if len(recorded) != 2 || recorded["s-answered"] != messenger.DigestStarted || recorded["s-spilled"] != messenger.DigestStarted {
		t.Errorf("recorded %v, want s-answered and s-spilled", recorded)
	}
}
