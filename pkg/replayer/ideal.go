package replayer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// OneWayWithinFailureDomain is the one-way network delay between two hosts of the same
// failure domain.
const OneWayWithinFailureDomain = 250 * time.Microsecond

// IdealResponse returns the lower bound of a job's response time: the longest run time
// of its tasks, one round trip from the client to an entry host, and one from there to
// a backend server of the same failure domain.
func IdealResponse(job *tracer.Job, deployment *tracer.Deployment) time.Duration {
	network := 2*deployment.ClientOneWayDelay + 2*OneWayWithinFailureDomain
	return job.LongestRunTime() + network
}
