package dispatcher

//go:generate enumer -type=RefusalKind,ClaimVerdict,taskState,jobState -trimprefix=Refusal,Claim,task,job -transform=kebab -text -output=enums_enumer.go

// RefusalKind is the reason why a backend server refused a start.
type RefusalKind int

// The reasons for refused starts.
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

// The decisions on claims.
const (
	// ClaimUnavailable means that no quorum could be reached.
	ClaimUnavailable ClaimVerdict = iota
	// ClaimGranted means that the submission may run the job.
	ClaimGranted
	// ClaimHeld means that another submission holds the claim.
	ClaimHeld
)

// taskState is the state of a task at the lead.
type taskState int

const (
	taskQueued taskState = iota
	// taskHeld means that the task waits for retry budget before it is started again.
	taskHeld
	// taskStarted means that a start was sent and no answer or refusal was received since.
	taskStarted
	// taskUnknown means that the backend server was lost after the start.
	taskUnknown
	taskAnswered
)

// jobState is the state of a job at the lead.
type jobState int

const (
	// jobRecovering means that the cell's takeover is under way.
	jobRecovering jobState = iota
	jobAwaitingClaim
	jobRunning
	// jobSpilling means that a second host is being asked to record where the job goes.
	jobSpilling
	// jobSpilled means that the job was handed to another failure domain.
	jobSpilled
	jobFinished
)
