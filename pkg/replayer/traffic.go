package replayer

import (
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// traffic records the messages that were sent. A message is the batch of one tick from one
// process to another. Whether it was needed is known only at the end of the replay, when it
// is known which answers the callers received.
//
// A batch counts as wasted by the fraction of its parts that were not needed, so that a single
// needed part doesn't hide the waste of the others.
type traffic struct {
	batches []messageBatch
	// ranAt maps each task to the backend server that started it last.
	ranAt   map[dispatcher.TaskKey]identifier.BackendServerID
	control map[identifier.HostID]identifier.Bytes
	// returnedUnrun holds the jobs that another failure domain sent back as not run.
	returnedUnrun map[identifier.SubmissionID]bool
}

type messageBatch struct{ parts []part }

// part is the portion of a batch that concerns one submission or task.
type part struct {
	kind       partKind
	submission identifier.SubmissionID
	task       identifier.TaskID
	server     identifier.BackendServerID
	host       identifier.HostID
	request    *request
}

type partKind int

const (
	// partWaste is the refusal of a start, or a cancellation of a task.
	partWaste partKind = iota
	// partRequest is a caller's request or the response to it.
	partRequest
	// partForward is a job, or its answer, between the caller's entry host and the job's lead.
	partForward
	// partRecord is a copy of a submission's record or a receipt.
	partRecord
	// partSpill is a job that is handed over to another failure domain, or its answer.
	partSpill
	partStart
	partTaskAnswer
)

func newTraffic() *traffic {
	return &traffic{
		ranAt:         make(map[dispatcher.TaskKey]identifier.BackendServerID),
		control:       make(map[identifier.HostID]identifier.Bytes),
		returnedUnrun: make(map[identifier.SubmissionID]bool),
	}
}

func (traffic *traffic) add(parts []part) {
	if len(parts) > 0 {
		traffic.batches = append(traffic.batches, messageBatch{parts: parts})
	}
}

func (traffic *traffic) started(server identifier.BackendServerID, key dispatcher.TaskKey) {
	traffic.ranAt[key] = server
}

func (traffic *traffic) callerRequest(request *request) {
	traffic.add([]part{{kind: partRequest, request: request}})
}

func (traffic *traffic) callerAnswer(request *request) {
	traffic.add([]part{{kind: partRequest, request: request}})
}

func (traffic *traffic) serverBatch(host identifier.HostID, batch *dispatcher.ToServer) {
	var parts []part
	for index := range batch.Starts {
		key := batch.Starts[index].TaskKey
		parts = append(parts, part{kind: partStart, submission: key.Submission, task: key.Task, server: batch.Server})
	}
	for range batch.Cancels {
		parts = append(parts, part{kind: partWaste})
	}
	for _, key := range batch.Acknowledged {
		parts = append(parts, part{kind: partTaskAnswer, submission: key.Submission})
	}
	traffic.add(parts)
	traffic.addControl(host, leadSize(batch.Lead))
}

func (traffic *traffic) hostBatch(host identifier.HostID, inputs []dispatcher.Input) {
	var parts []part
	for _, input := range inputs {
		switch input := input.(type) {
		case *dispatcher.TasksRefused:
			for range input.Refusals {
				parts = append(parts, part{kind: partWaste})
			}
		case *dispatcher.TasksAnswered:
			for index := range input.Answers {
				parts = append(parts, part{kind: partTaskAnswer, submission: input.Answers[index].Submission})
			}
		default:
			traffic.addControl(host, serverControlSize(input))
		}
	}
	traffic.add(parts)
}

func (traffic *traffic) peerBatch(from identifier.HostID, output *coordinator.ToPeer) {
	var parts []part
	for index := range output.Batch.Messages {
		message := &output.Batch.Messages[index]
		if answer := message.SpillAnswer; answer != nil && answer.NotRun {
			traffic.returnedUnrun[answer.Submission] = true
		}
		data := peerParts(from, output.Host, message)
		if data == nil {
			traffic.addControl(from, peerControlSize(message))
		}
		parts = append(parts, data...)
	}
	traffic.add(parts)
}

func (traffic *traffic) addControl(host identifier.HostID, size int) {
	traffic.control[host] += identifier.Bytes(size)
}

func (traffic *traffic) messages() int { return len(traffic.batches) }

// wasted returns the number of messages, in fractions, that contributed to no answer that a
// caller received.
func (traffic *traffic) wasted(submissions map[identifier.SubmissionID]*submission) float64 {
	total := 0.0
	for index := range traffic.batches {
		parts := traffic.batches[index].parts
		needless := 0
		for number := range parts {
			if !traffic.needed(&parts[number], submissions) {
				needless++
			}
		}
		total += float64(needless) / float64(len(parts))
	}
	return total
}

func (traffic *traffic) needed(part *part, submissions map[identifier.SubmissionID]*submission) bool {
	if part.kind == partRequest {
		known := part.request.submission
		return known.answeredBy == part.request || (part.request.cancels && known.answeredBy != nil)
	}
	known := submissions[part.submission]
	if known == nil || known.answeredBy == nil {
		return false
	}
	switch part.kind {
	case partForward:
		return part.host == known.answeredBy.host.id
	case partRecord:
		return true
	case partSpill:
		return !traffic.returnedUnrun[part.submission]
	case partStart:
		key := dispatcher.TaskKey{Submission: part.submission, Task: part.task}
		return known.complete && traffic.ranAt[key] == part.server
	case partTaskAnswer:
		return known.complete
	default:
		return false
	}
}
