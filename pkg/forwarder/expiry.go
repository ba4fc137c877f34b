package forwarder

// expire handles every deadline that has been reached.
func (forwarder *Forwarder) expire() {
	forwarder.timers.EachDue(forwarder.now, forwarder.expireOne)
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
		forwarder.forgetCopy(key.submission)
	case timerQuestion:
		forwarder.expireQuestion(key.question)
	case timerReplicas:
		forwarder.sendReplicas()
	}
}

// askAnotherHost tries the next living host for a second copy that was not
// confirmed in time.
func (forwarder *Forwarder) askAnotherHost(key timerKey) {
	front := forwarder.fronts.Get(key.submission)
	if front == nil || front.answer != nil || front.copyHeld {
		return
	}
	if front.deadline.Due(forwarder.now) {
		forwarder.refuseLate(front, "the deadline passed before a second host remembered the job")
		return
	}
	forwarder.route(front)
}
