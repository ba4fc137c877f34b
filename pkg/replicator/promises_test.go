package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// The tests of this file check single guarantees, where the fuzz tests need very many runs to
// reach the crash that reveals a broken one.

// driver runs one keeper of three message by message.
type driver struct {
	*Replicator
	now identifier.Moment
}

func newDriver() *driver {
	members := []Member{{Host: "k0"}, {Host: "k1"}, {Host: "k2"}}
	replicator := &Replicator{Self: "k0", Settings: DefaultSettings(), InitialMembers: members, StateMachine: &register{}}
	return &driver{Replicator: replicator}
}

func (driver *driver) tick(inputs ...Input) []Output { return driver.Tick(driver.now, inputs) }

func (driver *driver) receive(host identifier.HostID, message Message) []Output {
	return driver.tick(MessageArrived{From: host, Message: message})
}

// advanceToDeadline moves the time to the next deadline and ticks.
func (driver *driver) advanceToDeadline() []Output {
	driver.now = driver.NextDeadline()
	return driver.tick()
}

func (driver *driver) persistAll() []Output {
	return driver.tick(Persisted{Sequence: driver.journal.sequence})
}

func messages(outputs []Output) []Message {
	var found []Message
	for _, output := range outputs {
		if send, isSend := output.(Send); isSend {
			found = append(found, send.Message)
		}
	}
	return found
}

func makeEntries(term identifier.Term, first identifier.LogIndex, count int) []Entry {
	var made []Entry
	for offset := range identifier.LogIndex(count) {
		made = append(made, Entry{Index: first + offset, Term: term, Data: make([]byte, 8)})
	}
	return made
}

// campaign makes the keeper a candidate whose own vote is not synced yet.
func (driver *driver) campaign(t *testing.T) []Output {
	t.Helper()
	driver.tick()
	driver.advanceToDeadline()
	reply := VoteReply{CampaignTerm: driver.hard.Term + 1, PreVote: true, Granted: true}
	outputs := driver.receive("k1", Message{Term: driver.hard.Term, VoteReply: &reply})
	if driver.Role() != RoleCandidate {
		t.Fatalf("role %v, want candidate", driver.Role())
	}
	return outputs
}

// TestVoteRequestsWaitForSync guards against the loss of an accepted entry: a candidate
// requests votes with unsynced entries at the end of its log, crashes, and counts the votes
// afterwards. It must sync the log before it sends the requests.
func TestVoteRequestsWaitForSync(t *testing.T) {
	driver := newDriver()
	if sent := messages(driver.campaign(t)); len(sent) != 0 {
		t.Errorf("sent %+v before the vote was synced", sent)
	}
	if sent := messages(driver.persistAll()); len(sent) != 2 || sent[0].VoteRequest == nil {
		t.Errorf("sent %+v after the sync, want two vote requests", sent)
	}
}

// TestOwnVoteCountsOnceSynced guards against two leaders in one term: a candidate wins by its
// own unsynced vote, crashes, forgets it and votes for another.
func TestOwnVoteCountsOnceSynced(t *testing.T) {
	driver := newDriver()
	driver.campaign(t)
	driver.receive("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	if driver.Role() == RoleLeader {
		t.Error("leads on a vote that is not synced")
	}
	driver.persistAll()
	if driver.Role() != RoleLeader {
		t.Error("does not lead once the vote is synced")
	}
}

// TestNoVoteWithinTheLease guards against stale reads: a voter that is bound by a leader's
// lease restarts, or a candidate that lost contact with the leader requests its vote, and it
// helps to elect a second leader while the first still serves reads under the lease. The
// voter must keep its promise in both cases.
func TestNoVoteWithinTheLease(t *testing.T) {
	request := Message{Term: 7, VoteRequest: &VoteRequest{CampaignTerm: 7, LastIndex: 9, LastTerm: 6}}
	restarted := newDriver()
	restarted.tick(Restored{HardState: HardState{Term: 3}})
	following := newDriver()
	following.tick()
	following.now = following.now.Add(900 * time.Millisecond)
	following.receive("k1", Message{Term: 3, Append: &Append{}})
	for name, driver := range map[string]*driver{"restarted": restarted, "following": following} {
		start := driver.now
		driver.now = start.Add(driver.Settings.ElectionTimeout - 1)
		driver.receive("k2", request)
		if _, term := driver.Leader(); term != 3 {
			t.Errorf("%s: moved to term %d within the lease", name, term)
		}
		driver.now = start.Add(driver.Settings.ElectionTimeout)
		driver.receive("k2", request)
		if driver.hard.Vote != "k2" {
			t.Errorf("%s: no vote after the lease", name)
		}
	}
}

// TestEarlierSyncDoesNotCoverReplacedEntries guards against the loss of an accepted entry:
// entries are written and replaced by others before they are synced, and then the first sync
// is reported. It must not count as a sync of the replacements.
func TestEarlierSyncDoesNotCoverReplacedEntries(t *testing.T) {
	driver := newDriver()
	driver.tick()
	driver.receive("k1", Message{Term: 1, Append: &Append{Entries: makeEntries(1, 1, 3)}})
	first := driver.journal.sequence
	driver.receive("k2", Message{Term: 2, Append: &Append{Entries: makeEntries(2, 1, 3)}})
	for _, message := range messages(driver.tick(Persisted{Sequence: first})) {
		if message.AppendReply.Match != 0 {
			t.Errorf("acknowledged %d, but those entries are not synced", message.AppendReply.Match)
		}
	}
	sent := messages(driver.persistAll())
	if len(sent) != 1 || sent[0].AppendReply.Match != 3 {
		t.Errorf("sent %+v after the sync, want an acknowledgement of 3", sent)
	}
}

// TestSnapshotCountsOnceSynced guards against the loss of an accepted entry: a snapshot
// replaces a longer log that differs and is acknowledged, and the keeper crashes before the
// snapshot is synced. The old synced entries must not count as the snapshot's.
func TestSnapshotCountsOnceSynced(t *testing.T) {
	driver := newDriver()
	driver.tick()
	driver.receive("k1", Message{Term: 1, Append: &Append{Entries: makeEntries(1, 1, 12)}})
	driver.persistAll()
	snapshot := Snapshot{Index: 9, Term: 2, Members: driver.InitialMembers, Data: (&register{index: 9}).Snapshot()}
	data, err := encode("encode snapshot", snapshot)
	if err != nil {
		t.Fatal(err)
	}
	chunk := SnapshotChunk{Index: 9, LastTerm: 2, TotalBytes: identifier.Bytes(len(data)), Data: data}
	outputs := driver.receive("k2", Message{Term: 2, SnapshotChunk: &chunk})
	outputs = append(outputs, driver.receive("k2", Message{Term: 2, Append: &Append{PreviousIndex: 9, PreviousTerm: 2}})...)
	for _, message := range messages(outputs) {
		if message.AppendReply != nil && message.AppendReply.Match > 0 {
			t.Errorf("acknowledged %d before the sync", message.AppendReply.Match)
		}
	}
	if sent := messages(driver.persistAll()); len(sent) != 1 || sent[0].AppendReply.Match != 9 {
		t.Errorf("sent %+v after the sync, want an acknowledgement of 9", sent)
	}
}

// TestMembershipFollowsTheLog guards against two quorums that do not overlap: a membership
// entry that another leader removed stays in effect, or a new leader changes the members
// before it knows which change is in effect.
func TestMembershipFollowsTheLog(t *testing.T) {
	driver := newDriver()
	driver.tick()
	data, err := encode("encode members", []Member{{Host: "k0"}, {Host: "k1"}, {Host: "k2"}, {Host: "k3"}})
	if err != nil {
		t.Fatal(err)
	}
	added := Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: data}
	driver.receive("k1", Message{Term: 1, Append: &Append{Entries: []Entry{added}}})
	if len(driver.Members()) != 4 {
		t.Fatalf("members %v, want the appended four", driver.Members())
	}
	driver.receive("k2", Message{Term: 2, Append: &Append{Entries: makeEntries(2, 1, 1)}})
	if !slices.Equal(driver.Members(), driver.InitialMembers) {
		t.Errorf("members %v after the entry was removed", driver.Members())
	}

	leader := newDriver()
	leader.campaign(t)
	leader.persistAll()
	leader.receive("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	leader.expectOutcome(t, "k3", OutcomeChangeInProgress)
	leader.persistAll()
	leader.receive("k1", Message{Term: 1, AppendReply: &AppendReply{Match: 1}})
	leader.tick(MembershipChangeProposed{Kind: ChangeAddLearner, Host: "k3"})
	if len(leader.Members()) != 4 {
		t.Errorf("members %v, want the learner among them", leader.Members())
	}
	leader.expectOutcome(t, "k4", OutcomeChangeInProgress)
}

func (driver *driver) expectOutcome(t *testing.T, host identifier.HostID, want OutcomeKind) {
	t.Helper()
	outputs := driver.tick(MembershipChangeProposed{Handle: 1, Kind: ChangeAddLearner, Host: host})
	found := slices.ContainsFunc(outputs, func(output Output) bool {
		outcome, isOutcome := output.(ProposalOutcome)
		return isOutcome && outcome.Kind == want
	})
	if !found {
		t.Errorf("got %+v, want an outcome %v", outputs, want)
	}
}

// TestLeaderWithoutQuorumStepsDown guards against proposals that hang at a partitioned
// leader: a leader that gets no response for an election timeout must step down.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	driver := newDriver()
	driver.campaign(t)
	driver.persistAll()
	driver.receive("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	driver.now = driver.now.Add(driver.Settings.ElectionTimeout)
	driver.tick()
	if driver.Role() != RoleFollower {
		t.Errorf("role %v, want follower", driver.Role())
	}
}

// TestEarlierTermsCommitWithCurrentTerm guards against the removal of an accepted entry: a
// leader commits an entry of an earlier term because a quorum holds it, and a leader of a
// term in between overwrites it. Entries of earlier terms may be committed only together with
// one of the own term.
func TestEarlierTermsCommitWithCurrentTerm(t *testing.T) {
	driver := newDriver()
	driver.tick(Restored{HardState: HardState{Term: 1}, Entries: makeEntries(1, 1, 1)})
	driver.campaign(t)
	driver.persistAll()
	driver.receive("k1", Message{Term: 2, VoteReply: &VoteReply{CampaignTerm: 2, Granted: true}})
	driver.persistAll()
	driver.receive("k1", Message{Term: 2, AppendReply: &AppendReply{Match: 1}})
	if driver.Commit() != 0 {
		t.Errorf("committed %d by an entry of an earlier term", driver.Commit())
	}
	driver.receive("k1", Message{Term: 2, AppendReply: &AppendReply{Match: 2}})
	if driver.Commit() != 2 {
		t.Errorf("committed %d, want 2 with the entry of the own term", driver.Commit())
	}
}

// TestLeaseEndsBeforeVotersMayVote guards against stale reads on hosts whose clocks run at
// different rates: with a slow clock at the leader and a fast one at the voter, the lease
// needs a margin for the drift.
func TestLeaseEndsBeforeVotersMayVote(t *testing.T) {
	for _, bound := range []PerMille{0, 20, 200} {
		settings := DefaultSettings()
		settings.ClockDriftBound = bound
		drift := float64(bound) / 1000
		leaseEnds := float64(settings.leaseDuration()) / (1 - drift)
		votersFree := float64(settings.ElectionTimeout) / (1 + drift)
		if leaseEnds > votersFree {
			t.Errorf("bound %d: the lease ends after %v, voters are free after %v", bound, leaseEnds, votersFree)
		}
	}
}

// newLeader returns a leader of term 1 whose first entry is synced and acknowledged by k1
// with the current time as stamp.
func newLeader(t *testing.T) *driver {
	t.Helper()
	driver := newDriver()
	driver.campaign(t)
	driver.persistAll()
	driver.receive("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	driver.persistAll()
	driver.receive("k1", Message{Term: 1, AppendReply: &AppendReply{Match: 1, Stamp: Stamp(driver.now)}})
	return driver
}

// TestReadsEndWithTheLease guards against stale reads: a partitioned leader serves reads
// after its lease because it assumes a longer lease than its voters grant.
func TestReadsEndWithTheLease(t *testing.T) {
	driver := newLeader(t)
	answered := driver.now
	for _, step := range []struct {
		after time.Duration
		ready bool
	}{{driver.Settings.leaseDuration() - 1, true}, {driver.Settings.leaseDuration(), false}} {
		driver.now = answered.Add(step.after)
		outputs := driver.tick(ReadRequested{Handle: 1})
		ready := slices.Contains(outputs, Output(ReadReady{Handle: 1, Index: 1}))
		if ready != step.ready {
			t.Errorf("read %v after the answer served: %v, want %v", step.after, ready, step.ready)
		}
	}
}

// TestOnlySyncedVotersCountForQuorum guards against an accepted entry that is lost with one
// keeper: it was accepted by one voter and an unsynced leader or a learner, which must not
// count for the quorum.
func TestOnlySyncedVotersCountForQuorum(t *testing.T) {
	driver := newLeader(t)
	driver.tick(MembershipChangeProposed{Kind: ChangeAddLearner, Host: "k3"})
	driver.receive("k1", Message{Term: 1, AppendReply: &AppendReply{Match: 2}})
	if driver.Commit() != 1 {
		t.Errorf("committed %d with the leader's own entry unsynced", driver.Commit())
	}
	driver.persistAll()
	driver.tick(Proposed{Data: make([]byte, 8)})
	driver.persistAll()
	driver.receive("k3", Message{Term: 1, AppendReply: &AppendReply{Match: 3}})
	if driver.Commit() != 2 {
		t.Errorf("committed %d by the leader and a learner, want 2", driver.Commit())
	}
	driver.receive("k2", Message{Term: 1, AppendReply: &AppendReply{Match: 3}})
	if driver.Commit() != 3 {
		t.Errorf("committed %d by two voters, want 3", driver.Commit())
	}
}

// TestReplacedEntriesNeedTheirOwnSync guards against the loss of an accepted entry: synced
// entries are replaced, and the replacements are acknowledged before their own sync because
// the old entries were synced.
func TestReplacedEntriesNeedTheirOwnSync(t *testing.T) {
	driver := newDriver()
	driver.tick()
	driver.receive("k1", Message{Term: 1, Append: &Append{Entries: makeEntries(1, 1, 3)}})
	driver.persistAll()
	for _, message := range messages(driver.receive("k2", Message{Term: 2, Append: &Append{Entries: makeEntries(2, 1, 3)}})) {
		t.Errorf("sent %+v before the sync", message.AppendReply)
	}
}

// TestLateSnapshotDoesNotRollBack guards against a state that reverts: a snapshot older than
// what the keeper has applied arrives late and must not be installed.
func TestLateSnapshotDoesNotRollBack(t *testing.T) {
	driver := newDriver()
	older := Snapshot{Index: 5, Term: 1, Members: driver.InitialMembers, Data: (&register{index: 5}).Snapshot()}
	newer := Snapshot{Index: 9, Term: 1, Members: driver.InitialMembers, Data: (&register{index: 9}).Snapshot()}
	driver.tick(Restored{HardState: HardState{Term: 1}, Snapshot: &newer})
	data, err := encode("encode snapshot", older)
	if err != nil {
		t.Fatal(err)
	}
	chunk := SnapshotChunk{Index: 5, LastTerm: 1, TotalBytes: identifier.Bytes(len(data)), Data: data}
	sent := messages(driver.receive("k1", Message{Term: 1, SnapshotChunk: &chunk}))
	if len(sent) != 1 || sent[0].AppendReply == nil || sent[0].AppendReply.Match != 9 {
		t.Errorf("sent %+v, want an acknowledgement of 9", sent)
	}
	if driver.Commit() != 9 || driver.StateMachine.(*register).index != 9 {
		t.Errorf("went back to commit %d, state of %d", driver.Commit(), driver.StateMachine.(*register).index)
	}
}
