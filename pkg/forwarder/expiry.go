package forwarder

import "github.com/stoathitch/stoathitch/pkg/messenger"

// expire handles every deadline that has been reached.
func (forwarder *Forwarder) expire() {
	for {
		key, due := forwarder.timers.PopDue(forwarder.now)
		if !due {
			return
		}
		forwarder.expireOne(key)
	}
}

func (forwarder *Forwarder) expireOne(key timerKey) {
	switch key.kind {
	case timerHomeWait:
		forwarder.giveUpHome(key)
	case timerCopyWait:
		forwarder.askAnotherHost(key)
		forwarder.spreadHeldBack(key.submission)
	case timerForgetFront:
		forwarder.fronts.Remove(key.submission)
	case timerRelay:
		forwarder.expireRelay(key.submission)
	case timerForgetRelay:
		forwarder.relays.Remove(key.submission)
	case timerAskAgain:
		forwarder.askAgain(key.submission)
	case timerLoneAnswer:
		forwarder.confirmLoneAnswer(key.submission)
	case timerForgetCopy:
		forwarder.copies.Remove(key.submission)
	}
}

// giveUpHome refuses a job whose home has no reachable lead. An earlier sending
// may have reached the home, so the refusal does not say "not run".
func (forwarder *Forwarder) giveUpHome(key timerKey) {
	front := forwarder.fronts.Get(key.submission)
	if front == nil || front.answer != nil {
		return
	}
	refusal := messenger.RefuseUnknown(key.submission, messenger.ReasonHomeUnreachable,
		"no lead of the job's home failure domain "+string(front.job.Home())+
			" can be reached; submit it under a new id with another failure domain first")
	refusal.RetryAfter = forwarder.Settings.HomeWait
	forwarder.answerHere(front, refusal)
}

// askAnotherHost tries the next living host for a second copy that was not
// confirmed in time.
func (forwarder *Forwarder) askAnotherHost(key timerKey) {
	front := forwarder.fronts.Get(key.submission)
	if front != nil && front.answer == nil && !front.copyHeld {
		forwarder.route(front)
	}
}
