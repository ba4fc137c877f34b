package loader

import "github.com/stoathitch/stoathitch/pkg/identifier"

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

// HostCapacity returns the capacity as it is told to the other hosts.
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
