package dispatcher

//go:generate enumer -type=RefusalKind,ClaimVerdict,taskState,jobState -trimprefix=Refusal,Claim,task,job -transform=kebab -text -output=enums_enumer.go

// RefusalKind tells why a backend server refused a start.
type RefusalKind int

// The kinds of refusals.
const (
	RefusalUnspecified RefusalKind = iota
	RefusalNoFreeSlot
	RefusalLeaving
	RefusalStaleEpoch
	RefusalCancelled
	RefusalDeadlinePassed
)

// ClaimVerdict is the keepers' decision on a claim.
type ClaimVerdict int

// The verdicts on claims.
const (
	// ClaimUnavailable means that no quorum could be asked.
	ClaimUnavailable ClaimVerdict = iota
	// ClaimGranted means that the submission may run the job.
	ClaimGranted
	// ClaimHeld means that another submission holds the claim.
	ClaimHeld
)

// taskState is where a task stands.
type taskState int

const (
	taskQueued taskState = iota
	// taskHeld means that the task waits for a budget to be started again.
	taskHeld
	// taskStarted means that a start was sent and nothing was heard since.
	taskStarted
	// taskUnknown means that the backend server was lost after the start.
	taskUnknown
	taskAnswered
)

// jobState is where a job stands.
type jobState int

const (
	// jobRecovering means that the cell's takeover is under way.
	jobRecovering jobState = iota
	jobAwaitingClaim
	jobRunning
	// jobSpilling means that a second host is to remember where the job goes.
	jobSpilling
	// jobSpilled means that another failure domain has the job.
	jobSpilled
	jobFinished
)
