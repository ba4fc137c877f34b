package connector

import (
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// maxStartBytesPerMessage is the size in bytes up to which starts are packed into one message.
// gRPC rejects a received message of over 4 MiB, unless the backend server configures another
// limit, and ends the stream: a few starts with large payloads in one message would disconnect the
// server again and again.
const maxStartBytesPerMessage = 1 << 20

// startOverhead is the maximum encoded size of a start without its payload and names, in bytes.
const startOverhead = 64

// hostMessages translates the batches queued for a backend server into as few messages as their
// order and size allow.
func hostMessages(now identifier.Moment, batches []*dispatcher.ToServer) []*backendv1.HostMessage {
	merger := &hostMessageMerger{now: now}
	for _, batch := range batches {
		merger.add(batch)
	}
	return merger.messages
}

// hostMessageMerger merges batches into messages.
type hostMessageMerger struct {
	now      identifier.Moment
	messages []*backendv1.HostMessage
	// bytes is the size of the starts in the last message.
	bytes int
}

func (merger *hostMessageMerger) add(batch *dispatcher.ToServer) {
	if !merger.canMerge(batch) {
		merger.newMessage()
	}
	if batch.Lead != nil {
		merger.last().Lead = &backendv1.Lead{
			Cell: uint32(batch.Lead.Cell), Epoch: uint64(batch.Lead.Epoch), MayMissRecords: batch.Lead.ListAcknowledged,
		}
	}
	merger.addStarts(batch.Starts)
	message := merger.last()
	message.Cancels = appendBlock(message.Cancels, batch.Cancels, func(cancel *backendv1.Cancel, key *dispatcher.TaskKey) {
		cancel.Submission, cancel.Task = string(key.Submission), string(key.Task)
	})
	message.Received = appendBlock(message.Received, batch.Acknowledged, func(received *backendv1.AnswerReceived, key *dispatcher.TaskKey) {
		received.Submission, received.Task = string(key.Submission), string(key.Task)
	})
}

// canMerge reports whether a batch keeps its meaning when merged into the last message. The fields
// of a message are read in the order lead, starts, cancels, received. So a lead must come before,
// not after, what it fences, and an earlier cancel must be read before a later start.
func (merger *hostMessageMerger) canMerge(batch *dispatcher.ToServer) bool {
	if len(merger.messages) == 0 || batch.Lead != nil {
		return false
	}
	return len(batch.Starts) == 0 || len(merger.last().GetCancels()) == 0
}

func (merger *hostMessageMerger) newMessage() {
	merger.messages = append(merger.messages, &backendv1.HostMessage{})
	merger.bytes = 0
}

func (merger *hostMessageMerger) last() *backendv1.HostMessage {
	return merger.messages[len(merger.messages)-1]
}

// addStarts appends starts to the last message and adds messages as each one fills up.
func (merger *hostMessageMerger) addStarts(starts []dispatcher.Start) {
	unsent := 0
	for index := range starts {
		size := sizeOf(&starts[index])
		if merger.bytes > 0 && merger.bytes+size > maxStartBytesPerMessage {
			merger.appendStarts(starts[unsent:index])
			unsent = index
			merger.newMessage()
		}
		merger.bytes += size
	}
	merger.appendStarts(starts[unsent:])
}

func sizeOf(start *dispatcher.Start) int {
	return startOverhead + len(start.Payload) + len(start.Submission) + len(start.Job) + len(start.Task)
}

func (merger *hostMessageMerger) appendStarts(starts []dispatcher.Start) {
	message := merger.last()
	message.Starts = appendBlock(message.Starts, starts, func(target *backendv1.Start, start *dispatcher.Start) {
		target.Submission = string(start.Submission)
		target.Job = string(start.Job)
		target.Task = string(start.Task)
		target.Cell = uint32(start.Cell)
		target.Epoch = uint64(start.Epoch)
		target.Payload = start.Payload
		if remaining := start.Deadline.Remaining(merger.now); remaining != nil {
			target.RemainingNanos = max(int64(*remaining), 1)
		}
	})
}

// appendBlock appends the translation of each item. The translations share one block, so that a
// batch costs one allocation instead of one for each task.
func appendBlock[Item, Message any](target []*Message, items []Item, fill func(*Message, *Item)) []*Message {
	if len(items) == 0 {
		return target
	}
	block := make([]Message, len(items))
	for index := range items {
		fill(&block[index], &items[index])
		target = append(target, &block[index])
	}
	return target
}
