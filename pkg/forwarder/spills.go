package forwarder

// recordSpill records on the lead itself which failure domain it spills a job to.
//
// The dispatcher forgets its jobs when it loses the lead, and a lead without living neighbours
// has no second host that could remember the spill. If nothing else on this host kept it, the
// next lead, which may be this host again, would treat the job as new and start it at home.
// The symptom is tasks of one submission that run in two failure domains.
func (forwarder *Forwarder) recordSpill(input *JobSpilled) {
	if localSubmission := forwarder.localSubmissions.Get(input.Submission); localSubmission != nil {
		localSubmission.spilledTo = input.To
	}
	if held := forwarder.copies.Get(input.Submission); held != nil {
		held.record.SpilledTo = input.To
	}
}
