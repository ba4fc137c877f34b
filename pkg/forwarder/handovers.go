package forwarder

// recordHandOver remembers on the lead itself where it hands a job over to.
//
// The dispatcher forgets its jobs with the lead, and a lead that is alone has no second
// host that could remember. If nothing else here knew, the next lead, which may be this
// host again, would take the job for one that nobody has and start it at home. It would
// show as tasks of a submission that run in two failure domains.
func (forwarder *Forwarder) recordHandOver(input *JobHandedOver) {
	if front := forwarder.fronts.Get(input.Submission); front != nil {
		front.spilledTo = input.To
	}
	if held := forwarder.copies.Get(input.Submission); held != nil {
		held.record.SpilledTo = input.To
	}
}
