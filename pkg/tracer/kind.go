package tracer

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text
//go:generate enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text
//go:generate enumer -type=Figure -trimprefix=Figure -transform=kebab -text

// Kind is the kind of an event; its text is the value of the field "event".
type Kind int

// The kinds of events; KindDeployment is allowed on the first line only.
const (
	KindDeployment Kind = iota
	KindJob
	KindCancel
	KindBackendServerDies
	KindBackendServerReturns
	KindBackendServerLeaves
	KindBackendServerFailsEveryTask
	KindBackendServerSlows
	KindBackendServerSilent
	KindEntryHostDies
	KindEntryHostReturns
	KindEntryHostShutsDown
	KindEntryHostIsolated
	KindEntryHostRejoins
	KindFailureDomainCutOff
	KindFailureDomainRejoins
	KindExpect
)

// Outcome is the result of a submission as reported to its caller.
type Outcome int

// The outcomes that an Expect may require.
const (
	OutcomeComplete Outcome = iota
	OutcomeFailed
	OutcomeRefused
)

// Figure is a metric of a replay that an Expect may give an upper bound for.
type Figure int

// The figures. FigureResponseOverIdeal is the mean over all complete jobs,
// FigureViolations the number of violations, and FigureControlBytesPerSecond the
// value of the entry host with the highest one.
const (
	FigureJobs Figure = iota
	FigureTasks
	FigureJobsComplete
	FigureJobsFailed
	FigureJobsRefused
	FigureJobsUnanswered
	FigureTasksStarted
	FigureViolations
	FigureResponseOverIdeal
	FigureResponseOverIdealMean
	FigureResponseOverIdealP50
	FigureResponseOverIdealP99
	FigureResponseOverIdealMax
	FigureMessagesPerTask
	FigureWastedMessagesPerTask
	FigureControlBytesPerSecond
	FigureSeed
)
