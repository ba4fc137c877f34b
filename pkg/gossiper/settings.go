package gossiper

import "time"

// Settings are the intervals and bounds of the gossiper. DefaultSettings holds
// the values that docs/dev/MEMBERSHIP.md measures.
type Settings struct {
	// LocalProbeInterval is the time between probes of the own failure domain.
	LocalProbeInterval time.Duration
	// RemoteProbeInterval is the time between probes of other failure domains.
	RemoteProbeInterval time.Duration
	// ProbeTimeout is the wait for an answer, once for the direct probe and once
	// more for the indirect ones.
	ProbeTimeout time.Duration
	// HintedProbeTimeout is the wait for the re-check after a closed connection.
	HintedProbeTimeout time.Duration
	// IndirectProbes is how many peers are asked to probe on our behalf.
	IndirectProbes int
	// LocalSuspicionTimeout and RemoteSuspicionTimeout are how long a suspect of
	// the own or of another failure domain has to refute.
	LocalSuspicionTimeout  time.Duration
	RemoteSuspicionTimeout time.Duration
	// SuspectProbeInterval is the time between pings that tell a suspect of the
	// suspicion.
	SuspectProbeInterval time.Duration
	// UpdateInterval is how long fresh updates are gathered into one message.
	UpdateInterval time.Duration
	// RemoteFanout is how many hosts of other failure domains the first host of
	// a failure domain that knows an update tells at once.
	RemoteFanout int
	// PiggybackCopies is how often a host adds an update to probes and answers.
	PiggybackCopies int
	// PiggybackUpdates bounds the updates on one probe or answer, and
	// MessageUpdates those in any one message.
	PiggybackUpdates int
	MessageUpdates   int
	// SyncInterval is the least time between comparisons of the whole state, for
	// SyncMembers hosts or fewer; above that it grows with the number of hosts,
	// so that the bytes a second do not.
	SyncInterval time.Duration
	SyncMembers  int
	// JoinInterval is the time between attempts to reach seeds at the start.
	JoinInterval time.Duration
	// LostProbeInterval is the time between pings of lost members and seeds.
	LostProbeInterval time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration
	// LateTolerance is how late a tick may be before this host counts itself as
	// busy; MaximumLocalHealth bounds how far that stretches its timeouts.
	LateTolerance      time.Duration
	MaximumLocalHealth int
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
		MaximumLocalHealth:     4,
	}
}
