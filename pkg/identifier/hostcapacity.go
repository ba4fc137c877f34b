package identifier

import (
	"math"
	"strconv"
	"strings"
)

// Bounds of a plausible host. An amount outside them has a wrong unit or a wrong sign.
const (
	minHostProcessor   MilliCPU      = 1
	maxHostProcessor   MilliCPU      = 1_024_000
	minHostMemory      Bytes         = 1 << 20
	maxHostMemory      Bytes         = 64 << 40
	minHostDescriptors int           = 16
	maxHostDescriptors int           = 1 << 30
	minHostLink        BitsPerSecond = 1_000
	maxHostLink        BitsPerSecond = 10_000_000_000_000
)

// AmountRange is an amount of a HostCapacity with the bounds that it must be within.
type AmountRange struct {
	// Name is the amount's key in the settings.
	Name               string
	Value, Least, Most int64
}

// Plausible reports whether the amount is not stated or within its bounds.
func (amountRange AmountRange) Plausible() bool {
	return amountRange.Value == 0 || (amountRange.Value >= amountRange.Least && amountRange.Value <= amountRange.Most)
}

// Amounts lists the amounts of the capacity with their bounds.
func (hostCapacity HostCapacity) Amounts() []AmountRange {
	return []AmountRange{
		{"processor", int64(hostCapacity.MilliCPU), int64(minHostProcessor), int64(maxHostProcessor)},
		{"memory", int64(hostCapacity.Memory), int64(minHostMemory), int64(maxHostMemory)},
		{"descriptors", int64(hostCapacity.Descriptors), int64(minHostDescriptors), int64(maxHostDescriptors)},
		{"link", int64(hostCapacity.Link), int64(minHostLink), int64(maxHostLink)},
	}
}

// OrUnknown returns the capacity if all its amounts are plausible, and one that states nothing
// otherwise.
func (hostCapacity HostCapacity) OrUnknown() HostCapacity {
	for _, amount := range hostCapacity.Amounts() {
		if !amount.Plausible() {
			return HostCapacity{}
		}
	}
	return hostCapacity
}

// String lists the stated amounts, such as "0.48cpu,424MiB,10250fd,62Mbit/s", or "-" if there are none.
func (hostCapacity HostCapacity) String() string {
	var stated []string
	add := func(amount float64, unit string) {
		if amount != 0 {
			stated = append(stated, strconv.FormatFloat(amount, 'f', -1, 64)+unit)
		}
	}
	add(float64(hostCapacity.MilliCPU)/1e3, "cpu")
	add(math.Round(float64(hostCapacity.Memory)/(1<<20)), "MiB")
	add(float64(hostCapacity.Descriptors), "fd")
	add(float64(hostCapacity.Link)/1e6, "Mbit/s")
	if len(stated) == 0 {
		return "-"
	}
	return strings.Join(stated, ",")
}
