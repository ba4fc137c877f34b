package claimer

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestNoJobIsGrantedTwice guards against a not-repeatable job, such as issuing a quote,
// that runs under two submissions. It applies claims, resends, releases and shrinking in
// random order, with restarts from a snapshot in between. The claim could be lost in a
// snapshot, dropped by shrinking, or granted again to another submission.
func TestNoJobIsGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		register := &Register{FingerprintBound: 40}
		holders := map[jobKey]identifier.SubmissionID{}
		shrunk := map[jobKey]bool{}
		for index := range rapid.IntRange(1, 120).Draw(t, "commands") {
			command, claim := drawCommand(t, holders, identifier.LogIndex(index+1))
			decisions := register.Apply(identifier.LogIndex(index+1), command)
			for _, release := range command.Releases {
				// A fingerprint can't be released: its holder is no longer known.
				if key := (jobKey{caller: release.Caller, job: release.Job}); !shrunk[key] {
					delete(holders, key)
				}
			}
			checkDecision(t, holders, claim, decisions)
			if command.ShrinkBelow > 0 {
				markShrunk(holders, register, shrunk)
			}
			if rapid.Bool().Draw(t, "restart") {
				register = restoreFromSnapshot(t, register)
			}
		}
	})
}

func drawCommand(t *rapid.T, holders map[jobKey]identifier.SubmissionID, index identifier.LogIndex) (*Command, Claim) {
	claim := Claim{
		Caller:     identifier.CallerID(rapid.SampledFrom([]string{"a", "ab"}).Draw(t, "caller")),
		Job:        identifier.JobID(rapid.SampledFrom([]string{"c", "bc", "d"}).Draw(t, "job")),
		Submission: identifier.SubmissionID(fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "submission"))),
	}
	command := &Command{Claims: []Claim{claim}}
	key := jobKey{caller: claim.Caller, job: claim.Job}
	holder, held := holders[key]
	if held && rapid.IntRange(0, 9).Draw(t, "release") == 0 {
		command.Releases = []Release{{Caller: claim.Caller, Job: claim.Job, Submission: holder}}
	}
	if rapid.IntRange(0, 9).Draw(t, "shrink") == 0 {
		command.ShrinkBelow = index
	}
	return command, claim
}

// checkDecision compares a decision with the oracle: the first submission that is granted a
// job stays the only one, unless it releases the claim before it is reduced to a fingerprint.
func checkDecision(t *rapid.T, holders map[jobKey]identifier.SubmissionID, claim Claim, decisions []Decision) {
	if len(decisions) != 1 {
		t.Fatalf("one claim got %d decisions", len(decisions))
	}
	key := jobKey{caller: claim.Caller, job: claim.Job}
	holder, held := holders[key]
	switch decision := decisions[0]; decision.Verdict {
	case VerdictGranted:
		if held && holder != claim.Submission {
			t.Fatalf("%v was granted to %s and to %s", key, holder, claim.Submission)
		}
		holders[key] = claim.Submission
	case VerdictHeld:
		if holder != decision.Holder {
			t.Fatalf("%v is held by %s, not by %s", key, holder, decision.Holder)
		}
	case VerdictForgotten:
		if !held {
			t.Fatalf("%v was never granted", key)
		}
	default:
		t.Fatalf("verdict %s", decision.Verdict)
	}
}

func markShrunk(holders map[jobKey]identifier.SubmissionID, register *Register, shrunk map[jobKey]bool) {
	for key := range holders {
		shrunk[key] = register.claims.Get(key) == nil
	}
}

func restoreFromSnapshot(t *rapid.T, register *Register) *Register {
	content, err := register.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := &Register{FingerprintBound: register.FingerprintBound}
	if err := fresh.Restore(content); err != nil {
		t.Fatal(err)
	}
	again, err := fresh.Snapshot()
	if err != nil || !bytes.Equal(content, again) {
		t.Fatalf("a restored register has another snapshot (%v)", err)
	}
	return fresh
}
