package configurer

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// FollowerSettings says how versions spread.
type FollowerSettings struct {
	// FetchTimeout is how long a document is waited for before another host is
	// asked.
	FetchTimeout time.Duration
	// Settle is how long a starting host waits to hear of the version in force in
	// its failure domain before it says that there is none.
	Settle time.Duration
}

// DefaultFollowerSettings returns the settings that the daemon starts from.
func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{FetchTimeout: 500 * time.Millisecond, Settle: 2 * time.Second}
}

// Input is a message or event that Tick applies.
type Input interface{ isConfigurerInput() }

// Output is a message that the owner of the follower sends on.
type Output interface{ isConfigurerOutput() }

// VersionSeen tells that a host has a version.
type VersionSeen struct {
	Host    identifier.HostID
	Version identifier.ConfigVersion
}

// VersionFetched brings a document, from another host or from the own keeper.
type VersionFetched struct{ Version Version }

// VersionRequested asks for the version in force here.
type VersionRequested struct{ From identifier.HostID }

// Fetch asks a host for the version that it has.
type Fetch struct{ From identifier.HostID }

// Serve sends the version in force here.
type Serve struct {
	To      identifier.HostID
	Version Version
}

// InForce tells that a version is in force on this host from now on.
type InForce struct{ Version Version }

func (*VersionSeen) isConfigurerInput()      {}
func (*VersionFetched) isConfigurerInput()   {}
func (*VersionRequested) isConfigurerInput() {}
func (*Fetch) isConfigurerOutput()           {}
func (*Serve) isConfigurerOutput()           {}
func (*InForce) isConfigurerOutput()         {}

// Follower holds the version in force on one host. A version number that other
// hosts announce is fetched from one of them; an older document than the one in
// force is dropped, whoever sends it. Set the exported fields before the first
// Tick.
type Follower struct {
	Settings FollowerSettings
	// StartedAt is when this host started.
	StartedAt identifier.Moment

	now     identifier.Moment
	inForce Version
	// newest is the highest version that any host has announced.
	newest identifier.ConfigVersion
	// sources are the hosts that have announced the newest version.
	sources []identifier.HostID
	asked   int
	timers  *tabulator.Timers[struct{}]
	outputs []Output
}

// Version returns the version in force here.
func (follower *Follower) Version() identifier.ConfigVersion { return follower.inForce.Version }

// InForce returns the configuration in force here; its version is 0 before the
// first.
func (follower *Follower) InForce() Version { return follower.inForce }

// Known tells whether this host knows what is in force. One that has just started
// and heard of no version yet does not: to say "none" would look as if the
// configuration had gone back to before the first.
func (follower *Follower) Known(now identifier.Moment) bool {
	return follower.inForce.Version > 0 || now.Sub(follower.StartedAt) >= follower.Settings.Settle
}

// Tick applies the inputs, lets deadlines fall due and returns what to send.
func (follower *Follower) Tick(now identifier.Moment, inputs []Input) []Output {
	follower.now = now
	if follower.timers == nil {
		follower.timers = tabulator.NewTimers[struct{}]()
	}
	for _, input := range inputs {
		follower.apply(input)
	}
	if _, due := follower.timers.PopDue(now); due {
		follower.fetch()
	}
	outputs := follower.outputs
	follower.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (follower *Follower) NextDeadline() identifier.Moment {
	if follower.timers == nil {
		return identifier.Never
	}
	return follower.timers.Next()
}

func (follower *Follower) apply(input Input) {
	switch input := input.(type) {
	case *VersionSeen:
		follower.see(input)
	case *VersionFetched:
		follower.adopt(input.Version)
	case *VersionRequested:
		if follower.inForce.Version > 0 {
			follower.outputs = append(follower.outputs, &Serve{To: input.From, Version: follower.inForce})
		}
	}
}

// see notes who has a newer version, and asks for it at once.
func (follower *Follower) see(input *VersionSeen) {
	if input.Version <= follower.inForce.Version || input.Version < follower.newest {
		return
	}
	if input.Version > follower.newest {
		follower.newest = input.Version
		follower.sources = nil
		follower.asked = 0
	}
	if !slices.Contains(follower.sources, input.Host) {
		follower.sources = append(follower.sources, input.Host)
	}
	if follower.asked == 0 {
		follower.fetch()
	}
}

// fetch asks the next host that has the newest version. One that was asked
// before may have died with the request.
func (follower *Follower) fetch() {
	if follower.newest <= follower.inForce.Version || len(follower.sources) == 0 {
		return
	}
	source := follower.sources[follower.asked%len(follower.sources)]
	follower.asked++
	follower.outputs = append(follower.outputs, &Fetch{From: source})
	follower.timers.Set(struct{}{}, follower.now.Add(follower.Settings.FetchTimeout))
}

// adopt puts a newer version in force. An older one must never come back: teams
// would run under quotas that an operator has withdrawn.
func (follower *Follower) adopt(version Version) {
	if version.Version <= follower.inForce.Version {
		return
	}
	follower.inForce = version
	follower.outputs = append(follower.outputs, &InForce{Version: version})
	if follower.newest <= version.Version {
		follower.timers.Clear(struct{}{})
	}
}
