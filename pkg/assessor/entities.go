package assessor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// server is the health record of one backend server.
type server struct {
	id          identifier.BackendServerID
	incarnation uint64
	slots       identifier.Slots
	state       state
	// rampUpEndsAt is when the uptime of the server's process reaches Settings.RampUp.
	rampUpEndsAt identifier.Moment
	// rampLimit bounds the allowance of a server that is new or being probed. Each
	// success raises it by one, so that it doubles with each round of tasks.
	rampLimit identifier.Slots
	// announcedSlots is the allowance in the last AllowanceChanged; -1 before the first.
	announcedSlots identifier.Slots
	// tallies count the outcomes of the server's latest tasks by origin.
	tallies []tally
	// slowness is the moving average of the base 2 logarithm of observed over expected
	// run time. It is valid once hasRunTimes is set; see slownessOf.
	slowness    float64
	hasRunTimes bool
	// ejectWait is how long the next ejection lasts.
	ejectWait time.Duration
}

// slownessTotal sums the slowness of the servers that have observed run times.
type slownessTotal struct {
	sum     float64
	servers int
}

// tally counts the outcomes of one origin's tasks on one server. The counts decay
// with every task that the server ends.
type tally struct {
	origin *origin
	ended  float64
	failed float64
}

// origin sums the tallies of all servers for one origin.
type origin struct {
	key    Origin
	ended  float64
	failed float64
	// runTime is the moving average of the base 2 logarithm of run times in seconds.
	// It is valid once hasRunTime is set.
	runTime    float64
	hasRunTime bool
	// references counts the tallies that point here. An origin without any is dropped.
	references int
}
