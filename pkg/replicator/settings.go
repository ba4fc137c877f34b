package replicator

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// PerMille is a share in thousandths.
type PerMille int

// Settings tune a Replicator. All keepers of one log must use the same
// ElectionTimeout and ClockDriftBound: the leader lease rests on them.
type Settings struct {
	// HeartbeatInterval is the time between a leader's heartbeats when idle.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a keeper refuses to vote after it heard from a
	// leader. It campaigns after this time and up to half as much again.
	ElectionTimeout time.Duration
	// ClockDriftBound is the largest rate error of any keeper's monotonic clock
	// that the leader lease survives.
	ClockDriftBound PerMille
	// MaxBatchEntries bounds the entries of one append message.
	MaxBatchEntries int
	// MaxBatchBytes bounds the data of one append message; a single larger entry
	// travels alone.
	MaxBatchBytes identifier.Bytes
	// MaxEntryBytes bounds the data of one proposal.
	MaxEntryBytes identifier.Bytes
	// MaxInFlightEntries bounds the entries sent to a keeper and not acknowledged.
	MaxInFlightEntries int
	// MaxUncommittedEntries bounds the entries that a leader takes before it
	// refuses proposals as overloaded.
	MaxUncommittedEntries int
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery int
	// EntriesKeptBehindSnapshot stay in memory for keepers that lag a little, so
	// that they need no snapshot.
	EntriesKeptBehindSnapshot int
	// SnapshotChunkBytes bounds the data of one snapshot message.
	SnapshotChunkBytes identifier.Bytes
	// MinCopies is how many voters must hold an entry before it is committed, beyond a
	// majority; one more than the disks that may be lost at once. Zero asks for a
	// majority alone.
	MinCopies int
}

// DefaultSettings suit keepers about 1 ms apart with syncs of several
// milliseconds: a lost leader is replaced within two seconds.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatInterval:         250 * time.Millisecond,
		ElectionTimeout:           time.Second,
		ClockDriftBound:           20,
		MaxBatchEntries:           1024,
		MaxBatchBytes:             256 << 10,
		MaxEntryBytes:             1 << 20,
		MaxInFlightEntries:        8192,
		MaxUncommittedEntries:     32768,
		SnapshotEvery:             10000,
		EntriesKeptBehindSnapshot: 1000,
		SnapshotChunkBytes:        64 << 10,
	}
}

// Validate returns an *Error of kind ErrorInvalidSettings if the settings cannot
// work together.
func (settings Settings) Validate() error {
	if settings.HeartbeatInterval <= 0 {
		return invalidSettings("heartbeat interval must be positive")
	}
	if settings.ElectionTimeout < 3*settings.HeartbeatInterval {
		return invalidSettings("election timeout must span at least three heartbeat intervals")
	}
	if settings.ClockDriftBound < 0 || settings.ClockDriftBound > 200 {
		return invalidSettings("clock drift bound must lie between 0 and 200 per mille")
	}
	counts := []int{settings.MaxBatchEntries, settings.MaxInFlightEntries, settings.MaxUncommittedEntries, settings.SnapshotEvery}
	for _, count := range counts {
		if count <= 0 {
			return invalidSettings("entry bounds must be positive")
		}
	}
	sizes := []identifier.Bytes{settings.MaxBatchBytes, settings.MaxEntryBytes, settings.SnapshotChunkBytes}
	for _, size := range sizes {
		if size <= 0 {
			return invalidSettings("byte bounds must be positive")
		}
	}
	if settings.EntriesKeptBehindSnapshot < 0 {
		return invalidSettings("entries kept behind a snapshot must not be negative")
	}
	return nil
}

// leaseDuration is how long the leader may rely on one round of heartbeats, on its
// own clock. A voter refuses votes for ElectionTimeout on its clock, which may run
// fast, while the leader's may run slow; each is off by ClockDriftBound at most.
func (settings Settings) leaseDuration() time.Duration {
	drift := time.Duration(settings.ClockDriftBound)
	return settings.ElectionTimeout * (1000 - drift) / (1000 + drift)
}

func invalidSettings(reason string) error {
	return &Error{Operation: "validate settings", Kind: ErrorInvalidSettings, Err: eris.New(reason)}
}
