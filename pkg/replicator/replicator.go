package replicator

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Role is a keeper's current Raft role.
type Role int

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks whether it would be elected; its term stays unchanged.
	RolePreCandidate
	// RoleCandidate requests votes.
	RoleCandidate
	// RoleLeader appends to the log.
	RoleLeader
)

// Replicator is one keeper's instance of the consensus protocol. The exported fields are set
// before the first Tick.
type Replicator struct {
	// Self is this keeper. A keeper whose data folder was lost must come back under another id,
	// since it has forgotten its votes.
	Self identifier.HostID
	// Seed seeds the random part of the election timeout.
	Seed     uint64
	Settings Settings
	// InitialMembers are the voters of a new log, the same on each of them. A keeper that joins
	// an existing log later has none.
	InitialMembers []Member
	// Joining is set if this keeper's disk holds nothing that it acknowledged before: it is new,
	// or has lost its disk. See joining.go.
	Joining bool
	// Incarnation identifies this disk among all that keepers under Self have had. A joining keeper must
	// have one.
	Incarnation  identifier.Incarnation
	StateMachine StateMachine

	started bool
	halted  bool
	now     identifier.Moment
	outputs []Output
	random  *rand.Rand

	role        Role
	leader      identifier.HostID
	hard        HardState
	log         memoryLog
	memberships membershipHistory
	joining     joining
	snapshot    Snapshot
	saving      identifier.LogIndex
	applied     identifier.LogIndex
	journal     journal

	// lastLeaderContactAt is when this keeper last received from a leader, or its start; it
	// withholds its vote for ElectionTimeout from then on.
	lastLeaderContactAt identifier.Moment
	electionDeadline    identifier.Moment
	// yielded is set once this keeper has put its campaign off for another candidate.
	yielded bool
	// verified is the last index known to equal the current leader's log.
	verified identifier.LogIndex
	// ackStamp is the newest stamp received from the current leader.
	ackStamp Stamp
	incoming incomingSnapshot

	votes            *tabulator.Table[identifier.HostID, VoteReply]
	selfVoteSequence PersistSequence

	leadership leadership
	peers      *tabulator.Table[identifier.HostID, peer]
	pending    *tabulator.Table[identifier.LogIndex, pendingProposal]
	reads      []pendingRead
}

// Tick processes the inputs in order and returns the actions to carry out, in order. now must
// not go backwards.
func (replicator *Replicator) Tick(now identifier.Moment, inputs []Input) []Output {
	replicator.now = now
	replicator.outputs = nil
	if !replicator.started {
		inputs = replicator.start(inputs)
	}
	for _, input := range inputs {
		if replicator.halted {
			break
		}
		replicator.handleInput(input)
	}
	if !replicator.halted {
		replicator.runPhases()
	}
	return replicator.outputs
}

// runPhases derives all consequences of the inputs, once for all of them: this batches many
// proposals into one append and one sync.
func (replicator *Replicator) runPhases() {
	replicator.expireTimers()
	replicator.tallyVotes()
	replicator.advanceCommit()
	replicator.applyCommitted()
	replicator.confirmReads()
	replicator.sendToPeers()
	replicator.takeSnapshotIfDue()
	replicator.flushPersist()
	replicator.releaseMessages()
}

func (replicator *Replicator) handleInput(input Input) {
	switch input := input.(type) {
	case MessageArrived:
		replicator.receiveMessage(input.From, input.Message)
	case Proposed:
		replicator.propose(input)
	case ReadRequested:
		replicator.requestRead(input)
	case Persisted:
		replicator.handlePersisted(input.Sequence)
	case SnapshotSaved:
		replicator.handleSnapshotSaved(input.Index)
	case PeerReachable:
		replicator.handlePeerReachable(input.Host)
	case PeerUnreachable:
		replicator.handlePeerUnreachable(input.Host)
	case MembershipChangeProposed:
		replicator.proposeMembershipChange(input)
	case TransferRequested:
		replicator.requestTransfer()
	}
}

// receiveMessage dispatches a message by its body. Messages of an older term are only
// answered, so that their sender learns the newer one.
func (replicator *Replicator) receiveMessage(from identifier.HostID, message Message) {
	if message.VoteRequest != nil {
		replicator.receiveVoteRequest(from, message.Term, message.VoteRequest)
		return
	}
	if message.Term > replicator.hard.Term {
		replicator.becomeFollower(message.Term, "")
	}
	if message.Term < replicator.hard.Term {
		if message.Append != nil || message.SnapshotChunk != nil {
			replicator.sendAfterSync(from, Message{AppendReply: &AppendReply{}})
		}
		return
	}
	switch {
	case message.VoteReply != nil:
		replicator.receiveVoteReply(from, *message.VoteReply)
	case message.Append != nil:
		replicator.receiveAppend(from, message.Append)
	case message.AppendReply != nil:
		replicator.receiveAppendReply(from, message.AppendReply)
	case message.SnapshotChunk != nil:
		replicator.receiveSnapshotChunk(from, message.SnapshotChunk)
	case message.SnapshotReply != nil:
		replicator.receiveSnapshotReply(from, message.SnapshotReply)
	case message.CampaignNow != nil:
		replicator.receiveCampaignNow(from)
	}
}

// NextDeadline returns when Tick must be called at the latest if no input arrives.
func (replicator *Replicator) NextDeadline() identifier.Moment {
	if !replicator.started {
		return 0
	}
	if replicator.halted {
		return identifier.Never
	}
	if replicator.role != RoleLeader {
		return replicator.electionDeadline
	}
	deadline := identifier.Earlier(replicator.leadership.heartbeatDue, replicator.stepDownDeadline())
	return identifier.Earlier(deadline, replicator.leadership.transferDeadline)
}

// expireTimers handles the deadlines that have passed.
func (replicator *Replicator) expireTimers() {
	if replicator.role == RoleLeader {
		replicator.expireLeadership()
		return
	}
	if replicator.electionDeadline.Due(replicator.now) {
		replicator.startPreVote()
	}
}

// Members returns the members in effect on this keeper; the caller must not change them.
func (replicator *Replicator) Members() []Member { return replicator.memberships.current() }

// AppliedTerm returns the term of the last applied entry. If it is the current leader's term,
// all entries committed under earlier leaders are applied too.
func (replicator *Replicator) AppliedTerm() identifier.Term {
	// The last applied entry is in the log or at its base, so its term is known.
	term, _ := replicator.log.term(replicator.applied)
	return term
}

// Role returns this keeper's current role.
func (replicator *Replicator) Role() Role { return replicator.role }

// Leader returns the leader that this keeper follows, or empty, and the current term.
func (replicator *Replicator) Leader() (identifier.HostID, identifier.Term) {
	return replicator.leader, replicator.hard.Term
}

// Commit returns the last index known to be committed.
func (replicator *Replicator) Commit() identifier.LogIndex { return replicator.hard.Commit }

func (replicator *Replicator) emit(output Output) {
	replicator.outputs = append(replicator.outputs, output)
}

func (replicator *Replicator) halt(err error) {
	failure, isOwn := err.(*Error)
	if !isOwn {
		failure = &Error{Operation: "restore state machine", Kind: ErrorUnusableSnapshot, Err: err}
	}
	replicator.halted = true
	replicator.emit(Halted{Err: failure})
}
