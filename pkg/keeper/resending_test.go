package keeper

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// newLoneKeeper returns a keeper that is the only voter and leads.
func newLoneKeeper(t *testing.T) *Keeper {
	t.Helper()
	keeper := &Keeper{Self: "lone", Settings: DefaultSettings(), InitialMembers: []replicator.Member{{Host: "lone"}}}
	keeper.Tick(0, []Input{&LogInput{Input: replicator.Restored{}}})
	for range 10 {
		keeper.persist(keeper.Tick(keeper.NextDeadline(), nil))
	}
	if !keeper.IsLeader() {
		t.Fatal("the keeper does not lead")
	}
	return keeper
}

// persist reports all persists among the outputs as durable, and returns the replies.
func (keeper *Keeper) persist(outputs []Output) []ReplyKind {
	var replies []ReplyKind
	for len(outputs) > 0 {
		var inputs []Input
		for _, output := range outputs {
			switch output := output.(type) {
			case *Persist:
				inputs = append(inputs, &LogInput{Input: replicator.Persisted{Sequence: output.Persist.Sequence}})
			case *Answer:
				replies = append(replies, output.Reply.Kind)
			}
		}
		outputs = nil
		if len(inputs) > 0 {
			outputs = keeper.Tick(keeper.now, inputs)
		}
	}
	return replies
}

// Guards against a request without an id that is answered with the result of a change.
func TestOnlyResentChangesAreRecognised(t *testing.T) {
	keeper := newLoneKeeper(t)
	change := Command{Change: &configurer.Change{Request: "first", Revision: 1, Document: []byte("{}")}}
	request := func(nonce Nonce, command Command) *RequestReceived {
		return &RequestReceived{Request: Request{Origin: "lone", Nonce: nonce, Command: command}}
	}
	keeper.persist(keeper.Tick(keeper.now, []Input{request(1, change), request(2, change), request(2, change)}))
	if index := keeper.Status().Version; index != 1 {
		t.Errorf("version %d, want 1", index)
	}
	applied := keeper.applied
	if replies := keeper.persist(keeper.Tick(keeper.now, []Input{request(3, change)})); len(replies) != 1 || replies[0] != ReplyApplied {
		t.Errorf("a resend of a decided change got %v", replies)
	}
	if keeper.applied != applied {
		t.Error("a resend of a decided change was appended")
	}
	keeper.persist(keeper.Tick(keeper.now, []Input{request(4, Command{Claims: &claimer.Command{}}), request(5, Command{Claims: &claimer.Command{}})}))
	if keeper.applied != applied+2 {
		t.Errorf("%d claims were appended, want 2", keeper.applied-applied)
	}
}

// Guards against a host that never gets a reply because another one sent the same change before it.
func TestEachResendIsAnswered(t *testing.T) {
	keeper := newLoneKeeper(t)
	change := Command{Change: &configurer.Change{Request: "first", Revision: 1}}
	var inputs []Input
	for nonce := range Nonce(3) {
		inputs = append(inputs, &RequestReceived{Request: Request{Origin: "lone", Nonce: nonce, Command: change}})
	}
	outputs := keeper.Tick(keeper.now, inputs)
	replies := keeper.persist(outputs)
	count := map[ReplyKind]int{}
	for _, kind := range replies {
		count[kind]++
	}
	if count[ReplyPending] != 3 || count[ReplyApplied] != 3 || len(keeper.proposed) != 0 {
		t.Errorf("replies %v, %d still proposed", count, len(keeper.proposed))
	}
}

// Guards against a sender that waits long for the reply to a change that was refused.
func TestRefusedChangeIsNotPending(t *testing.T) {
	keeper := &Keeper{Self: "lone", Settings: DefaultSettings(), InitialMembers: []replicator.Member{{Host: "lone"}, {Host: "other"}}}
	keeper.Tick(0, []Input{&LogInput{Input: replicator.Restored{}}})
	change := Command{Change: &configurer.Change{Request: "first", Revision: 1}}
	request := &RequestReceived{Request: Request{Origin: "lone", Command: change, Forwarded: true}}
	for range 2 {
		if replies := keeper.persist(keeper.Tick(0, []Input{request})); len(replies) != 1 || replies[0] != ReplyNotLed {
			t.Errorf("replies %v, want one that nobody leads", replies)
		}
	}
}
