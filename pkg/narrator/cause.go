package narrator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// cause returns why the request ended as it did, and whether that follows from the lines.
func (storyBuilder *storyBuilder) cause() (string, bool) {
	answered := storyBuilder.last(messenger.DecisionAnswered)
	if answered == nil {
		return storyBuilder.causeOfNoAnswer()
	}
	_, reason, _ := strings.Cut(answered.Reason, "/")
	switch reason {
	case messenger.ReasonNone.String(), "":
		return storyBuilder.causeOfCompletion(answered)
	case messenger.ReasonDeadlineUnreachable.String():
		return storyBuilder.causeOfRejection()
	case messenger.ReasonNeverRunnable.String():
		return "it can never run here: " + storyBuilder.rejectionReason(), storyBuilder.first(messenger.DecisionTurnedAway) != nil
	case messenger.ReasonNoBackendServer.String():
		return storyBuilder.causeOfNoLead()
	case messenger.ReasonTaskFailed.String():
		return storyBuilder.causeOfTaskFailure()
	case messenger.ReasonTaskUnknown.String():
		return storyBuilder.causeOfUnknownRuns()
	case messenger.ReasonDeadlinePassed.String():
		return storyBuilder.causeOfDeadlinePassed()
	}
	return "the caller was told " + answered.Reason + ", which no rule here explains", false
}

// noAnswerWindow is how long after a request the log of its host is searched for what ended
// it. It is longer than any request takes.
const noAnswerWindow = 30 * time.Second

// causeOfNoAnswer explains a request without an answer.
func (storyBuilder *storyBuilder) causeOfNoAnswer() (string, bool) {
	if left := storyBuilder.last(messenger.DecisionCallerLeft); left != nil {
		return fmt.Sprintf("the caller left after %v, before there was an answer", left.At.Sub(storyBuilder.own[0].At)), true
	}
	arrived := storyBuilder.first(messenger.DecisionArrived)
	if arrived == nil {
		return "no line tells who took it; the log of its caller's host is missing, or has left the line out", false
	}
	var lastLine *Record
	later := storyBuilder.logs.between(arrived.At, arrived.At.Add(noAnswerWindow))
	for _, record := range later {
		if record.Host != arrived.Host {
			continue
		}
		if record.Message == "started" {
			return fmt.Sprintf("%s ended without an answer and started again %v after it took the request", arrived.Host, record.At.Sub(arrived.At)), true
		}
		lastLine = record
	}
	if ends := lastLine.At.Sub(arrived.At); ends >= noAnswerWindow-contextWindow {
		return fmt.Sprintf("%s wrote no answer within %v, but other lines; the line of the answer was left out", arrived.Host, noAnswerWindow), false
	}
	return fmt.Sprintf("%s wrote no answer; its log ends %v after it took the request", arrived.Host, lastLine.At.Sub(arrived.At)), true
}

// causeOfCompletion explains what took the time of a request that was served.
func (storyBuilder *storyBuilder) causeOfCompletion(answered *Record) (string, bool) {
	if over := storyBuilder.last(messenger.DecisionRunOver); over != nil {
		return fmt.Sprintf("it was complete after %v; a run on %s had to be repeated: %s", answered.Elapsed, over.Server, over.Reason), true
	}
	if slow := storyBuilder.last(messenger.DecisionSlowRun); slow != nil {
		return fmt.Sprintf("it was complete after %v, and late; its last run took %v on %s: %s", answered.Elapsed, slow.Elapsed, slow.Server, slow.Reason), true
	}
	if waited := storyBuilder.first(messenger.DecisionWaits); waited != nil {
		if granted := storyBuilder.first(messenger.DecisionGranted); granted != nil {
			return fmt.Sprintf("it was complete after %v, of which it waited %v for room", answered.Elapsed, granted.Elapsed), true
		}
	}
	return fmt.Sprintf("it was complete after %v; nothing held it up before its tasks ran", answered.Elapsed), true
}

func (storyBuilder *storyBuilder) rejectionReason() string {
	if turned := storyBuilder.last(messenger.DecisionTurnedAway); turned != nil {
		return turned.Reason
	}
	return "no line of a lead says why"
}

// causeOfRejection explains a request for which no capacity became free in time.
func (storyBuilder *storyBuilder) causeOfRejection() (string, bool) {
	turned := storyBuilder.last(messenger.DecisionTurnedAway)
	if turned == nil {
		return "a lead turned it away; the log of the lead that was asked is missing, or has left the line out", false
	}
	text := fmt.Sprintf("%s had no room in time: %s after %v", turned.Host, turned.Reason, turned.Elapsed)
	if waited := storyBuilder.last(messenger.DecisionWaits); waited != nil {
		text += fmt.Sprintf("; at first it was thought to wait %v", waited.Predicted)
	}
	return text + storyBuilder.lostCapacity(turned), true
}

// lostCapacity reports how many backend servers the lead had lost or judged unhealthy shortly
// before.
func (storyBuilder *storyBuilder) lostCapacity(turned *Record) string {
	lost := make(map[identifier.ServerIncarnation]bool)
	for _, record := range storyBuilder.nearbyRecords() {
		if record.Host != turned.Host || !storyBuilder.inContext(record) {
			continue
		}
		switch {
		case record.is(messenger.DecisionServerLost), record.is(messenger.DecisionServerGone),
			record.is(messenger.DecisionServerJudged), record.is(messenger.DecisionServerLeaves):
			lost[record.Server] = true
		case record.is(messenger.DecisionServerBack):
			delete(lost, record.Server)
		}
	}
	if len(lost) == 0 {
		return "; no backend server was lost in the seconds before, so the load was above the room"
	}
	return fmt.Sprintf("; in the seconds before, %d backend servers were lost, judged or leaving", len(lost))
}

// causeOfNoLead explains a request that no lead answered.
func (storyBuilder *storyBuilder) causeOfNoLead() (string, bool) {
	asked := storyBuilder.last(messenger.DecisionAsked)
	if asked == nil {
		return "its host knew nobody who leads the failure domain" + storyBuilder.hostStatusChange(""), true
	}
	return fmt.Sprintf("%s was asked and said nothing for %v%s", asked.To, storyBuilder.answerAfter(asked), storyBuilder.hostStatusChange(string(asked.To))), true
}

func (storyBuilder *storyBuilder) answerAfter(asked *Record) time.Duration {
	return storyBuilder.last(messenger.DecisionAnswered).At.Sub(asked.At)
}

// hostStatusChange reports the state that the caller's host recorded about then for a host, or for
// any host if none is named.
func (storyBuilder *storyBuilder) hostStatusChange(host string) string {
	for _, record := range storyBuilder.nearbyRecords() {
		if record.Host != storyBuilder.own[0].Host || record.Peer == "" || host != "" && record.Peer != host {
			continue
		}
		words := strings.Join(strings.Fields(record.Message+" "+record.Peer+" "+record.Status), " ")
		return fmt.Sprintf("; at %s: %s", record.At.Format("15:04:05.000"), words)
	}
	return ""
}

// causeOfTaskFailure explains a task that used up its permitted failures.
func (storyBuilder *storyBuilder) causeOfTaskFailure() (string, bool) {
	over := storyBuilder.last(messenger.DecisionRunOver)
	if over == nil {
		return "a task failed; the log of the lead is missing, or has left the lines out", false
	}
	return fmt.Sprintf("%d of its runs did no work, the last on %s: %s", storyBuilder.count(messenger.DecisionRunOver), over.Server, over.Reason), true
}

// causeOfUnknownRuns explains runs in a failure domain that became unreachable.
func (storyBuilder *storyBuilder) causeOfUnknownRuns() (string, bool) {
	asked := storyBuilder.last(messenger.DecisionAsked)
	if asked == nil {
		return "runs of it were in a failure domain that went out of reach; the lines that name it are missing", false
	}
	return fmt.Sprintf("%s, which had given it room, went out of reach, and nobody here can know what became of its runs%s",
		asked.To, storyBuilder.hostStatusChange(string(asked.To))), true
}

// causeOfDeadlinePassed explains a request whose deadline passed.
func (storyBuilder *storyBuilder) causeOfDeadlinePassed() (string, bool) {
	granted := storyBuilder.first(messenger.DecisionGranted)
	switch {
	case granted == nil && storyBuilder.first(messenger.DecisionWaits) == nil:
		return "its time was over before any lead had given it room" + storyBuilder.hostStatusChange(""), true
	case granted == nil:
		return "its time was over while it waited for room", true
	}
	if over := storyBuilder.lastRunLost(); over != nil {
		return fmt.Sprintf("its time was over; a run on %s had come to nothing after %v: %s", over.Server, over.Elapsed, over.Reason), true
	}
	for _, step := range storyBuilder.story.Steps {
		if step.is(messenger.DecisionServerLost) || step.is(messenger.DecisionServerGone) {
			return fmt.Sprintf("its time was over; its backend server %s had been lost at %s", step.Server, step.At.Format("15:04:05.000")), true
		}
	}
	if servers, runs := storyBuilder.stoppedOn(); runs > 0 {
		return fmt.Sprintf("its time was over; %d of its runs were still at work on %s and were stopped then", runs, servers), true
	}
	return fmt.Sprintf("its time was over before its tasks were done; they got room after %v and took longer than the rest", granted.Elapsed), true
}

// lastRunLost returns the last run that ended without a result before the answer, or nil. Runs
// that were stopped because of the answer don't explain it.
func (storyBuilder *storyBuilder) lastRunLost() *Record {
	answered := storyBuilder.last(messenger.DecisionAnswered)
	var found *Record
	for _, record := range storyBuilder.own {
		if record.is(messenger.DecisionRunOver) && !storyBuilder.alignedTime(record).After(storyBuilder.alignedTime(answered)) {
			found = record
		}
	}
	return found
}

// stoppedOn returns the backend servers on which runs were stopped, and how many runs.
func (storyBuilder *storyBuilder) stoppedOn() (string, int) {
	var servers []string
	runs := 0
	for _, record := range storyBuilder.own {
		if !record.is(messenger.DecisionStopped) {
			continue
		}
		runs++
		if !slices.Contains(servers, string(record.Server)) {
			servers = append(servers, string(record.Server))
		}
	}
	return strings.Join(servers, ", "), runs
}
