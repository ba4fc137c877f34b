package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// These tests hold single promises one by one, where the fuzz needs very many runs
// to come upon the crash that shows a broken one.

// hand drives one keeper of three message by message.
type hand struct {
	*Replicator
	now identifier.Moment
}

func newHand() *hand {
	members := []Member{{Host: "k0"}, {Host: "k1"}, {Host: "k2"}}
	replicator := &Replicator{Self: "k0", Settings: DefaultSettings(), InitialMembers: members, StateMachine: &register{}}
	return &hand{Replicator: replicator}
}

func (hand *hand) tick(inputs ...Input) []Output { return hand.Tick(hand.now, inputs) }

func (hand *hand) from(host identifier.HostID, message Message) []Output {
	return hand.tick(MessageArrived{From: host, Message: message})
}

// pass lets time go by to just after the next deadline.
func (hand *hand) pass() []Output {
	hand.now = hand.NextDeadline()
	return hand.tick()
}

func (hand *hand) persistAll() []Output { return hand.tick(Persisted{Sequence: hand.journal.sequence}) }

func messages(outputs []Output) []Message {
	var found []Message
	for _, output := range outputs {
		if send, isSend := output.(Send); isSend {
			found = append(found, send.Message)
		}
	}
	return found
}

func entries(term identifier.Term, first identifier.LogIndex, count int) []Entry {
	var made []Entry
	for offset := range identifier.LogIndex(count) {
		made = append(made, Entry{Index: first + offset, Term: term, Data: make([]byte, 8)})
	}
	return made
}

// campaign brings the keeper to a candidate whose vote is not synced yet.
func (hand *hand) campaign(t *testing.T) []Output {
	t.Helper()
	hand.tick()
	hand.pass()
	reply := VoteReply{CampaignTerm: hand.hard.Term + 1, PreVote: true, Granted: true}
	outputs := hand.from("k1", Message{Term: hand.hard.Term, VoteReply: &reply})
	if hand.Role() != RoleCandidate {
		t.Fatalf("role %v, want candidate", hand.Role())
	}
	return outputs
}

// Symptom: an accepted entry is gone. Sequence: a candidate asks for votes with
// unsynced entries at its end, crashes, and counts the votes afterwards. Cause: the
// request left before the log was synced.
func TestVoteRequestsWaitForTheDisk(t *testing.T) {
	hand := newHand()
	if sent := messages(hand.campaign(t)); len(sent) != 0 {
		t.Errorf("sent %+v before the vote was synced", sent)
	}
	if sent := messages(hand.persistAll()); len(sent) != 2 || sent[0].VoteRequest == nil {
		t.Errorf("sent %+v after the sync, want two vote requests", sent)
	}
}

// Symptom: two leaders of one term. Sequence: a candidate wins by its own vote,
// crashes, forgets it and gives it to another. Cause: it counted the vote unsynced.
func TestOwnVoteCountsOnceSynced(t *testing.T) {
	hand := newHand()
	hand.campaign(t)
	hand.from("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	if hand.Role() == RoleLeader {
		t.Error("leads on a vote that is not synced")
	}
	hand.persistAll()
	if hand.Role() != RoleLeader {
		t.Error("does not lead once the vote is synced")
	}
}

// Symptom: a stale read. Sequence: a voter that took part in a lease restarts, or a
// candidate that lost touch with the leader asks it, and it elects a second leader
// while the first still reads under the lease. Cause: the promise was not kept.
func TestNoVoteWithinTheLease(t *testing.T) {
	ask := Message{Term: 7, VoteRequest: &VoteRequest{CampaignTerm: 7, LastIndex: 9, LastTerm: 6}}
	restarted := newHand()
	restarted.tick(Restored{HardState: HardState{Term: 3}})
	following := newHand()
	following.tick()
	following.now = following.now.Add(900 * time.Millisecond)
	following.from("k1", Message{Term: 3, Append: &Append{}})
	for name, hand := range map[string]*hand{"restarted": restarted, "following": following} {
		start := hand.now
		hand.now = start.Add(hand.Settings.ElectionTimeout - 1)
		hand.from("k2", ask)
		if _, term := hand.Leader(); term != 3 {
			t.Errorf("%s: moved to term %d within the lease", name, term)
		}
		hand.now = start.Add(hand.Settings.ElectionTimeout)
		hand.from("k2", ask)
		if hand.hard.Vote != "k2" {
			t.Errorf("%s: no vote after the lease", name)
		}
	}
}

// Symptom: an accepted entry is gone. Sequence: entries are written, replaced by
// others before they are synced, and the first sync is reported. Cause: it was
// taken for a sync of what replaced them.
func TestReplacedEntriesAreNotTakenForSynced(t *testing.T) {
	hand := newHand()
	hand.tick()
	hand.from("k1", Message{Term: 1, Append: &Append{Entries: entries(1, 1, 3)}})
	first := hand.journal.sequence
	hand.from("k2", Message{Term: 2, Append: &Append{Entries: entries(2, 1, 3)}})
	for _, message := range messages(hand.tick(Persisted{Sequence: first})) {
		if message.AppendReply.Match != 0 {
			t.Errorf("acknowledged %d, but those entries are not synced", message.AppendReply.Match)
		}
	}
	sent := messages(hand.persistAll())
	if len(sent) != 1 || sent[0].AppendReply.Match != 3 {
		t.Errorf("sent %+v after the sync, want an acknowledgement of 3", sent)
	}
}

// Symptom: an accepted entry is gone. Sequence: a snapshot takes the place of a
// longer log that differs, is acknowledged, and the keeper crashes before it is
// synced. Cause: the old entries were taken for its.
func TestSnapshotCountsOnceSynced(t *testing.T) {
	hand := newHand()
	hand.tick()
	hand.from("k1", Message{Term: 1, Append: &Append{Entries: entries(1, 1, 12)}})
	hand.persistAll()
	snapshot := Snapshot{Index: 9, Term: 2, Members: hand.InitialMembers, Data: (&register{index: 9}).Snapshot()}
	data, err := encode("encode snapshot", snapshot)
	if err != nil {
		t.Fatal(err)
	}
	chunk := SnapshotChunk{Index: 9, LastTerm: 2, TotalBytes: identifier.Bytes(len(data)), Data: data}
	outputs := hand.from("k2", Message{Term: 2, SnapshotChunk: &chunk})
	outputs = append(outputs, hand.from("k2", Message{Term: 2, Append: &Append{PreviousIndex: 9, PreviousTerm: 2}})...)
	for _, message := range messages(outputs) {
		if message.AppendReply != nil && message.AppendReply.Match > 0 {
			t.Errorf("acknowledged %d before the sync", message.AppendReply.Match)
		}
	}
	if sent := messages(hand.persistAll()); len(sent) != 1 || sent[0].AppendReply.Match != 9 {
		t.Errorf("sent %+v after the sync, want an acknowledgement of 9", sent)
	}
}

// Symptom: two quorums that do not overlap. Sequence: a membership entry is removed
// by another leader and goes on counting, or a new leader changes the members
// before it knows which change counts. Cause: as the sequence says.
func TestMembershipFollowsTheLog(t *testing.T) {
	hand := newHand()
	hand.tick()
	data, err := encode("encode members", []Member{{Host: "k0"}, {Host: "k1"}, {Host: "k2"}, {Host: "k3"}})
	if err != nil {
		t.Fatal(err)
	}
	added := Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: data}
	hand.from("k1", Message{Term: 1, Append: &Append{Entries: []Entry{added}}})
	if len(hand.Members()) != 4 {
		t.Fatalf("members %v, want the appended four", hand.Members())
	}
	hand.from("k2", Message{Term: 2, Append: &Append{Entries: entries(2, 1, 1)}})
	if !slices.Equal(hand.Members(), hand.InitialMembers) {
		t.Errorf("members %v after the entry was removed", hand.Members())
	}

	leader := newHand()
	leader.campaign(t)
	leader.persistAll()
	leader.from("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	leader.expectChange(t, "k3", OutcomeChangeInProgress)
	leader.persistAll()
	leader.from("k1", Message{Term: 1, AppendReply: &AppendReply{Match: 1}})
	leader.tick(MembershipChangeProposed{Kind: ChangeAddLearner, Host: "k3"})
	if len(leader.Members()) != 4 {
		t.Errorf("members %v, want the learner among them", leader.Members())
	}
	leader.expectChange(t, "k4", OutcomeChangeInProgress)
}

func (hand *hand) expectChange(t *testing.T, host identifier.HostID, want OutcomeKind) {
	t.Helper()
	outputs := hand.tick(MembershipChangeProposed{Handle: 1, Kind: ChangeAddLearner, Host: host})
	found := slices.ContainsFunc(outputs, func(output Output) bool {
		outcome, isOutcome := output.(ProposalOutcome)
		return isOutcome && outcome.Kind == want
	})
	if !found {
		t.Errorf("got %+v, want an outcome %v", outputs, want)
	}
}

// Symptom: proposals of a cut-off leader hang. Sequence: nobody answers a leader for
// an election timeout. Cause: it does not step down.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	hand := newHand()
	hand.campaign(t)
	hand.persistAll()
	hand.from("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	hand.now = hand.now.Add(hand.Settings.ElectionTimeout)
	hand.tick()
	if hand.Role() != RoleFollower {
		t.Errorf("role %v, want follower", hand.Role())
	}
}

// Symptom: an accepted entry is overruled. Sequence: a leader commits an entry of an
// earlier term because a quorum holds it, and a leader of a term between removes
// it. Cause: only an entry of the own term settles those before it.
func TestEarlierTermsAreCommittedWithTheOwn(t *testing.T) {
	hand := newHand()
	hand.tick(Restored{HardState: HardState{Term: 1}, Entries: entries(1, 1, 1)})
	hand.campaign(t)
	hand.persistAll()
	hand.from("k1", Message{Term: 2, VoteReply: &VoteReply{CampaignTerm: 2, Granted: true}})
	hand.persistAll()
	hand.from("k1", Message{Term: 2, AppendReply: &AppendReply{Match: 1}})
	if hand.Commit() != 0 {
		t.Errorf("committed %d by an entry of an earlier term", hand.Commit())
	}
	hand.from("k1", Message{Term: 2, AppendReply: &AppendReply{Match: 2}})
	if hand.Commit() != 2 {
		t.Errorf("committed %d, want 2 with the entry of the own term", hand.Commit())
	}
}

// Symptom: a stale read on hosts whose clocks run at different rates. Sequence: the
// leader's clock is slow and the voter's fast. Cause: a lease without room for it.
func TestLeaseEndsBeforeVotersAreFree(t *testing.T) {
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

// newLeader brings a keeper to a leader of term 1 whose first entry is synced and
// acknowledged by k1 with the stamp of now.
func newLeader(t *testing.T) *hand {
	t.Helper()
	hand := newHand()
	hand.campaign(t)
	hand.persistAll()
	hand.from("k1", Message{Term: 1, VoteReply: &VoteReply{CampaignTerm: 1, Granted: true}})
	hand.persistAll()
	hand.from("k1", Message{Term: 1, AppendReply: &AppendReply{Match: 1, Stamp: Stamp(hand.now)}})
	return hand
}

// Symptom: a stale read. Sequence: a leader is cut off, and reads go on after its
// lease. Cause: the lease is taken for longer than its voters keep it.
func TestReadsEndWithTheLease(t *testing.T) {
	hand := newLeader(t)
	answered := hand.now
	for _, step := range []struct {
		after time.Duration
		ready bool
	}{{hand.Settings.leaseDuration() - 1, true}, {hand.Settings.leaseDuration(), false}} {
		hand.now = answered.Add(step.after)
		outputs := hand.tick(ReadRequested{Handle: 1})
		ready := slices.Contains(outputs, Output(ReadReady{Handle: 1, Index: 1}))
		if ready != step.ready {
			t.Errorf("read %v after the answer served: %v, want %v", step.after, ready, step.ready)
		}
	}
}

// Symptom: an accepted entry is gone after the loss of one keeper. Sequence: it was
// accepted by an unsynced leader, or by a learner, and one more. Cause: they
// counted for the quorum.
func TestWhatCountsForTheQuorum(t *testing.T) {
	hand := newLeader(t)
	hand.tick(MembershipChangeProposed{Kind: ChangeAddLearner, Host: "k3"})
	hand.from("k1", Message{Term: 1, AppendReply: &AppendReply{Match: 2}})
	if hand.Commit() != 1 {
		t.Errorf("committed %d with the leader's own entry unsynced", hand.Commit())
	}
	hand.persistAll()
	hand.tick(Proposed{Data: make([]byte, 8)})
	hand.persistAll()
	hand.from("k3", Message{Term: 1, AppendReply: &AppendReply{Match: 3}})
	if hand.Commit() != 2 {
		t.Errorf("committed %d by the leader and a learner, want 2", hand.Commit())
	}
	hand.from("k2", Message{Term: 1, AppendReply: &AppendReply{Match: 3}})
	if hand.Commit() != 3 {
		t.Errorf("committed %d by two voters, want 3", hand.Commit())
	}
}

// Symptom: an accepted entry is gone. Sequence: synced entries are replaced and
// those that replace them acknowledged before their sync. Cause: what was synced
// before was taken for them.
func TestSyncedThenReplacedEntriesCountAnew(t *testing.T) {
	hand := newHand()
	hand.tick()
	hand.from("k1", Message{Term: 1, Append: &Append{Entries: entries(1, 1, 3)}})
	hand.persistAll()
	for _, message := range messages(hand.from("k2", Message{Term: 2, Append: &Append{Entries: entries(2, 1, 3)}})) {
		t.Errorf("sent %+v before the sync", message.AppendReply)
	}
}

// Symptom: a keeper shows an older state than before. Sequence: a snapshot that is
// older than what the keeper has applied arrives late. Cause: it is installed.
func TestLateSnapshotTakesNothingBack(t *testing.T) {
	hand := newHand()
	older := Snapshot{Index: 5, Term: 1, Members: hand.InitialMembers, Data: (&register{index: 5}).Snapshot()}
	newer := Snapshot{Index: 9, Term: 1, Members: hand.InitialMembers, Data: (&register{index: 9}).Snapshot()}
	hand.tick(Restored{HardState: HardState{Term: 1}, Snapshot: &newer})
	data, err := encode("encode snapshot", older)
	if err != nil {
		t.Fatal(err)
	}
	chunk := SnapshotChunk{Index: 5, LastTerm: 1, TotalBytes: identifier.Bytes(len(data)), Data: data}
	sent := messages(hand.from("k1", Message{Term: 1, SnapshotChunk: &chunk}))
	if len(sent) != 1 || sent[0].AppendReply == nil || sent[0].AppendReply.Match != 9 {
		t.Errorf("sent %+v, want an acknowledgement of 9", sent)
	}
	if hand.Commit() != 9 || hand.StateMachine.(*register).index != 9 {
		t.Errorf("went back to commit %d, state of %d", hand.Commit(), hand.StateMachine.(*register).index)
	}
}
