package selector

// sums is a binary indexed tree of weights: changing one weight and finding the
// position of a drawn point both cost logarithmic time.
type sums struct {
	tree    []int
	weights []int
	total   int
}

// set changes the weight at position, growing the tree where needed.
func (sums *sums) set(position, weight int) {
	for len(sums.weights) <= position {
		sums.grow()
	}
	change := weight - sums.weights[position]
	sums.weights[position] = weight
	sums.total += change
	for index := position + 1; index < len(sums.tree); index += index & -index {
		sums.tree[index] += change
	}
}

// grow doubles the room and rebuilds the tree.
func (sums *sums) grow() {
	size := max(16, 2*len(sums.weights))
	weights := make([]int, size)
	copy(weights, sums.weights)
	sums.weights = weights
	sums.tree = make([]int, size+1)
	for position, weight := range weights {
		for index := position + 1; index < len(sums.tree); index += index & -index {
			sums.tree[index] += weight
		}
	}
}

// find returns the position in whose weight point falls; 0 <= point < total.
func (sums *sums) find(point int) int {
	position := 0
	step := 1
	for step*2 < len(sums.tree) {
		step *= 2
	}
	for ; step > 0; step /= 2 {
		next := position + step
		if next < len(sums.tree) && sums.tree[next] <= point {
			position = next
			point -= sums.tree[next]
		}
	}
	return position
}
