package loader

import "github.com/stoathitch/stoathitch/pkg/identifier"

const (
	// listenerDescriptorPart is the part of a host's descriptors that the connections of one address
	// may use: nearly all of them are callers' connections, on one address.
	listenerDescriptorPart = 2
	// waitingMemoryPart and recordMemoryPart are the parts of a host's memory that the bodies of
	// waiting jobs and the remembered jobs may use. The other half is for what runs.
	waitingMemoryPart = 4
	recordMemoryPart  = 4
	// recordBytes is the memory of a remembered job: 1,338 bytes with an answer of four tasks of 100
	// bytes (BenchmarkRecords in pkg/forwarder).
	recordBytes = 1338
	// minJobsInMemory keeps a host useful whose stated memory is very small.
	minJobsInMemory = 1000
)

// Capacity is what this host has. The other hosts learn it with the membership, and
// give the larger duties to the larger hosts. An amount that is left out is unknown.
type Capacity struct {
	// Processor is this host's share of processors, in thousandths of a core.
	Processor identifier.MilliCPU `json:"processor,omitzero"`

	// Memory is the memory of this host in bytes.
	Memory identifier.Bytes `json:"memory,omitzero"`

	// Descriptors is how many files and connections this host may have open.
	Descriptors int `json:"descriptors,omitzero"`

	// Link is the bandwidth of this host's network link in bits per second.
	Link identifier.BitsPerSecond `json:"link,omitzero"`
}

// HostCapacity returns the capacity as it is stated to the other hosts.
func (capacity Capacity) HostCapacity() identifier.HostCapacity {
	return identifier.HostCapacity{
		MilliCPU: capacity.Processor, Memory: capacity.Memory, Descriptors: capacity.Descriptors, Link: capacity.Link,
	}
}

// checkCapacity refuses amounts of a wrong sign or unit. The other hosts would take such a host for
// one of unknown capacity.
func (checker *checker) checkCapacity() {
	for _, amount := range checker.settings.Capacity.HostCapacity().Amounts() {
		if !amount.Plausible() {
			checker.reporter.add("capacity."+amount.Name, "%d is out of range; it must be from %d to %d, or left out if unknown",
				amount.Value, amount.Least, amount.Most)
		}
	}
}

// FitCapacity lowers the limits that this host could not keep with its stated capacity: the
// connections of an address, the bodies of waiting jobs, and the remembered jobs. Without a stated
// amount the limits stay.
func (settings *Settings) FitCapacity() {
	if descriptors := settings.Capacity.Descriptors; descriptors > 0 {
		lower(&settings.Connections.PerListener, max(descriptors/listenerDescriptorPart, minConnections))
	}
	if memory := settings.Capacity.Memory; memory > 0 {
		limits := &settings.Limits
		lower(&limits.QueuedPayload, max(memory/waitingMemoryPart, limits.Payload, limits.RequestBody))
		lower(&limits.JobsInMemory, max(int(memory/recordMemoryPart/recordBytes), minJobsInMemory))
	}
}

func lower[T int | identifier.Bytes](limit *T, most T) { *limit = min(*limit, most) }
