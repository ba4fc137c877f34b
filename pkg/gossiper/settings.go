package gossiper

import "time"

// Settings are the intervals and bounds of the gossiper. docs/dev/MEMBERSHIP.md lists the detection
// times and costs of the defaults.
type Settings struct {
	// LocalProbeInterval is the time between probes of the own failure domain.
	LocalProbeInterval time.Duration
	// RemoteProbeInterval is the time between probes of other failure domains.
	RemoteProbeInterval time.Duration
	// ProbeTimeout is the wait for an answer, once for the direct probe and once more for the
	// indirect ones.
	ProbeTimeout time.Duration
	// HintedProbeTimeout is the wait for an answer to the probe after a closed connection.
	HintedProbeTimeout time.Duration
	// IndirectProbes is how many peers are requested to probe on this host's behalf.
	IndirectProbes int
	// LocalSuspicionTimeout and RemoteSuspicionTimeout are how long a suspect of the own failure
	// domain or of another one has to refute.
	LocalSuspicionTimeout  time.Duration
	RemoteSuspicionTimeout time.Duration
	// SuspectProbeInterval is the time between pings that notify a suspect of the suspicion.
	SuspectProbeInterval time.Duration
	// UpdateInterval is how long fresh updates are collected into one message.
	UpdateInterval time.Duration
	// RemoteFanout is the number of hosts of other failure domains to which the first host of a
	// failure domain that knows an update sends it at once.
	RemoteFanout int
	// PiggybackCopies is how often a host adds an update to probes and answers that go to other
	// failure domains.
	PiggybackCopies int
	// PiggybackUpdates bounds the updates in one probe or answer, and MessageUpdates those in any
	// other message.
	PiggybackUpdates int
	MessageUpdates   int
	// SyncInterval is the minimum time between comparisons of the whole state for up to SyncMembers
	// hosts. Above that it grows with the number of hosts, so that the bytes per second do not.
	SyncInterval time.Duration
	SyncMembers  int
	// JoinInterval is the time between attempts to reach seeds at the start.
	JoinInterval time.Duration
	// LostProbeInterval is the time between pings of lost members and seeds.
	LostProbeInterval time.Duration
	// ForgetAfter is how long a member is kept after it died or left.
	ForgetAfter time.Duration
	// LateTolerance is how late a tick may be before it raises this host's health score, by which
	// the timeouts of probes and suspicions are extended. MaximumHealthScore bounds the score; 0
	// is healthy.
	LateTolerance      time.Duration
	MaximumHealthScore int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		LocalProbeInterval:     200 * time.Millisecond,
		RemoteProbeInterval:    time.Second,
		ProbeTimeout:           200 * time.Millisecond,
		HintedProbeTimeout:     100 * time.Millisecond,
		IndirectProbes:         2,
		LocalSuspicionTimeout:  600 * time.Millisecond,
		RemoteSuspicionTimeout: 2 * time.Second,
		SuspectProbeInterval:   100 * time.Millisecond,
		UpdateInterval:         50 * time.Millisecond,
		RemoteFanout:           3,
		PiggybackCopies:        1,
		PiggybackUpdates:       16,
		MessageUpdates:         128,
		SyncInterval:           5 * time.Second,
		SyncMembers:            50,
		JoinInterval:           250 * time.Millisecond,
		LostProbeInterval:      2 * time.Second,
		ForgetAfter:            6 * time.Hour,
		LateTolerance:          50 * time.Millisecond,
		MaximumHealthScore:     4,
	}
}
