package replayer

import (
	"math/rand/v2"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakenetwork"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

const (
	// warmUp is the time before the trace in which hosts connect and cells get
	// their leads.
	warmUp = 5 * time.Second
	// coolDown is how long the replay continues after the last work or deadline, so that
	// late violations are detected.
	coolDown = 30 * time.Second
	// reconnectPause is how long backend servers and entry hosts wait before they
	// reconnect.
	reconnectPause = 100 * time.Millisecond
)

// Replayer replays one trace in virtual time with the same coordinators that the daemon
// runs. Set the exported fields before Run.
type Replayer struct {
	Trace *tracer.Trace
	// Policy is one of Policies; empty means DefaultPolicy.
	Policy string
	// Seed drives the random choices of the fake balancer and the seeds of the coordinators. With
	// the same trace, policy and seed, Run returns the same figures.
	Seed uint64
	// Explain is the submission whose decisions Run returns in Result.Steps; empty means none.
	Explain identifier.SubmissionID
	// MixedFleet draws sizes of hosts, and sizes and speeds of backend servers, from a random stream of
	// its own, so that the other choices of a seed stay as they are.
	MixedFleet bool
}

// Result holds the results of a replay.
type Result struct {
	Figures *Figures
	// Unmet has one sentence for each expectation of the trace that does not hold.
	Unmet []string
	// Steps are the decisions about the submission in Replayer.Explain.
	Steps []HostStep
}

// Passed reports whether no guarantee was violated and every expectation of the trace holds.
func (result *Result) Passed() bool {
	return len(result.Figures.Violations) == 0 && len(result.Unmet) == 0
}

// Run replays the trace to its end. It fails only for an unknown policy.
func (replayer *Replayer) Run() (*Result, error) {
	policy, err := findPolicy(replayer.Policy)
	if err != nil {
		return nil, err
	}
	replay := newReplay(replayer, policy)
	if replayer.Explain != "" {
		replay.settings.Dispatcher.ExplainedSteps = maxExplainedSteps
	}
	replay.start()
	replay.schedule()
	replay.clock.Run(replay.end)
	figures := NewFigures(replay.measurements())
	unmet := UnmetExpectations(replayer.Trace, figures, replay.checker.Outcome)
	return &Result{Figures: figures, Unmet: unmet, Steps: replay.explain(replayer.Explain)}, nil
}

// replay is the state of one replay. The trace starts at moment zero of its clock.
type replay struct {
	trace    *tracer.Trace
	policy   *policy
	seed     uint64
	random   *rand.Rand
	clock    *fakenetwork.Clock
	network  *fakenetwork.Network
	checker  *Checker
	traffic  *traffic
	settings coordinator.Settings
	// fleet is nil if all hosts and all backend servers are alike.
	fleet *fleet
	end   identifier.Moment

	hosts       []*entryHost
	hostByID    map[identifier.HostID]*entryHost
	servers     []*backendServer
	serverByID  map[identifier.BackendServerID]*backendServer
	callers     map[identifier.FailureDomain]*callers
	submissions map[identifier.SubmissionID]*submission
	requests    []*request
}

func newReplay(replayer *Replayer, policy *policy) *replay {
	deployment := &replayer.Trace.Deployment
	clock := fakenetwork.NewClock(-identifier.Moment(warmUp))
	created := &replay{
		trace:       replayer.Trace,
		policy:      policy,
		seed:        replayer.Seed,
		random:      rand.New(rand.NewPCG(replayer.Seed, deployment.Seed)),
		clock:       clock,
		checker:     NewChecker(),
		traffic:     newTraffic(),
		settings:    coordinator.DefaultSettings(),
		hostByID:    make(map[identifier.HostID]*entryHost),
		serverByID:  make(map[identifier.BackendServerID]*backendServer),
		callers:     make(map[identifier.FailureDomain]*callers),
		submissions: make(map[identifier.SubmissionID]*submission),
	}
	created.network = &fakenetwork.Network{Clock: clock, Delay: created.delay, ReconnectPause: reconnectPause}
	policy.apply(&created.settings, deployment)
	created.end = created.lastMoment()
	if replayer.MixedFleet {
		created.fleet = newFleet(replayer.Seed)
	}
	created.build(deployment)
	return created
}

// delay returns the one-way network delay between two nodes.
func (replay *replay) delay(from, to *fakenetwork.Node) time.Duration {
	deployment := &replay.trace.Deployment
	switch {
	case isCallers(from.Address) || isCallers(to.Address):
		return deployment.ClientOneWayDelay
	case from.FailureDomain == to.FailureDomain:
		return OneWayWithinFailureDomain
	default:
		return deployment.OneWayDelay
	}
}

// lastMoment returns the moment at which the replay ends: the last event, or coolDown after the
// last work or deadline if that is later.
func (replay *replay) lastMoment() identifier.Moment {
	last, lastWork := identifier.Moment(0), identifier.Moment(0)
	for _, event := range replay.trace.Events {
		last = max(last, event.Moment())
		job, isJob := event.(*tracer.Job)
		if !isJob {
			continue
		}
		lastWork = max(lastWork, job.At.Add(job.LongestRunTime()))
		if job.Deadline != identifier.Never {
			lastWork = max(lastWork, job.Deadline)
		}
	}
	return max(last, lastWork.Add(coolDown))
}

func (replay *replay) after(delay time.Duration, action func()) {
	replay.clock.At(replay.clock.Now().Add(delay), action)
}

// build creates the nodes of the deployment and the links between them.
func (replay *replay) build(deployment *tracer.Deployment) {
	for _, domain := range deployment.FailureDomains {
		for number := range deployment.EntryHostsPerFailureDomain {
			replay.addHost(tracer.EntryHost(domain, number), domain)
		}
	}
	replay.addDisks()
	for _, domain := range deployment.FailureDomains {
		replay.addCallers(domain)
		for number := range deployment.ExecutorsPerFailureDomain {
			replay.addServer(tracer.Executor(domain, number), domain)
		}
	}
}

func (replay *replay) start() {
	for _, host := range replay.hosts {
		host.start()
	}
	for _, domain := range replay.trace.Deployment.FailureDomains {
		replay.network.Start(replay.callers[domain].node, replay.callers[domain])
	}
	for _, server := range replay.servers {
		server.start()
	}
}

// schedule schedules the events of the trace, except expectations, on the clock.
func (replay *replay) schedule() {
	for _, event := range replay.trace.Events {
		switch event := event.(type) {
		case *tracer.Job:
			replay.clock.At(event.At, func() { replay.sendJob(event) })
		case *tracer.Cancel:
			replay.clock.At(event.At, func() { replay.sendCancel(event) })
		case *tracer.Expect:
		default:
			replay.clock.At(event.Moment(), func() { replay.applyFault(event) })
		}
	}
}

func (replay *replay) measurements() *Measurements {
	counts := replay.checker.Counts()
	measurements := &Measurements{
		Policy:       replay.policy.name,
		Seed:         replay.seed,
		Length:       time.Duration(replay.end),
		Jobs:         counts.Submissions,
		Tasks:        counts.Tasks,
		Complete:     counts.Complete,
		Failed:       counts.Failed,
		Refused:      counts.Refused,
		TasksStarted: replay.checker.TasksStarted(),
		Violations:   replay.checker.Violations(),
		Messages:     replay.traffic.messages(),
	}
	measurements.WastedMessages = replay.traffic.wasted(replay.submissions)
	for _, event := range replay.trace.Events {
		if job, isJob := event.(*tracer.Job); isJob {
			measurements.addResponse(replay.submissions[job.Submission], job)
		}
	}
	for _, host := range replay.hosts {
		measurements.ControlBytes = append(measurements.ControlBytes, HostBytes{Host: host.id, Bytes: replay.traffic.control[host.id]})
	}
	return measurements
}

// addResponse adds the response over ideal of a complete submission, only for the job event
// that sent it first.
func (measurements *Measurements) addResponse(submission *submission, job *tracer.Job) {
	if submission == nil || !submission.complete || submission.job != job {
		return
	}
	response := submission.completeAt.Sub(submission.submittedAt)
	measurements.ResponsesOverIdeal = append(measurements.ResponsesOverIdeal, float64(response)/float64(submission.ideal))
}
