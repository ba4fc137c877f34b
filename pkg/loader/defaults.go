package loader

import "time"

// Defaults returns the value of every key that a settings file may leave out.
func Defaults() Settings {
	return Settings{
		Roles: []Role{RoleEntry},
		Log:   Log{Level: LogLevelInfo},
		Limits: Limits{
			RequestBody:   16 << 20,
			RequestHeader: 64 << 10,
			Payload:       1 << 20,
			TasksPerJob:   1000,
			QueuedTasks:   100_000,
			QueuedPayload: 256 << 20,
			JobsInMemory:  200_000,
		},
		Timeouts: Timeouts{
			UnknownTaskWait:   Duration(10 * time.Second),
			AnswerRetention:   Duration(5 * time.Minute),
			ClaimRetention:    Duration(24 * time.Hour),
			HeartbeatInterval: Duration(500 * time.Millisecond),
			HeartbeatMissed:   4,
			ShutdownDeadline:  Duration(30 * time.Second),
			HeaderTimeout:     Duration(5 * time.Second),
			BodyTimeout:       Duration(30 * time.Second),
			IdleTimeout:       Duration(2 * time.Minute),
		},
		Connections: Connections{
			PerListener:       16_384,
			Streams:           16,
			Message:           64 << 20,
			KeepaliveInterval: Duration(10 * time.Second),
			KeepaliveTimeout:  Duration(5 * time.Second),
			HandshakeTimeout:  Duration(10 * time.Second),
		},
		Dispatch: Dispatch{
			Policy:              PolicyCellLead,
			Cells:               1,
			RetryBudgetRatio:    0.1,
			SpillMargin:         Duration(5 * time.Millisecond),
			EjectionFractionMax: 0.34,
			EjectionFailures:    5,
			EjectionTime:        Duration(2 * time.Second),
		},
	}
}

// DefaultHost returns the value of the keys that an entry of `hosts` may leave out.
func DefaultHost() Host { return Host{Roles: []Role{RoleEntry}} }

// DefaultTeam returns the value of the keys that an entry of `teams` may leave out.
func DefaultTeam() Team { return Team{Weight: 1} }

// DefaultClass returns the value of the keys that an entry of `classes` may leave out.
func DefaultClass() Class { return Class{Weight: 1} }
