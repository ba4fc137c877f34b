package placer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// unavailable is the value of a vacant or unusable position; no need fits it.
var unavailable = identifier.Resources{MilliCPU: -1, Memory: -1, Accelerators: -1}

// maxTree is a binary tree over positions. Each node holds the maximum of each resource
// below it, so that the next position with enough resources is found in steps that grow with
// the logarithm of the number of positions.
type maxTree struct {
	size  int
	nodes []identifier.Resources
}

// set stores the resources of a position.
func (tree *maxTree) set(position int, resources identifier.Resources) {
	tree.grow(position + 1)
	node := tree.size + position
	tree.nodes[node] = resources
	for node /= 2; node >= 1; node /= 2 {
		higher := tree.nodes[2*node].Max(tree.nodes[2*node+1])
		if higher == tree.nodes[node] {
			return
		}
		tree.nodes[node] = higher
	}
}

// next returns the first position, searching from from, that fits need and that accept, if
// any, returns true for, or -1.
func (tree *maxTree) next(from int, need identifier.Resources, accept func(position int) bool) int {
	if tree.size == 0 {
		return -1
	}
	return tree.search(1, 0, tree.size, from, need, accept)
}

func (tree *maxTree) search(node, first, width, from int, need identifier.Resources, accept func(int) bool) int {
	if first+width <= from || !need.Fits(tree.nodes[node]) {
		return -1
	}
	if width == 1 {
		if accept == nil || accept(first) {
			return first
		}
		return -1
	}
	half := width / 2
	if found := tree.search(2*node, first, half, from, need, accept); found >= 0 {
		return found
	}
	return tree.search(2*node+1, first+half, half, from, need, accept)
}

func (tree *maxTree) grow(count int) {
	if count <= tree.size {
		return
	}
	previous := *tree
	tree.size = max(1, previous.size)
	for tree.size < count {
		tree.size *= 2
	}
	tree.nodes = make([]identifier.Resources, 2*tree.size)
	for node := range tree.nodes {
		tree.nodes[node] = unavailable
	}
	copy(tree.nodes[tree.size:], previous.nodes[previous.size:])
	for node := tree.size - 1; node >= 1; node-- {
		tree.nodes[node] = tree.nodes[2*node].Max(tree.nodes[2*node+1])
	}
}
