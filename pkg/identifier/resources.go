package identifier

// Accelerators counts whole accelerators.
type Accelerators int

// Resources are the amounts of each resource that a worker offers or a task needs.
type Resources struct {
	MilliCPU     MilliCPU     `cbor:"1,keyasint,omitempty" json:"milli-cpu"`
	Memory       Bytes        `cbor:"2,keyasint,omitempty" json:"memory-bytes"`
	Accelerators Accelerators `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// Add returns the sum of each resource.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU + other.MilliCPU,
		Memory:       resources.Memory + other.Memory,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Sub returns resources minus other; amounts may be negative.
func (resources Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU - other.MilliCPU,
		Memory:       resources.Memory - other.Memory,
		Accelerators: resources.Accelerators - other.Accelerators,
	}
}

// Times returns resources multiplied by count.
func (resources Resources) Times(count int) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU * MilliCPU(count),
		Memory:       resources.Memory * Bytes(count),
		Accelerators: resources.Accelerators * Accelerators(count),
	}
}

// Max returns the larger amount of each resource.
func (resources Resources) Max(other Resources) Resources {
	return Resources{
		MilliCPU:     max(resources.MilliCPU, other.MilliCPU),
		Memory:       max(resources.Memory, other.Memory),
		Accelerators: max(resources.Accelerators, other.Accelerators),
	}
}

// Min returns the smaller amount of each resource.
func (resources Resources) Min(other Resources) Resources {
	return Resources{
		MilliCPU:     min(resources.MilliCPU, other.MilliCPU),
		Memory:       min(resources.Memory, other.Memory),
		Accelerators: min(resources.Accelerators, other.Accelerators),
	}
}

// Fits reports whether capacity is sufficient in every resource.
func (resources Resources) Fits(capacity Resources) bool {
	return resources.MilliCPU <= capacity.MilliCPU &&
		resources.Memory <= capacity.Memory &&
		resources.Accelerators <= capacity.Accelerators
}

// CountIn returns how many times resources fits into capacity. It returns zero for
// resources that need nothing, since their count has no bound.
func (resources Resources) CountIn(capacity Resources) int {
	count := -1
	count = limitCount(count, int64(resources.MilliCPU), int64(capacity.MilliCPU))
	count = limitCount(count, int64(resources.Memory), int64(capacity.Memory))
	count = limitCount(count, int64(resources.Accelerators), int64(capacity.Accelerators))
	return max(count, 0)
}

// limitCount lowers count to what one resource allows; a count below zero is not yet bounded.
func limitCount(count int, need, capacity int64) int {
	if need <= 0 {
		return count
	}
	fits := int(max(capacity, 0) / need)
	if count < 0 {
		return fits
	}
	return min(count, fits)
}

// BitsPerSecond is the bandwidth of a network link.
type BitsPerSecond int64

// HostCapacity is what a host of the system has, as its own settings state it. A zero amount is not
// stated.
type HostCapacity struct {
	MilliCPU    MilliCPU      `cbor:"1,keyasint,omitempty" json:"milli-cpu,omitempty"`
	Memory      Bytes         `cbor:"2,keyasint,omitempty" json:"memory-bytes,omitempty"`
	Descriptors int           `cbor:"3,keyasint,omitempty" json:"descriptors,omitempty"`
	Link        BitsPerSecond `cbor:"4,keyasint,omitempty" json:"link-bits-per-second,omitempty"`
}

// Speed is how fast a backend server runs tasks, in thousandths of a usual server of its service.
// Zero is not known.
type Speed int32

// UsualSpeed is the speed of a usual server.
const UsualSpeed Speed = 1000
