package replicator

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// PerMille is a fraction in thousandths.
type PerMille int

// Settings configure a Replicator. All keepers of one log must use the same ElectionTimeout
// and ClockDriftBound: the leader lease depends on them.
type Settings struct {
	// HeartbeatInterval is the time between an idle leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a keeper refuses to vote after a message from a leader. It
	// campaigns after this time plus a random part of up to half as much.
	ElectionTimeout time.Duration
	// ClockDriftBound is the largest rate error of any keeper's monotonic clock under which the
	// leader lease is safe.
	ClockDriftBound PerMille
	// MaxBatchEntries limits the entries of one append message.
	MaxBatchEntries int
	// MaxBatchBytes limits the data of one append message; a single larger entry is sent alone.
	MaxBatchBytes identifier.Bytes
	// MaxEntryBytes limits the data of one proposal.
	MaxEntryBytes identifier.Bytes
	// MaxInFlightEntries limits the entries sent to a keeper and not acknowledged yet.
	MaxInFlightEntries int
	// MaxInFlightBytes limits the data of the entries sent to a keeper and not acknowledged yet,
	// so that a keeper whose disk refuses writes does not collect entries in its memory. Nothing
	// more is sent once it is reached, so one batch may exceed it.
	MaxInFlightBytes identifier.Bytes
	// MaxUncommittedEntries limits the uncommitted entries of a leader; beyond it, the leader
	// refuses proposals as overloaded.
	MaxUncommittedEntries int
	// MaxUncommittedBytes limits the data of a leader's entries that are not committed or not on
	// its own disk; once it is reached, the leader refuses proposals as overloaded.
	MaxUncommittedBytes identifier.Bytes
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery int
	// SnapshotEveryBytes is the data of the applied entries after which a snapshot is due even
	// if they are fewer than SnapshotEvery: the log stays on disk and in memory until then.
	SnapshotEveryBytes identifier.Bytes
	// EntriesKeptBehindSnapshot is the number of entries before a snapshot that stay in memory,
	// so that keepers that lag a little need no snapshot.
	EntriesKeptBehindSnapshot int
	// BytesKeptBehindSnapshot limits the data of these entries.
	BytesKeptBehindSnapshot identifier.Bytes
	// SnapshotChunkBytes limits the data of one snapshot message.
	SnapshotChunkBytes identifier.Bytes
	// MinCopies is the minimum number of voters that must hold an entry before it is committed,
	// if a majority is smaller: one more than the disks that may be lost at once. Zero requires
	// a majority alone.
	MinCopies int
}

// DefaultSettings returns settings for keepers about 1 ms apart with syncs of several
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
		MaxInFlightBytes:          4 << 20,
		MaxUncommittedEntries:     32768,
		MaxUncommittedBytes:       8 << 20,
		SnapshotEvery:             10000,
		SnapshotEveryBytes:        8 << 20,
		EntriesKeptBehindSnapshot: 1000,
		BytesKeptBehindSnapshot:   4 << 20,
		SnapshotChunkBytes:        256 << 10,
	}
}

// Validate returns an *Error of kind ErrorInvalidSettings if a setting is out of bounds or
// contradicts another.
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
	sizes := []identifier.Bytes{
		settings.MaxBatchBytes, settings.MaxEntryBytes, settings.MaxInFlightBytes, settings.MaxUncommittedBytes,
		settings.SnapshotEveryBytes, settings.SnapshotChunkBytes,
	}
	for _, size := range sizes {
		if size <= 0 {
			return invalidSettings("byte bounds must be positive")
		}
	}
	if settings.EntriesKeptBehindSnapshot < 0 || settings.BytesKeptBehindSnapshot < 0 {
		return invalidSettings("entries kept behind a snapshot must not be negative")
	}
	return nil
}

// leaseDuration returns how long the leader may rely on one round of heartbeats, by its own
// clock. A voter refuses votes for ElectionTimeout by its clock, which may run fast, while
// the leader's may run slow; each is off by ClockDriftBound at most.
func (settings Settings) leaseDuration() time.Duration {
	drift := time.Duration(settings.ClockDriftBound)
	return settings.ElectionTimeout * (1000 - drift) / (1000 + drift)
}

func invalidSettings(reason string) error {
	return &Error{Operation: "validate settings", Kind: ErrorInvalidSettings, Err: eris.New(reason)}
}
