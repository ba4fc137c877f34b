package forwarder

// expire handles every deadline that is due.
func (forwarder *Forwarder) expire() {
	forwarder.timers.EachDue(forwarder.now, forwarder.expireOne)
}

func (forwarder *Forwarder) expireOne(key timerKey) {
	switch key.kind {
	case timerHomeWait:
		forwarder.refuseHomeUnreachable(key)
	case timerCopyWait:
		forwarder.retryCopy(key)
		forwarder.replicateWithheldAnswer(key.submission)
	case timerExpireSubmission:
		forwarder.localSubmissions.Remove(key.submission)
	case timerRelayCopy:
		forwarder.retryRelayCopy(key.submission)
	case timerExpireRelay:
		forwarder.relays.Remove(key.submission)
	case timerResend:
		forwarder.resend(key.submission)
	case timerSecondHolder:
		forwarder.confirmWithoutSecondHolder(key.submission)
	case timerExpireCopy:
		forwarder.expireCopy(key.submission)
	case timerLookup:
		forwarder.retryLookup(key.lookup)
	case timerReplicas:
		forwarder.sendReplicas()
	case timerCancel:
		forwarder.repeatCancel(key.submission)
	}
}

// retryCopy requests a second copy from the next living host after one was not confirmed in
// time.
func (forwarder *Forwarder) retryCopy(key timerKey) {
	localSubmission := forwarder.localSubmissions.Get(key.submission)
	if localSubmission == nil || localSubmission.answer != nil || localSubmission.copyHeld {
		return
	}
	if localSubmission.deadline.Due(forwarder.now) {
		forwarder.refuseLate(localSubmission, "the deadline passed before a second host remembered the job")
		return
	}
	forwarder.route(localSubmission)
}
