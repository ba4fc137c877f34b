package replicator

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Role is what a keeper does at the moment.
type Role int

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks whether it would be elected; its term stays as it is.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader appends to the log.
	RoleLeader
)

// Replicator is one keeper's part of the agreement. The exported fields are set
// before the first Tick.
type Replicator struct {
	// Self is this keeper. A keeper whose data folder was lost must come back under
	// another id: it has forgotten its votes.
	Self identifier.HostID
	// Seed feeds the random part of the election timeout.
	Seed     uint64
	Settings Settings
	// InitialMembers are the voters of a new log, the same on each of them. A keeper
	// that joins an existing log later has none.
	InitialMembers []Member
	// Joining tells that this keeper's disk holds nothing that it vouched for before:
	// it is new, or has lost its disk. See joining.go.
	Joining      bool
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

	// heardLeaderAt is when this keeper last took part in a leader's lease.
	heardLeaderAt    identifier.Moment
	electionDeadline identifier.Moment
	// verified is the last index known to equal the current leader's log.
	verified identifier.LogIndex
	// ackStamp is the newest stamp of the current leader.
	ackStamp Stamp
	incoming incomingSnapshot

	votes            *tabulator.Table[identifier.HostID, VoteReply]
	selfVoteSequence PersistSequence

	leadership leadership
	peers      *tabulator.Table[identifier.HostID, peer]
	pending    *tabulator.Table[identifier.LogIndex, pendingProposal]
	reads      []pendingRead
}

// Tick takes the inputs in order and returns what is to be done, in order. now
// must not go backwards.
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
		replicator.take(input)
	}
	if !replicator.halted {
		replicator.runSystems()
	}
	return replicator.outputs
}

// runSystems brings everything that follows from the inputs about, once for all
// of them: this is what puts many proposals into one append and one sync.
func (replicator *Replicator) runSystems() {
	replicator.expireTimers()
	replicator.tallyVotes()
	replicator.advanceCommit()
	replicator.applyCommitted()
	replicator.confirmReads()
	replicator.sendToPeers()
	replicator.requestSnapshot()
	replicator.flushPersist()
	replicator.releaseMessages()
}

func (replicator *Replicator) take(input Input) {
	switch input := input.(type) {
	case MessageArrived:
		replicator.receive(input.From, input.Message)
	case Proposed:
		replicator.propose(input)
	case ReadRequested:
		replicator.requestRead(input)
	case Persisted:
		replicator.persisted(input.Sequence)
	case SnapshotSaved:
		replicator.snapshotSaved(input.Index)
	case PeerReachable:
		replicator.peerReachable(input.Host)
	case PeerUnreachable:
		replicator.peerUnreachable(input.Host)
	case MembershipChangeProposed:
		replicator.proposeMembershipChange(input)
	case TransferRequested:
		replicator.requestTransfer()
	}
}

// receive hands a message to the part that its body is for. Messages of an older
// term are only answered, so that their sender learns of the newer one.
func (replicator *Replicator) receive(from identifier.HostID, message Message) {
	if message.VoteRequest != nil {
		replicator.receiveVoteRequest(from, message.Term, message.VoteRequest)
		return
	}
	if message.Term > replicator.hard.Term {
		replicator.follow(message.Term, "")
	}
	if message.Term < replicator.hard.Term {
		if message.Append != nil || message.SnapshotChunk != nil {
			replicator.sendDurably(from, Message{AppendReply: &AppendReply{}})
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

// NextDeadline returns when Tick must be called at the latest if no input comes.
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
	deadline := identifier.Earlier(replicator.leadership.heartbeatDue, replicator.quorumContactEnds())
	return identifier.Earlier(deadline, replicator.leadership.transferDeadline)
}

// expireTimers acts on the deadlines that have passed.
func (replicator *Replicator) expireTimers() {
	if replicator.role == RoleLeader {
		replicator.expireLeadership()
		return
	}
	if replicator.electionDeadline.Due(replicator.now) {
		replicator.startPreVote()
	}
}

// Members returns the members that this keeper goes by; the caller must not
// change them.
func (replicator *Replicator) Members() []Member { return replicator.memberships.current() }

// AppliedTerm returns the term of the last entry that was applied. One of the present
// leader's term means that all that was agreed on under earlier leaders is applied too.
func (replicator *Replicator) AppliedTerm() identifier.Term {
	// What is applied is in the log or just below it, so its term is known.
	term, _ := replicator.log.term(replicator.applied)
	return term
}

// Role returns what this keeper does at the moment.
func (replicator *Replicator) Role() Role { return replicator.role }

// Leader returns the leader that this keeper follows, or empty, and its term.
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
