package connector

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

func announced(announce *backendv1.Announce) *dispatcher.ServerAnnounced {
	return &dispatcher.ServerAnnounced{
		Server:         identifier.BackendServerID(announce.GetBackendServer()),
		Incarnation:    announce.GetIncarnation(),
		Uptime:         time.Duration(announce.GetUptimeNanos()),
		Rack:           identifier.RackID(announce.GetRack()),
		Slots:          identifier.Slots(announce.GetSlots()),
		Leaving:        announce.GetLeaving(),
		Tasks:          taskKeys(announce.GetTasks()),
		Unacknowledged: serverAnswers(announce.GetUnacknowledged()),
	}
}

func taskKeys(states []*backendv1.TaskState) []dispatcher.TaskKey {
	keys := make([]dispatcher.TaskKey, 0, len(states))
	for _, state := range states {
		keys = append(keys, taskKey(state.GetSubmission(), state.GetTask()))
	}
	return keys
}

func taskKey(submission, task string) dispatcher.TaskKey {
	return dispatcher.TaskKey{Submission: identifier.SubmissionID(submission), Task: identifier.TaskID(task)}
}

func serverAnswers(answers []*backendv1.Answer) []dispatcher.ServerAnswer {
	translated := make([]dispatcher.ServerAnswer, 0, len(answers))
	for _, answer := range answers {
		translated = append(translated, dispatcher.ServerAnswer{
			TaskKey:   taskKey(answer.GetSubmission(), answer.GetTask()),
			Failed:    answer.GetFailed(),
			Cancelled: answer.GetCancelled(),
			Result:    answer.GetResult(),
			Reason:    answer.GetReason(),
			RunTime:   time.Duration(answer.GetRunNanos()),
		})
	}
	return translated
}

func digests(numbers []uint64) []messenger.SubmissionDigest {
	translated := make([]messenger.SubmissionDigest, 0, len(numbers))
	for _, number := range numbers {
		translated = append(translated, messenger.SubmissionDigest(number))
	}
	return translated
}

// serverEvents translates one message into inputs, in the order that the protocol defines for the
// message's fields.
func serverEvents(id identifier.BackendServerID, message *backendv1.ServerMessage) []dispatcher.Input {
	events := make([]dispatcher.Input, 0, 1)
	if report := message.GetReport(); report != nil {
		events = append(events, &dispatcher.ServerReported{
			Server:         id,
			Cell:           messenger.CellNumber(report.GetCell()),
			Epoch:          identifier.Epoch(report.GetEpoch()),
			Tasks:          taskKeys(report.GetTasks()),
			Unacknowledged: serverAnswers(report.GetUnacknowledged()),
			Acknowledged:   digests(report.GetAcknowledged()),

			ListsAcknowledged: report.GetTellsAcknowledged(),
		})
	}
	if refusals := message.GetRefusals(); len(refusals) > 0 {
		events = append(events, &dispatcher.TasksRefused{Server: id, Refusals: serverRefusals(refusals)})
	}
	if answers := message.GetAnswers(); len(answers) > 0 {
		events = append(events, &dispatcher.TasksAnswered{Server: id, Answers: serverAnswers(answers)})
	}
	if heartbeat := message.GetHeartbeat(); heartbeat != nil {
		events = append(events, &dispatcher.ServerHeartbeat{Server: id, Busy: identifier.Slots(heartbeat.GetBusy())})
	}
	if message.GetLeaving() != nil {
		events = append(events, &dispatcher.ServerLeaving{Server: id})
	}
	return events
}

func serverRefusals(refusals []*backendv1.Refusal) []dispatcher.ServerRefusal {
	translated := make([]dispatcher.ServerRefusal, 0, len(refusals))
	for _, refusal := range refusals {
		translated = append(translated, dispatcher.ServerRefusal{
			TaskKey: taskKey(refusal.GetSubmission(), refusal.GetTask()),
			Kind:    dispatcher.RefusalKind(refusal.GetKind()),
		})
	}
	return translated
}
