package tracer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// directory holds every id that an event may refer to: the ids of the deployment
// and the submissions of earlier lines.
type directory struct {
	failureDomains map[identifier.FailureDomain]bool
	backendServers map[identifier.BackendServerID]bool
	entryHosts     map[identifier.HostID]bool
	submissions    map[identifier.SubmissionID]bool
}

func newDirectory(deployment *Deployment) (*directory, *Error) {
	result := &directory{
		failureDomains: make(map[identifier.FailureDomain]bool),
		backendServers: make(map[identifier.BackendServerID]bool),
		entryHosts:     make(map[identifier.HostID]bool),
		submissions:    make(map[identifier.SubmissionID]bool),
	}
	for _, domain := range deployment.FailureDomains {
		if result.failureDomains[domain] {
			return nil, newParseError(ErrorBadValue, "failure domain %q stands twice", domain)
		}
		result.failureDomains[domain] = true
		result.addHosts(deployment, domain)
	}
	return result, nil
}

func (directory *directory) addHosts(deployment *Deployment, domain identifier.FailureDomain) {
	for number := range deployment.ExecutorsPerFailureDomain {
		directory.backendServers[Executor(domain, number)] = true
	}
	for number := range deployment.EntryHostsPerFailureDomain {
		directory.entryHosts[EntryHost(domain, number)] = true
	}
}

func (directory *directory) checkFailureDomain(domain identifier.FailureDomain) *Error {
	if directory.failureDomains[domain] {
		return nil
	}
	return newParseError(ErrorUnknownReference, "no failure domain %q in the deployment", domain)
}

func (directory *directory) checkEntryHost(host identifier.HostID) *Error {
	if directory.entryHosts[host] {
		return nil
	}
	return newParseError(ErrorUnknownReference, "no entry host %q in the deployment", host)
}

func (directory *directory) checkSubmission(submission identifier.SubmissionID) *Error {
	if directory.submissions[submission] {
		return nil
	}
	return newParseError(ErrorUnknownReference, "no submission %q on an earlier line", submission)
}

func (job *Job) check(directory *directory) *Error {
	if err := directory.checkFailureDomain(job.FailureDomain); err != nil {
		return err
	}
	for _, domain := range job.MayRun {
		if err := directory.checkFailureDomain(domain); err != nil {
			return err
		}
	}
	directory.submissions[job.Submission] = true
	if job.EntryHost == "" {
		return nil
	}
	return directory.checkEntryHost(job.EntryHost)
}

func (cancel *Cancel) check(directory *directory) *Error {
	return directory.checkSubmission(cancel.Submission)
}

func (expect *Expect) check(directory *directory) *Error {
	if !expect.NamesSubmission() {
		return nil
	}
	return directory.checkSubmission(expect.Submission)
}

func (fault *BackendServerFault) check(directory *directory) *Error {
	if directory.backendServers[fault.BackendServer] {
		return nil
	}
	return newParseError(ErrorUnknownReference, "no backend server %q in the deployment", fault.BackendServer)
}

func (fault *EntryHostFault) check(directory *directory) *Error {
	return directory.checkEntryHost(fault.EntryHost)
}

func (fault *FailureDomainFault) check(directory *directory) *Error {
	return directory.checkFailureDomain(fault.FailureDomain)
}
