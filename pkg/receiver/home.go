package receiver

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// mayRunOf lists where a job may run, its home first. The home keeps the record
// of the submission, so it must be the same at whatever host a resend arrives.
// Were it the failure domain of the host that was reached, a resend to another
// failure domain would find no record there, and every task would start again;
// the record of starts would show it. So a job that names neither its own failure
// domain nor where it may run gets its home from its submission id.
func (receiver *Receiver) mayRunOf(body *jobBody) []identifier.FailureDomain {
	if len(body.MayRun) > 0 {
		return body.MayRun
	}
	home := body.FailureDomain
	if home == "" {
		home = receiver.homeByID(body.Submission)
	}
	mayRun := []identifier.FailureDomain{home}
	for _, failureDomain := range receiver.sortedFailureDomains() {
		if failureDomain != home {
			mayRun = append(mayRun, failureDomain)
		}
	}
	return mayRun
}

// homeByID returns the failure domain with the highest hash for a submission, so
// that another failure domain in the settings moves only the homes that it gets.
func (receiver *Receiver) homeByID(submission identifier.SubmissionID) identifier.FailureDomain {
	var home identifier.FailureDomain
	var highest uint64
	for _, failureDomain := range receiver.sortedFailureDomains() {
		weight := xxhash.Sum64String(string(failureDomain) + "\x00" + string(submission))
		if home == "" || weight > highest {
			home, highest = failureDomain, weight
		}
	}
	return home
}

// sortedFailureDomains lists the failure domains of the deployment in an order
// that is the same on every host, whatever order its settings have.
func (receiver *Receiver) sortedFailureDomains() []identifier.FailureDomain {
	all := slices.Clone(receiver.Settings.FailureDomains)
	if own := receiver.Settings.FailureDomain; !slices.Contains(all, own) {
		all = append(all, own)
	}
	slices.Sort(all)
	return all
}
