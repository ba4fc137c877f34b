package recorder

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// recording collects the events of a trace while log lines are read.
type recording struct {
	start   time.Time
	events  []tracer.Event
	jobs    map[identifier.SubmissionID][]*tracer.Job
	domains []identifier.FailureDomain
	hosts   map[identifier.FailureDomain][]identifier.HostID
}

func newRecording() *recording {
	return &recording{
		jobs:  make(map[identifier.SubmissionID][]*tracer.Job),
		hosts: make(map[identifier.FailureDomain][]identifier.HostID),
	}
}

func (recording *recording) handleLine(line *line) error {
	if recording.start.IsZero() {
		recording.start = line.at
	}
	at := identifier.Moment(line.at.Sub(recording.start))
	submission := identifier.SubmissionID(line.fields["submission"])
	switch line.event {
	case eventJobReceived:
		return recording.handleJobReceived(line, at, submission)
	case eventJobEnded:
		return recording.handleJobEnded(line, submission)
	}
	if recording.jobs[submission] != nil {
		recording.events = append(recording.events, &tracer.Cancel{Head: tracer.Head{At: at}, Submission: submission})
	}
	return nil
}

func (recording *recording) handleJobReceived(line *line, at identifier.Moment, submission identifier.SubmissionID) error {
	job := &tracer.Job{
		Head:          tracer.Head{At: at},
		Submission:    submission,
		Job:           identifier.JobID(line.fields["job"]),
		Caller:        identifier.CallerID(line.fields["caller"]),
		Team:          identifier.TeamID(line.fields["team"]),
		Class:         identifier.ClassName(line.fields["class"]),
		FailureDomain: identifier.FailureDomain(line.fields["failure-domain"]),
		Deadline:      identifier.Never,
	}
	repeatable, err := strconv.ParseBool(line.fields["repeatable"])
	if err != nil {
		return malformedField("repeatable", line, err)
	}
	job.Repeatable = repeatable
	for _, domain := range splitList(line.fields["may-run"]) {
		job.MayRun = append(job.MayRun, identifier.FailureDomain(domain))
		recording.addDomain(identifier.FailureDomain(domain))
	}
	declared, err := parseDurations(line.fields["declared"])
	if err != nil || len(declared) == 0 {
		return malformedField("declared", line, err)
	}
	for _, length := range declared {
		job.Tasks = append(job.Tasks, tracer.Task{RunTime: orAssumedRunTime(length), DeclaredRunTime: orAssumedRunTime(length)})
	}
	if text, given := line.fields["remaining"]; given {
		remaining, err := time.ParseDuration(text)
		if err != nil {
			return malformedField("remaining", line, err)
		}
		job.Deadline = at.Add(remaining)
	}
	recording.addDomain(job.FailureDomain)
	job.EntryHost = recording.addHost(job.FailureDomain, identifier.HostID(line.fields["entry-host"]))
	recording.jobs[submission] = append(recording.jobs[submission], job)
	recording.events = append(recording.events, job)
	return nil
}

// handleJobEnded sets the run times that backend servers reported, in the first Job
// of the submission and in its resends.
func (recording *recording) handleJobEnded(line *line, submission identifier.SubmissionID) error {
	runTimes, err := parseDurations(line.fields["run-times"])
	if err != nil {
		return malformedField("run-times", line, err)
	}
	for _, job := range recording.jobs[submission] {
		for number := range min(len(runTimes), len(job.Tasks)) {
			if runTimes[number] > 0 {
				job.Tasks[number].RunTime = runTimes[number]
			}
		}
	}
	return nil
}

func (recording *recording) addDomain(domain identifier.FailureDomain) {
	if !slices.Contains(recording.domains, domain) {
		recording.domains = append(recording.domains, domain)
	}
}

// addHost returns the id of a host within the trace. Ids in traces contain a number,
// so the hosts of a failure domain are numbered in the order of their first job.
func (recording *recording) addHost(domain identifier.FailureDomain, host identifier.HostID) identifier.HostID {
	if host == "" {
		return ""
	}
	number := slices.Index(recording.hosts[domain], host)
	if number < 0 {
		number = len(recording.hosts[domain])
		recording.hosts[domain] = append(recording.hosts[domain], host)
	}
	return tracer.EntryHost(domain, number)
}

func (recording *recording) trace(recorder *Recorder) *tracer.Trace {
	most := 1
	for _, domain := range recording.domains {
		most = max(most, len(recording.hosts[domain]))
	}
	return &tracer.Trace{
		Deployment: tracer.Deployment{
			FailureDomains:             recording.domains,
			EntryHostsPerFailureDomain: most,
			ExecutorsPerFailureDomain:  recorder.ExecutorsPerFailureDomain,
			Slots:                      recorder.Slots,
			Connections:                assumedConnections,
			OneWayDelay:                assumedOneWay,
			ClientOneWayDelay:          assumedOneWay,
			SyncDuration:               assumedSync,
			Seed:                       1,
		},
		Events: recording.events,
	}
}

func orAssumedRunTime(length time.Duration) time.Duration {
	if length <= 0 {
		return assumedRunTime
	}
	return length
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// parseDurations parses a comma-separated list; an empty item is zero.
func parseDurations(text string) ([]time.Duration, error) {
	var lengths []time.Duration
	for _, item := range splitList(text) {
		length := time.Duration(0)
		if item != "" {
			parsed, err := time.ParseDuration(item)
			if err != nil {
				return nil, err
			}
			length = parsed
		}
		lengths = append(lengths, length)
	}
	return lengths, nil
}

func malformedField(field string, line *line, cause error) error {
	if cause == nil {
		cause = eris.New("it is missing")
	}
	return newError("read log", ErrorMalformed, eris.Wrapf(cause, "field %q of event %s at %s", field, line.event, line.at))
}
