package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// pendingProposal waits until the entry at its index is applied.
type pendingProposal struct{ handle Handle }

// propose appends a command, or refuses it without appending anything.
func (replicator *Replicator) propose(proposal Proposed) {
	if refusal, refused := replicator.refusalReason(); refused {
		replicator.refuseProposal(proposal.Handle, refusal)
		return
	}
	if replicator.isOverloaded() {
		replicator.refuseProposal(proposal.Handle, OutcomeOverloaded)
		return
	}
	if identifier.Bytes(len(proposal.Data)) > replicator.Settings.MaxEntryBytes {
		replicator.refuseProposal(proposal.Handle, OutcomeTooLarge)
		return
	}
	index := replicator.appendAsLeader(EntryCommand, proposal.Data)
	replicator.pending.Put(index, &pendingProposal{handle: proposal.Handle})
}

// refusalReason returns why nothing can be appended now. Without a recent quorum a leader
// refuses at once: a proposal that it appended could not be accepted, and its proposer would
// learn late that the outcome is unknown.
func (replicator *Replicator) refusalReason() (OutcomeKind, bool) {
	if replicator.role != RoleLeader {
		return OutcomeNotLeader, true
	}
	if replicator.leadership.transferTo != "" {
		return OutcomeHandingOver, true
	}
	lastQuorumContact := max(replicator.leadership.since, replicator.quorumStamp())
	if lastQuorumContact.Add(replicator.Settings.leaseDuration()).Due(replicator.now) {
		return OutcomeNoQuorum, true
	}
	return OutcomeAccepted, false
}

// isOverloaded reports whether too much waits for commands to be appended. Changes of the members are
// small and may be what the waiting entries need.
func (replicator *Replicator) isOverloaded() bool {
	if int(replicator.log.lastIndex()-replicator.hard.Commit) >= replicator.Settings.MaxUncommittedEntries {
		return true
	}
	settled := min(replicator.hard.Commit, replicator.journal.durableIndex)
	return replicator.log.bytesAfter(settled, replicator.log.lastIndex()) >= replicator.Settings.MaxUncommittedBytes
}

func (replicator *Replicator) refuseProposal(handle Handle, kind OutcomeKind) {
	replicator.emit(ProposalOutcome{Handle: handle, Kind: kind, LeaderHint: replicator.leader})
}

// applyCommitted applies the committed entries in order and reports the outcomes of their
// proposals.
func (replicator *Replicator) applyCommitted() {
	for replicator.applied < replicator.hard.Commit {
		entry := replicator.log.at(replicator.applied + 1)
		var result []byte
		if entry.Kind == EntryCommand {
			result = replicator.StateMachine.Apply(entry.Index, entry.Data)
		}
		replicator.applied = entry.Index
		replicator.emit(Applied{Entry: entry, Result: result})
		proposal := replicator.pending.Get(entry.Index)
		if proposal == nil {
			continue
		}
		replicator.pending.Remove(entry.Index)
		replicator.emit(ProposalOutcome{
			Handle:     proposal.handle,
			Kind:       OutcomeAccepted,
			Index:      entry.Index,
			Result:     result,
			LeaderHint: replicator.leader,
		})
	}
}
