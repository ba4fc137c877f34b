package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// recordsPerMessage bounds the size of a message that makes lost copies good.
const recordsPerMessage = 500

// repairCopies makes good for a host whose memory is lost.
//
// Two hosts of the home know each submission. When a lead dies, its successor learns
// from the other one. When the other one dies, nobody would notice; after the loss
// of the lead as well, minutes later, a resend would look new and run again.
// Therefore the lead has a third host hold what stood there, answers included.
func (forwarder *Forwarder) repairCopies(lost identifier.HostID) {
	second := forwarder.secondHost(lost)
	if second == "" || second == lost {
		return
	}
	var records []messenger.CopyRecord
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		if front.copyAt == lost && front.copyHeld {
			front.copyAt = second
			records = append(records, forwarder.recordOf(front))
			forwarder.repairAnswer(second, front.answer)
		}
		return true
	})
	forwarder.copies.Each(func(_ identifier.SubmissionID, held *heldCopy) bool {
		if held.partner == lost {
			held.partner = second
			records = append(records, forwarder.recordOfCopy(held))
			forwarder.repairAnswer(second, held.answer)
		}
		return true
	})
	forwarder.relays.Each(func(submission identifier.SubmissionID, relay *relay) bool {
		if held := forwarder.copies.Get(submission); held != nil && relay.passed && relay.copyAt == lost {
			relay.copyAt = second
			records = append(records, forwarder.recordOfCopy(held))
			forwarder.repairAnswer(second, held.answer)
		}
		return true
	})
	forwarder.sendRepairs(second, records)
}

func (forwarder *Forwarder) repairAnswer(second identifier.HostID, answer *messenger.JobAnswer) {
	if answer != nil {
		forwarder.add(&HoldAnswer{To: second, Copy: messenger.AnswerCopy{Answer: answer}})
	}
}

func (forwarder *Forwarder) sendRepairs(second identifier.HostID, records []messenger.CopyRecord) {
	for index := range records {
		records[index].Answered = false
		records[index].AnswerAt = ""
		key := cellKey{failureDomain: forwarder.FailureDomain, cell: records[index].Cell}
		if lead := forwarder.leads.Get(key); lead != nil {
			records[index].Epoch = lead.epoch
		}
	}
	for chunk := range slices.Chunk(records, recordsPerMessage) {
		forwarder.add(&HoldCopies{To: second, Records: chunk})
	}
}
