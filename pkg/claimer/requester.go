package claimer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// lateGrantRetention is how long a late grant of a timed out claim is still reported.
const lateGrantRetention = 10 * time.Minute

// RequesterSettings holds the timeouts of a claim.
type RequesterSettings struct {
	// Resend is the time without an answer after which the claim is resent, to the
	// next keeper.
	Resend time.Duration
	// GiveUp is the time after which a claim without an answer counts as unavailable.
	GiveUp time.Duration
}

// DefaultRequesterSettings returns the default settings of the daemon.
func DefaultRequesterSettings() RequesterSettings {
	return RequesterSettings{Resend: 500 * time.Millisecond, GiveUp: 3 * time.Second}
}

// Input is a message or event that Tick applies.
type Input interface{ isClaimerInput() }

// Output is a message that the owner of the requester delivers.
type Output interface{ isClaimerOutput() }

// ClaimRequested requests a claim.
type ClaimRequested struct{ Claim Claim }

// ReleaseRequested gives up a claim under which nothing has run.
type ReleaseRequested struct{ Release Release }

// KeepersChanged lists the reachable keepers, starting with the presumed leader.
type KeepersChanged struct{ Keepers []identifier.HostID }

// Decided delivers decisions from a keeper.
type Decided struct{ Decisions []Decision }

// Ask sends the claims and releases of one tick to a keeper.
type Ask struct {
	Keeper  identifier.HostID
	Command Command
}

// ClaimsDecided reports decisions to whoever requested the claims.
type ClaimsDecided struct{ Decisions []Decision }

// LateGrants names submissions whose claims were granted after they had timed out.
//
// The requesting side decides whether to release them. By now another lead of the home may have
// the same submission and run it under the same claim. If the claim were released at once, a
// resubmission could run as well, right after a host that was cut off responds again.
type LateGrants struct{ Submissions []identifier.SubmissionID }

func (*ClaimRequested) isClaimerInput()   {}
func (*ReleaseRequested) isClaimerInput() {}
func (*KeepersChanged) isClaimerInput()   {}
func (*Decided) isClaimerInput()          {}
func (*Ask) isClaimerOutput()             {}
func (*ClaimsDecided) isClaimerOutput()   {}
func (*LateGrants) isClaimerOutput()      {}

// Requester requests claims from the keepers. The claims of one tick are sent in one
// message, so that many share one sync. Set the exported fields before the first Tick.
type Requester struct {
	Settings RequesterSettings

	now     identifier.Moment
	pending *tabulator.Table[identifier.SubmissionID, pendingClaim]
	// abandoned holds the claims that timed out or were released while pending. If one is
	// granted after all, that is reported as a late grant: its submission was refused and
	// never runs, and without a release the job could never run under another submission.
	abandoned  *tabulator.Table[identifier.SubmissionID, Claim]
	timers     *tabulator.Timers[identifier.SubmissionID]
	keepers    []identifier.HostID
	batch      Command
	verdicts   []Decision
	lateGrants []identifier.SubmissionID
}

type pendingClaim struct {
	claim    Claim
	giveUpAt identifier.Moment
	attempts int
}

// Tick applies the inputs, handles expired deadlines and returns the messages to send.
func (requester *Requester) Tick(now identifier.Moment, inputs []Input) []Output {
	requester.prepare(now)
	for _, input := range inputs {
		requester.apply(input)
	}
	requester.expire()
	return requester.flush()
}

// NextDeadline returns when Tick must run next even without inputs, or identifier.Never.
func (requester *Requester) NextDeadline() identifier.Moment {
	if requester.timers == nil {
		return identifier.Never
	}
	return requester.timers.Next()
}

func (requester *Requester) prepare(now identifier.Moment) {
	requester.now = now
	if requester.pending != nil {
		return
	}
	requester.pending = tabulator.New[identifier.SubmissionID, pendingClaim]()
	requester.abandoned = tabulator.New[identifier.SubmissionID, Claim]()
	requester.timers = tabulator.NewTimers[identifier.SubmissionID]()
}

func (requester *Requester) apply(input Input) {
	switch input := input.(type) {
	case *ClaimRequested:
		requester.handleClaimRequested(input.Claim)
	case *ReleaseRequested:
		requester.handleReleaseRequested(input.Release)
	case *KeepersChanged:
		requester.handleKeepersChanged(input.Keepers)
	case *Decided:
		for _, decision := range input.Decisions {
			requester.handleDecision(decision)
		}
	}
}

// handleKeepersChanged sends every pending claim to a new leader at once. The requests to
// the old leader may be lost with it, and waiting for the resend would add half a second to
// each waiting job.
func (requester *Requester) handleKeepersChanged(keepers []identifier.HostID) {
	leaderChanged := len(requester.keepers) > 0 && len(keepers) > 0 && requester.keepers[0] != keepers[0]
	requester.keepers = keepers
	if !leaderChanged {
		return
	}
	requester.pending.Each(func(_ identifier.SubmissionID, pending *pendingClaim) bool {
		pending.attempts = 0
		requester.addToBatch(pending)
		return true
	})
}

func (requester *Requester) handleClaimRequested(claim Claim) {
	pending := &pendingClaim{claim: claim, giveUpAt: requester.now.Add(requester.Settings.GiveUp)}
	requester.pending.Put(claim.Submission, pending)
	requester.addToBatch(pending)
}

// handleReleaseRequested gives up a claim. One that is still pending may be granted after its
// release; that is then reported as a late grant.
func (requester *Requester) handleReleaseRequested(release Release) {
	if pending := requester.pending.Get(release.Submission); pending != nil {
		requester.pending.Remove(release.Submission)
		requester.watchLateGrant(pending)
	}
	requester.batch.Releases = append(requester.batch.Releases, release)
}

func (requester *Requester) addToBatch(pending *pendingClaim) {
	requester.batch.Claims = append(requester.batch.Claims, pending.claim)
	pending.attempts++
	due := identifier.Earlier(requester.now.Add(requester.Settings.Resend), pending.giveUpAt)
	requester.timers.Set(pending.claim.Submission, due)
}

// handleDecision reports the first decision on a submission. For a later one nothing is
// pending, so it can only be a late grant.
func (requester *Requester) handleDecision(decision Decision) {
	if requester.pending.Get(decision.Submission) == nil {
		requester.recordLateGrant(decision)
		return
	}
	requester.pending.Remove(decision.Submission)
	requester.timers.Clear(decision.Submission)
	requester.verdicts = append(requester.verdicts, decision)
}

// recordLateGrant records a claim that was granted after it had timed out.
func (requester *Requester) recordLateGrant(decision Decision) {
	if requester.abandoned.Get(decision.Submission) == nil || decision.Verdict != VerdictGranted {
		return
	}
	requester.abandoned.Remove(decision.Submission)
	requester.lateGrants = append(requester.lateGrants, decision.Submission)
}

func (requester *Requester) expire() {
	requester.timers.EachDue(requester.now, requester.expireOne)
}

func (requester *Requester) expireOne(submission identifier.SubmissionID) {
	pending := requester.pending.Get(submission)
	if pending == nil {
		requester.abandoned.Remove(submission)
		return
	}
	if pending.giveUpAt.Due(requester.now) {
		requester.handleTimeout(pending)
		return
	}
	requester.addToBatch(pending)
}

func (requester *Requester) handleTimeout(pending *pendingClaim) {
	submission := pending.claim.Submission
	requester.handleDecision(Decision{Submission: submission, Verdict: VerdictUnavailable})
	requester.watchLateGrant(pending)
}

func (requester *Requester) watchLateGrant(pending *pendingClaim) {
	submission := pending.claim.Submission
	requester.abandoned.Put(submission, &pending.claim)
	forgetAt := requester.now.Add(lateGrantRetention)
	requester.timers.Set(submission, forgetAt)
}

// flush sends the claims of this tick to one keeper. Each attempt goes to the next keeper,
// so that an unresponsive one doesn't delay claims.
func (requester *Requester) flush() []Output {
	var outputs []Output
	hasCommand := len(requester.batch.Claims) > 0 || len(requester.batch.Releases) > 0
	if hasCommand && len(requester.keepers) > 0 {
		keeper := requester.keepers[requester.mostAttempts()%len(requester.keepers)]
		outputs = append(outputs, &Ask{Keeper: keeper, Command: requester.batch})
	}
	requester.batch = Command{}
	if len(requester.verdicts) > 0 {
		outputs = append(outputs, &ClaimsDecided{Decisions: requester.verdicts})
		requester.verdicts = nil
	}
	if len(requester.lateGrants) > 0 {
		outputs = append(outputs, &LateGrants{Submissions: requester.lateGrants})
		requester.lateGrants = nil
	}
	return outputs
}

// mostAttempts returns the largest number of earlier attempts among the claims of this tick.
func (requester *Requester) mostAttempts() int {
	most := 0
	for _, claim := range requester.batch.Claims {
		if pending := requester.pending.Get(claim.Submission); pending != nil {
			most = max(most, pending.attempts-1)
		}
	}
	return most
}
