package tracer

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text
//go:generate enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text
//go:generate enumer -type=Figure -trimprefix=Figure -transform=kebab -text

// Kind says what happens in an event; its text is the value of the field "event".
type Kind int

// The kinds of events.
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

// Outcome is how a submission ended, as its caller was told.
type Outcome int

// The outcomes that a trace may state.
const (
	OutcomeComplete Outcome = iota
	OutcomeFailed
	OutcomeRefused
)

// Figure names one number that a replay prints and that a trace may bound.
type Figure int

// The figures. ResponseOverIdeal is the mean over the complete jobs, Violations
// their number, ControlBytesPerSecond that of the entry host with the most.
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
