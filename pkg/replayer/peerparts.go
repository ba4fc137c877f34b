package replayer

import (
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
)

// peerParts returns the parts of a message between entry hosts, or nil for control
// traffic.
func peerParts(from, to identifier.HostID, message *coordinator.PeerMessage) []part {
	switch {
	case message.Forward != nil:
		return []part{{kind: partForward, submission: message.Forward.Job.Submission, host: from}}
	case message.Answer != nil:
		return []part{{kind: partForward, submission: message.Answer.Submission, host: to}}
	case message.AnswerRequest != nil:
		return []part{{kind: partForward, submission: message.AnswerRequest.Submission, host: message.AnswerRequest.ReplyTo}}
	case message.Lookup != nil:
		return []part{{kind: partForward, submission: message.Lookup.Submission, host: from}}
	case message.Spill != nil:
		return []part{{kind: partSpill, submission: message.Spill.Job.Submission}}
	case message.SpillAnswer != nil:
		return []part{{kind: partSpill, submission: message.SpillAnswer.Submission}}
	case message.SpillReceipt != "":
		return []part{{kind: partSpill, submission: message.SpillReceipt}}
	default:
		return records(recordedIn(message))
	}
}

// recordedIn returns the submissions whose records, receipts or claims a message carries.
func recordedIn(message *coordinator.PeerMessage) []identifier.SubmissionID {
	switch {
	case message.AnswerReceipt != "":
		return []identifier.SubmissionID{message.AnswerReceipt}
	case message.AnswerCopy != nil:
		return []identifier.SubmissionID{message.AnswerCopy.Answer.Submission}
	case message.AnswerCopyReceipt != "":
		return []identifier.SubmissionID{message.AnswerCopyReceipt}
	case message.Cancel != nil:
		return []identifier.SubmissionID{message.Cancel.Submission}
	case message.CopyRequest != nil:
		var submissions []identifier.SubmissionID
		for index := range message.CopyRequest {
			submissions = append(submissions, message.CopyRequest[index].Submission)
		}
		return submissions
	case message.CopyReceipt != nil:
		return message.CopyReceipt
	case message.KeeperRequest != nil:
		return claimedIn(&message.KeeperRequest.Command)
	case message.KeeperReply != nil:
		var submissions []identifier.SubmissionID
		for _, decision := range message.KeeperReply.Result.Decisions {
			submissions = append(submissions, decision.Submission)
		}
		return submissions
	}
	return nil
}

func claimedIn(command *keeper.Command) []identifier.SubmissionID {
	var submissions []identifier.SubmissionID
	if command.Claims != nil {
		for _, claim := range command.Claims.Claims {
			submissions = append(submissions, claim.Submission)
		}
	}
	return submissions
}

func records(submissions []identifier.SubmissionID) []part {
	var parts []part
	for _, submission := range submissions {
		parts = append(parts, part{kind: partRecord, submission: submission})
	}
	return parts
}
