package identifier

// Accelerators counts whole accelerators.
type Accelerators int

// Resources is an amount of what a worker offers or a task needs.
type Resources struct {
	MilliCPU     MilliCPU     `cbor:"1,keyasint,omitempty" json:"milli-cpu"`
	Memory       Bytes        `cbor:"2,keyasint,omitempty" json:"memory-bytes"`
	Accelerators Accelerators `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// Add returns the sum of both.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU + other.MilliCPU,
		Memory:       resources.Memory + other.Memory,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Sub returns what is left after other is taken; it may be negative.
func (resources Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU - other.MilliCPU,
		Memory:       resources.Memory - other.Memory,
		Accelerators: resources.Accelerators - other.Accelerators,
	}
}

// Times returns count times resources.
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

// Fits tells whether resources fits into room in every resource.
func (resources Resources) Fits(room Resources) bool {
	return resources.MilliCPU <= room.MilliCPU &&
		resources.Memory <= room.Memory &&
		resources.Accelerators <= room.Accelerators
}

// CountIn returns how many times resources fits into room. An amount that needs
// nothing fits no counted number of times and returns zero.
func (resources Resources) CountIn(room Resources) int {
	count := -1
	count = countOne(count, int64(resources.MilliCPU), int64(room.MilliCPU))
	count = countOne(count, int64(resources.Memory), int64(room.Memory))
	count = countOne(count, int64(resources.Accelerators), int64(room.Accelerators))
	return max(count, 0)
}

// countOne narrows count by one resource; a count below zero is not yet bounded.
func countOne(count int, need, room int64) int {
	if need <= 0 {
		return count
	}
	fits := int(max(room, 0) / need)
	if count < 0 {
		return fits
	}
	return min(count, fits)
}
