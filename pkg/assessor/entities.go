package assessor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// server is the record of one backend server.
type server struct {
	id          identifier.BackendServerID
	incarnation uint64
	slots       identifier.Slots
	state       state
	// seasonedAt is when the server's process is old enough to be used in full.
	seasonedAt identifier.Moment
	// ramp bounds the allowance while the server proves itself; each success
	// raises it by one, so that it doubles with each round of tasks.
	ramp identifier.Slots
	// told is the allowance that was last told.
	told identifier.Slots
	// shares are the outcomes of its latest tasks by origin.
	shares []share
	// slowness is the decayed base 2 logarithm of observed over expected run time;
	// timed tells that there was one. See slownessOf.
	slowness float64
	timed    bool
	// ejectWait is how long the next ejection lasts.
	ejectWait time.Duration
}

// slownessTotal sums the slowness of the servers that have run times.
type slownessTotal struct {
	sum     float64
	servers int
}

// share is what one server has shown with the tasks of one origin, decayed with
// each of the server's tasks.
type share struct {
	origin *origin
	ended  float64
	failed float64
}

// origin sums the shares of all servers.
type origin struct {
	key    Origin
	ended  float64
	failed float64
	// runTime is the decayed mean of the base 2 logarithm of run times; known
	// tells that there was one.
	runTime float64
	known   bool
	// holders counts the shares that point here; an origin without any is dropped.
	holders int
}
