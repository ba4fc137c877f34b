package replayer

import (
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// ledger counts the messages that were sent. A message is the batch of one tick
// from one process to another. Whether it was needed is known only at the end,
// when it is known which answers callers received.
//
// A batch whose parts were needed only in part counts as wasted by its share, so
// that waste can't hide behind one needed part.
type ledger struct {
	batches []batch
	// ranAt tells which backend server ran a task.
	ranAt   map[dispatcher.TaskKey]identifier.BackendServerID
	control map[identifier.HostID]identifier.Bytes
	// cameBack are the jobs that another failure domain sent back as not run.
	cameBack map[identifier.SubmissionID]bool
}

type batch struct{ parts []part }

// part is the share of one submission or task in a batch.
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
	// partWaste is a refused start or a stop of what ran.
	partWaste partKind = iota
	// partRequest is a caller's request or the response to it.
	partRequest
	// partForward is a job, or its answer, between its caller's host and its lead.
	partForward
	// partRecord is a copy of a submission's record or a receipt.
	partRecord
	// partSpill is a job handed to another failure domain, or its answer.
	partSpill
	partStart
	partTaskAnswer
)

func newLedger() *ledger {
	return &ledger{
		ranAt:    make(map[dispatcher.TaskKey]identifier.BackendServerID),
		control:  make(map[identifier.HostID]identifier.Bytes),
		cameBack: make(map[identifier.SubmissionID]bool),
	}
}

func (ledger *ledger) add(parts []part) {
	if len(parts) > 0 {
		ledger.batches = append(ledger.batches, batch{parts: parts})
	}
}

func (ledger *ledger) started(server identifier.BackendServerID, key dispatcher.TaskKey) {
	ledger.ranAt[key] = server
}

func (ledger *ledger) callerRequest(request *request) {
	ledger.add([]part{{kind: partRequest, request: request}})
}

func (ledger *ledger) callerAnswer(request *request) {
	ledger.add([]part{{kind: partRequest, request: request}})
}

func (ledger *ledger) serverBatch(host identifier.HostID, batch *dispatcher.ToServer) {
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
	ledger.add(parts)
	ledger.addControl(host, leadSize(batch.Lead))
}

func (ledger *ledger) hostBatch(host identifier.HostID, inputs []dispatcher.Input) {
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
			ledger.addControl(host, serverControlSize(input))
		}
	}
	ledger.add(parts)
}

func (ledger *ledger) peerBatch(from identifier.HostID, output *coordinator.ToPeer) {
	var parts []part
	for index := range output.Batch.Messages {
		message := &output.Batch.Messages[index]
		if answer := message.SpillAnswer; answer != nil && answer.NotRun {
			ledger.cameBack[answer.Submission] = true
		}
		data := peerParts(from, output.Host, message)
		if data == nil {
			ledger.addControl(from, peerControlSize(message))
		}
		parts = append(parts, data...)
	}
	ledger.add(parts)
}

func (ledger *ledger) addControl(host identifier.HostID, size int) {
	ledger.control[host] += identifier.Bytes(size)
}

func (ledger *ledger) messages() int { return len(ledger.batches) }

// wasted returns how many messages no answer needed that a caller received.
func (ledger *ledger) wasted(submissions map[identifier.SubmissionID]*submission) float64 {
	total := 0.0
	for index := range ledger.batches {
		parts := ledger.batches[index].parts
		needless := 0
		for number := range parts {
			if !ledger.needed(&parts[number], submissions) {
				needless++
			}
		}
		total += float64(needless) / float64(len(parts))
	}
	return total
}

func (ledger *ledger) needed(part *part, submissions map[identifier.SubmissionID]*submission) bool {
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
		return !ledger.cameBack[part.submission]
	case partStart:
		key := dispatcher.TaskKey{Submission: part.submission, Task: part.task}
		return known.complete && ledger.ranAt[key] == part.server
	case partTaskAnswer:
		return known.complete
	default:
		return false
	}
}
