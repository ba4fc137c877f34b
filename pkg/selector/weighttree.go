package selector

// weightTree is a binary indexed tree (Fenwick tree) of weights. Changing a weight and
// finding the position of a drawn point both take logarithmic time.
type weightTree struct {
	tree    []int
	weights []int
	total   int
}

// set changes the weight at position, growing the tree where needed.
func (weightTree *weightTree) set(position, weight int) {
	for len(weightTree.weights) <= position {
		weightTree.grow()
	}
	change := weight - weightTree.weights[position]
	weightTree.weights[position] = weight
	weightTree.total += change
	for index := position + 1; index < len(weightTree.tree); index += index & -index {
		weightTree.tree[index] += change
	}
}

// grow doubles the capacity and rebuilds the tree.
func (weightTree *weightTree) grow() {
	size := max(16, 2*len(weightTree.weights))
	weights := make([]int, size)
	copy(weights, weightTree.weights)
	weightTree.weights = weights
	weightTree.tree = make([]int, size+1)
	for position, weight := range weights {
		for index := position + 1; index < len(weightTree.tree); index += index & -index {
			weightTree.tree[index] += weight
		}
	}
}

// find returns the position whose range of cumulative weights contains point, where
// 0 <= point < total.
func (weightTree *weightTree) find(point int) int {
	position := 0
	step := 1
	for step*2 < len(weightTree.tree) {
		step *= 2
	}
	for ; step > 0; step /= 2 {
		next := position + step
		if next < len(weightTree.tree) && weightTree.tree[next] <= point {
			position = next
			point -= weightTree.tree[next]
		}
	}
	return position
}
