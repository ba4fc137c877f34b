package tracer

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Deployment is the first line of a trace: the hosts and the network that the
// events refer to.
type Deployment struct {
	Head
	FailureDomains             []identifier.FailureDomain
	EntryHostsPerFailureDomain int
	ExecutorsPerFailureDomain  int
	// Slots and Connections are counts per executor.
	Slots       identifier.Slots
	Connections int
	// OneWayDelay is the one-way network delay between failure domains; ClientOneWayDelay is
	// the one between a caller and an entry host.
	OneWayDelay       time.Duration
	ClientOneWayDelay time.Duration
	// SyncDuration is how long one synced write takes.
	SyncDuration time.Duration
	Seed         uint64
}

// Executor returns the id of an executor by its number within the failure
// domain; numbers start at 0.
func Executor(domain identifier.FailureDomain, number int) identifier.BackendServerID {
	return identifier.BackendServerID(fmt.Sprintf("%s-%d", domain, number))
}

// EntryHost returns the id of an entry host by its number within the failure
// domain; numbers start at 0.
func EntryHost(domain identifier.FailureDomain, number int) identifier.HostID {
	return identifier.HostID(fmt.Sprintf("%s-entry-%d", domain, number))
}

// TotalSlots returns the total number of slots of all executors.
func (deployment *Deployment) TotalSlots() identifier.Slots {
	executors := len(deployment.FailureDomains) * deployment.ExecutorsPerFailureDomain
	return identifier.Slots(executors) * deployment.Slots
}

func (deployment *Deployment) read(reader *fieldReader) {
	deployment.At = reader.moment("at")
	deployment.FailureDomains = readNames[identifier.FailureDomain](reader, "failure-domains")
	deployment.EntryHostsPerFailureDomain = reader.count("entry-hosts-per-failure-domain")
	deployment.ExecutorsPerFailureDomain = reader.count("executors-per-failure-domain")
	deployment.Slots = identifier.Slots(reader.count("slots"))
	deployment.Connections = reader.count("connections")
	deployment.OneWayDelay = reader.duration("one-way")
	deployment.ClientOneWayDelay = reader.duration("client-one-way")
	deployment.SyncDuration = reader.duration("sync")
	deployment.Seed = reader.unsigned("seed")
}

func (deployment *Deployment) write(writer *fieldWriter) {
	writeNames(writer, "failure-domains", deployment.FailureDomains)
	writer.count("entry-hosts-per-failure-domain", deployment.EntryHostsPerFailureDomain)
	writer.count("executors-per-failure-domain", deployment.ExecutorsPerFailureDomain)
	writer.count("slots", int(deployment.Slots))
	writer.count("connections", deployment.Connections)
	writer.duration("one-way", deployment.OneWayDelay)
	writer.duration("client-one-way", deployment.ClientOneWayDelay)
	writer.duration("sync", deployment.SyncDuration)
	writer.unsigned("seed", deployment.Seed)
}
