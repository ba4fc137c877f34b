package receiver

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// mayRunOf lists the failure domains that a job may run in, its home first. The home keeps the
// record of the submission, so every host must compute the same home for a resend. If the home
// were the failure domain of the receiving host, a resend to another failure domain would find no
// record there, and every task would start a second time, as the record of starts would show. So
// a job that names neither its own failure domain nor where it may run gets its home from its
// submission id.
func (receiver *Receiver) mayRunOf(body *jobBody) []identifier.FailureDomain {
	if len(body.MayRun) > 0 {
		return body.MayRun
	}
	home := body.FailureDomain
	if home == "" {
		home = receiver.homeByHash(body.Submission)
	}
	mayRun := []identifier.FailureDomain{home}
	for _, failureDomain := range receiver.sortedFailureDomains() {
		if failureDomain != home {
			mayRun = append(mayRun, failureDomain)
		}
	}
	return mayRun
}

// homeByHash picks a submission's home by rendezvous hashing: the failure domain with the highest
// hash. Adding a failure domain to the settings moves only the homes that the new one gets.
func (receiver *Receiver) homeByHash(submission identifier.SubmissionID) identifier.FailureDomain {
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

// sortedFailureDomains lists the deployment's failure domains in the same order on every host,
// whatever their order in the host's settings.
func (receiver *Receiver) sortedFailureDomains() []identifier.FailureDomain {
	all := slices.Clone(receiver.Settings.FailureDomains)
	if own := receiver.Settings.FailureDomain; !slices.Contains(all, own) {
		all = append(all, own)
	}
	slices.Sort(all)
	return all
}
