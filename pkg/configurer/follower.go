package configurer

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// FollowerSettings holds the timeouts of a Follower.
type FollowerSettings struct {
	// FetchTimeout is how long to wait for a document before it is requested from
	// another host.
	FetchTimeout time.Duration
	// DiscoveryTimeout is how long a starting host waits to learn the version in force in its
	// failure domain before it reports that there is none.
	DiscoveryTimeout time.Duration
}

// DefaultFollowerSettings returns the default settings of the daemon.
func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{FetchTimeout: 500 * time.Millisecond, DiscoveryTimeout: 2 * time.Second}
}

// Input is a message or event that Tick applies.
type Input interface{ isConfigurerInput() }

// Output is a message or event that the owner of the follower delivers.
type Output interface{ isConfigurerOutput() }

// VersionAnnounced reports that a host has a version.
type VersionAnnounced struct {
	Host    identifier.HostID
	Version identifier.ConfigVersion
}

// VersionFetched delivers a version with its document, from another host or the local keeper.
type VersionFetched struct {
	// From is the other host, or empty.
	From    identifier.HostID
	Version Version
}

// VersionRequested is another host's request for the version in force here.
type VersionRequested struct{ From identifier.HostID }

// Fetch requests from a host the version that it has.
type Fetch struct{ From identifier.HostID }

// Serve sends the version in force here.
type Serve struct {
	To      identifier.HostID
	Version Version
}

// InForce reports that a version is in force on this host from now on.
type InForce struct{ Version Version }

func (*VersionAnnounced) isConfigurerInput() {}
func (*VersionFetched) isConfigurerInput()   {}
func (*VersionRequested) isConfigurerInput() {}
func (*Fetch) isConfigurerOutput()           {}
func (*Serve) isConfigurerOutput()           {}
func (*InForce) isConfigurerOutput()         {}

// Follower holds the version in force on one host. When other hosts announce a newer version
// number, it fetches the document from one of them. A document older than the one in force is
// dropped, whoever sends it. Set the exported fields before the first Tick.
type Follower struct {
	Settings FollowerSettings
	// StartedAt is when this host started.
	StartedAt identifier.Moment

	now     identifier.Moment
	inForce Version
	// newest is the highest version number that any host has announced.
	newest identifier.ConfigVersion
	// sources are the hosts that have announced the newest version.
	sources []identifier.HostID
	// announced holds the last version that each host has announced while it was newer than the one in
	// force here.
	announced *tabulator.Table[identifier.HostID, identifier.ConfigVersion]
	// attempts is the number of fetches of the newest version so far.
	attempts int
	// source is the host that got the last request.
	source identifier.HostID
	// unanswered holds, for each host that has not answered since, when it was first asked.
	unanswered map[identifier.HostID]identifier.Moment
	timers     *tabulator.Timers[struct{}]
	outputs    []Output
}

// Version returns the number of the version in force here, or 0 before the first.
func (follower *Follower) Version() identifier.ConfigVersion { return follower.inForce.Version }

// InForce returns the configuration in force here; its version is 0 before the first.
func (follower *Follower) InForce() Version { return follower.inForce }

// KnowsVersion reports whether this host knows which version is in force. A recently started host
// that hasn't learned of any version doesn't: reporting "none" would look as if the
// configuration had been rolled back to the state before the first version.
func (follower *Follower) KnowsVersion(now identifier.Moment) bool {
	return follower.inForce.Version > 0 || now.Sub(follower.StartedAt) >= follower.Settings.DiscoveryTimeout
}

// Tick applies the inputs, handles expired deadlines and returns the messages to send.
func (follower *Follower) Tick(now identifier.Moment, inputs []Input) []Output {
	follower.now = now
	if follower.timers == nil {
		follower.timers = tabulator.NewTimers[struct{}]()
		follower.announced = tabulator.New[identifier.HostID, identifier.ConfigVersion]()
		follower.unanswered = make(map[identifier.HostID]identifier.Moment)
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

// NextDeadline returns when Tick must run next even without inputs, or identifier.Never.
func (follower *Follower) NextDeadline() identifier.Moment {
	if follower.timers == nil {
		return identifier.Never
	}
	return follower.timers.Next()
}

func (follower *Follower) apply(input Input) {
	switch input := input.(type) {
	case *VersionAnnounced:
		follower.handleVersionAnnounced(input)
	case *VersionFetched:
		delete(follower.unanswered, input.From)
		follower.adopt(input.Version)
	case *VersionRequested:
		if follower.inForce.Version > 0 {
			follower.outputs = append(follower.outputs, &Serve{To: input.From, Version: follower.inForce})
		}
	}
}

// handleVersionAnnounced records which host has a newer version and fetches it at once.
func (follower *Follower) handleVersionAnnounced(input *VersionAnnounced) {
	if input.Version <= follower.inForce.Version {
		return
	}
	follower.announced.Put(input.Host, &input.Version)
	if input.Version < follower.newest {
		if follower.silent(follower.source) && !follower.silent(input.Host) {
			follower.fetch()
		}
		return
	}
	if input.Version > follower.newest {
		follower.newest = input.Version
		follower.sources = nil
		follower.attempts = 0
	}
	if !slices.Contains(follower.sources, input.Host) {
		follower.sources = append(follower.sources, input.Host)
	}
	if follower.attempts == 0 || follower.silent(follower.source) && !follower.silent(input.Host) {
		follower.fetch()
	}
}

// silent reports whether a host has left a request unanswered for longer than the timeout.
func (follower *Follower) silent(host identifier.HostID) bool {
	asked, waiting := follower.unanswered[host]
	return waiting && follower.now.Sub(asked) >= follower.Settings.FetchTimeout
}

// nextSource returns the source whose turn it is. Silent ones come last: each new version starts the
// turns anew, so that they could otherwise be asked first for ever. While all are silent, a host that
// has announced another version, newer than the one in force, comes before them.
func (follower *Follower) nextSource() identifier.HostID {
	for turn := range follower.sources {
		host := follower.sources[(follower.attempts+turn)%len(follower.sources)]
		if !follower.silent(host) {
			return host
		}
	}
	for _, host := range follower.announced.Keys() {
		if *follower.announced.Get(host) > follower.inForce.Version && !follower.silent(host) {
			return host
		}
	}
	return follower.sources[follower.attempts%len(follower.sources)]
}

// fetch requests the newest version from the next host that has it. The host that got the
// previous request may have died before it answered.
func (follower *Follower) fetch() {
	if follower.newest <= follower.inForce.Version || len(follower.sources) == 0 {
		return
	}
	follower.source = follower.nextSource()
	follower.attempts++
	if _, waiting := follower.unanswered[follower.source]; !waiting {
		follower.unanswered[follower.source] = follower.now
	}
	follower.outputs = append(follower.outputs, &Fetch{From: follower.source})
	follower.timers.Set(struct{}{}, follower.now.Add(follower.Settings.FetchTimeout))
}

// adopt puts a newer version in force. An older one must never return: teams would run under
// quotas that an operator has withdrawn.
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
