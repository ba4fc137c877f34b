package placer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// nothing is the value of a position that no need fits.
var nothing = identifier.Resources{MilliCPU: -1, Memory: -1, Accelerators: -1}

// maxTree is a binary tree over positions. Each node holds the largest amount of
// each resource below it, so that the next position with enough room is found in
// a number of steps that grows with the logarithm of the number of positions.
type maxTree struct {
	size  int
	nodes []identifier.Resources
}

// set stores the room at a position.
func (tree *maxTree) set(position int, room identifier.Resources) {
	tree.grow(position + 1)
	node := tree.size + position
	tree.nodes[node] = room
	for node /= 2; node >= 1; node /= 2 {
		higher := tree.nodes[2*node].Max(tree.nodes[2*node+1])
		if higher == tree.nodes[node] {
			return
		}
		tree.nodes[node] = higher
	}
}

// next returns the first position from from on with room for need that accept
// agrees to, or -1.
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
	former := *tree
	tree.size = max(1, former.size)
	for tree.size < count {
		tree.size *= 2
	}
	tree.nodes = make([]identifier.Resources, 2*tree.size)
	for node := range tree.nodes {
		tree.nodes[node] = nothing
	}
	copy(tree.nodes[tree.size:], former.nodes[former.size:])
	for node := tree.size - 1; node >= 1; node-- {
		tree.nodes[node] = tree.nodes[2*node].Max(tree.nodes[2*node+1])
	}
}
