package loader

// Timeouts holds the intervals after which something is given up or forgotten.
type Timeouts struct {
	// UnknownTaskWait is how long a job waits for a task whose backend server was
	// lost, in case the server comes back with the answer.
	UnknownTaskWait Duration `json:"unknown-task-wait"`

	// AnswerRetention is how long a finished answer is found again by its
	// submission id.
	AnswerRetention Duration `json:"answer-retention"`

	// ClaimRetention is how long the claim of a not-repeatable job is kept whole, so
	// that a resubmission is told which submission has it. A fingerprint that
	// refuses the job stays for good.
	ClaimRetention Duration `json:"claim-retention"`

	// HeartbeatInterval is the time between two heartbeats on a stream.
	HeartbeatInterval Duration `json:"heartbeat-interval"`

	// HeartbeatMissed is the number of heartbeats missed in a row after which the
	// other side counts as lost.
	HeartbeatMissed int `json:"heartbeat-missed"`

	// ShutdownDeadline is how long a graceful shutdown waits for accepted jobs.
	ShutdownDeadline Duration `json:"shutdown-deadline"`

	// HeaderTimeout is how long a caller may take to send the header of a request.
	HeaderTimeout Duration `json:"header-timeout"`

	// BodyTimeout is how long a caller may take to send the body of a request, and
	// anybody to read what is written to it.
	BodyTimeout Duration `json:"body-timeout"`

	// IdleTimeout is how long a caller's connection may stay open between two
	// requests.
	IdleTimeout Duration `json:"idle-timeout"`
}
