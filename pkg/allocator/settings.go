package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/assessor"
)

// Settings says how long things last.
type Settings struct {
	// Lease is how long a run may go on without a renewal, at most.
	Lease time.Duration
	// StopTime is how long a backend server takes to stop a run, at most.
	StopTime time.Duration
	// HoldRetry is how long after an unanswered call the next one goes out.
	HoldRetry time.Duration
	// StopRetry is how long after an unanswered stop the next one goes out.
	StopRetry time.Duration
	// OrphanWait is how long a run that no job here asked for may go on, so that its
	// host can name it after a change of the lead.
	OrphanWait time.Duration
	// ForgetServer is how long a backend server that neither answers nor announces
	// itself stays known.
	ForgetServer time.Duration
	// ForgetJob is how long run numbers of ended jobs are kept for a resend.
	ForgetJob time.Duration
	// CloseTime is how long a backend server that refused a start gets no other one.
	CloseTime time.Duration
	// NoticeInterval is how often other leads are told of the room here, at most.
	NoticeInterval time.Duration
	// NoticeAge is how old a notice may be to be relied on.
	NoticeAge time.Duration
	// WayElsewhere is by how much later room at another cell counts as free: what asking
	// its lead takes, and a reserve for what its notice leaves out.
	WayElsewhere time.Duration
	// Health judges backend servers by the outcomes of their runs.
	Health assessor.Settings
}

// holdsPerLease is how many calls fit into a lease. While a call is under way whose
// answer is lost, ends are not heard of; more calls cost the lead processor time.
const holdsPerLease = 4

// holdWait is how long a call waits at a backend server for an end. It leaves more than
// half of the lease for a renewal that is delayed or repeated.
func (settings *Settings) holdWait() time.Duration { return settings.Lease / holdsPerLease }

const (
	defaultLease    = time.Second
	defaultStopTime = 50 * time.Millisecond
	// A heartbeat comes every 1.5 s; eight missed ones are no pause any more.
	defaultForgetServer = 12 * time.Second
	// A caller that lost its connection sends again after 1.3 s, and late ones seconds
	// after that.
	defaultForgetJob = 15 * time.Second
	// A call inside a failure domain takes about 1 ms; a retry after fifty times that
	// leaves eight retries within the lease.
	defaultRetry = 50 * time.Millisecond
	// Hosts hear of a new lead within tens of milliseconds.
	defaultOrphanWait = 400 * time.Millisecond
	// An end frees room every few milliseconds in a busy failure domain, so a full
	// server is worth another look after about ten of them.
	defaultCloseTime      = 50 * time.Millisecond
	defaultNoticeInterval = 20 * time.Millisecond
	defaultNoticeAge      = time.Second
	// The way to another failure domain and back costs about 2 ms.
	defaultWayElsewhere = 4 * time.Millisecond
	// outcomesWeighed is over how many of a server's latest runs failures are weighed:
	// a server runs two or three tasks at once, so this spans about three rounds.
	outcomesWeighed = 8
	// ejectAfter is how many failures beyond what others show eject a server.
	ejectAfter = 2.5
	// slowEjectAfter is the base 2 logarithm of how much longer than others a server may
	// take, over about its last five runs, as slownessDecay weighs them. Within a queue
	// run times differ by two fifths, by which that mean is off by 0.3.
	slowEjectAfter = 1.2
	slownessDecay  = 0.3
	// ratioLimit keeps a single run, whose start may have been late, from ejecting a
	// server by itself.
	ratioLimit = 2.5
)

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	health := assessor.DefaultSettings()
	health.Window = outcomesWeighed
	health.EjectAt = ejectAfter
	health.SlowEjectAt = slowEjectAfter
	health.SlownessDecay = slownessDecay
	health.RatioLimit = ratioLimit
	health.RampUp = 0
	return Settings{
		Lease:          defaultLease,
		StopTime:       defaultStopTime,
		HoldRetry:      defaultRetry,
		StopRetry:      defaultRetry,
		OrphanWait:     defaultOrphanWait,
		ForgetServer:   defaultForgetServer,
		ForgetJob:      defaultForgetJob,
		CloseTime:      defaultCloseTime,
		NoticeInterval: defaultNoticeInterval,
		NoticeAge:      defaultNoticeAge,
		WayElsewhere:   defaultWayElsewhere,
		Health:         health,
	}
}
