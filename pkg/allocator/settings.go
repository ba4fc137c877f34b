package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/renewer"
)

// Settings holds the time limits and intervals of an allocator.
type Settings struct {
	// Lease is how long a run may go on without a renewal, at most.
	Lease time.Duration
	// MaxPollWait is the longest time for which backend servers let a poll wait for an end.
	MaxPollWait time.Duration
	// StopTime is how long a backend server takes to stop a run, at most.
	StopTime time.Duration
	// PollRetry is how long after an unanswered call the next one is sent.
	PollRetry time.Duration
	// StopRetry is how long after an unanswered stop the next one is sent.
	StopRetry time.Duration
	// UnclaimedWait is how long a run that no job here has requested may go on, so that its host
	// can report it after a change of the lead.
	UnclaimedWait time.Duration
	// ForgetServer is how long a backend server that neither answers nor reports itself stays
	// known.
	ForgetServer time.Duration
	// ForgetJob is how long run numbers of ended jobs are kept for a resubmission.
	ForgetJob time.Duration
	// CloseTime is how long a backend server that refused a start gets no other one.
	CloseTime time.Duration
	// NoticeInterval is the least time between notices of the capacity here to other leads.
	NoticeInterval time.Duration
	// NoticeAge is how old a notice may be to be relied on.
	NoticeAge time.Duration
	// RemoteDelay is by how much later capacity at another cell counts as free: the time of a
	// request to its lead, and a reserve for what its notice leaves out.
	RemoteDelay time.Duration
	// IgnoreSpeeds treats all backend servers as equally fast, for comparisons.
	IgnoreSpeeds bool
	// Health holds the settings for assessing backend servers by the outcomes of their runs.
	Health assessor.Settings
}

// pollsPerLease is how many calls fit into a lease. While a call is under way whose answer is lost,
// ends are not learned; more calls cost the lead processor time.
const pollsPerLease = 4

// pollWait is how long a call waits at a backend server for an end. It leaves more than half of the
// lease for a renewal that is delayed or repeated.
func (settings *Settings) pollWait() time.Duration {
	return min(settings.Lease/pollsPerLease, settings.MaxPollWait)
}

const (
	defaultMaxPollWait = 2 * time.Second
	defaultStopTime    = 50 * time.Millisecond
	// A heartbeat comes every 1.5 s; eight missed ones are more than a pause.
	defaultForgetServer = 12 * time.Second
	// A caller that lost its connection resubmits after 1.3 s, and late callers seconds after that.
	defaultForgetJob = 15 * time.Second
	// A call inside a failure domain takes about 1 ms; a retry after fifty times that
	// leaves eight retries within the lease.
	defaultRetry = 50 * time.Millisecond
	// Hosts learn of a new lead within tens of milliseconds.
	defaultUnclaimedWait = 400 * time.Millisecond
	// An end frees capacity every few milliseconds in a busy failure domain, so a full server is
	// worth another try after about ten of them.
	defaultCloseTime      = 50 * time.Millisecond
	defaultNoticeInterval = 20 * time.Millisecond
	defaultNoticeAge      = time.Second
	// A round trip to another failure domain takes about 2 ms.
	defaultRemoteDelay = 4 * time.Millisecond
	// outcomesWeighed is over how many of a server's latest runs failures are weighed: a server
	// runs two or three tasks at once, so this spans about three rounds.
	outcomesWeighed = 8
	// ejectAfter is how many failures more than other servers show eject a server.
	ejectAfter = 2.5
	// slowEjectAfter is the base 2 logarithm of how much longer than others a server may take, over
	// about its last five runs, as slownessDecay weighs them. Within a queue run times differ by
	// two fifths, by which that mean is off by 0.3.
	slowEjectAfter = 1.2
	slownessDecay  = 0.3
	// ratioLimit keeps a single run, whose start may have been late, from ejecting a server by
	// itself.
	ratioLimit = 2.5
)

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	health := assessor.DefaultSettings()
	health.Window = outcomesWeighed
	health.EjectThreshold = ejectAfter
	health.SlowEjectThreshold = slowEjectAfter
	health.SlownessDecay = slownessDecay
	health.RatioLimit = ratioLimit
	health.RampUp = 0
	return Settings{
		Lease:          renewer.DefaultLease,
		MaxPollWait:    defaultMaxPollWait,
		StopTime:       defaultStopTime,
		PollRetry:      defaultRetry,
		StopRetry:      defaultRetry,
		UnclaimedWait:  defaultUnclaimedWait,
		ForgetServer:   defaultForgetServer,
		ForgetJob:      defaultForgetJob,
		CloseTime:      defaultCloseTime,
		NoticeInterval: defaultNoticeInterval,
		NoticeAge:      defaultNoticeAge,
		RemoteDelay:    defaultRemoteDelay,
		Health:         health,
	}
}
