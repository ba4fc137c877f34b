package queuer

// member is an element of an indexedHeap that stores its index in the heap.
type member[T any] interface {
	before(other T) bool
	index() int
	setIndex(index int)
}

// indexedHeap is a binary heap from which any member can be removed. It works like
// container/heap without the conversions to any.
type indexedHeap[T member[T]] struct{ members []T }

func (indexedHeap *indexedHeap[T]) push(added T) {
	indexedHeap.members = append(indexedHeap.members, added)
	added.setIndex(len(indexedHeap.members) - 1)
	indexedHeap.siftUp(len(indexedHeap.members) - 1)
}

func (indexedHeap *indexedHeap[T]) remove(removed T) {
	index := removed.index()
	last := len(indexedHeap.members) - 1
	indexedHeap.swap(index, last)
	var none T
	indexedHeap.members[last] = none
	indexedHeap.members = indexedHeap.members[:last]
	removed.setIndex(-1)
	if index < last {
		indexedHeap.fix(index)
	}
}

// fix restores the order after the member at place has changed.
func (indexedHeap *indexedHeap[T]) fix(index int) {
	if !indexedHeap.siftDown(index) {
		indexedHeap.siftUp(index)
	}
}

func (indexedHeap *indexedHeap[T]) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !indexedHeap.members[index].before(indexedHeap.members[parent]) {
			return
		}
		indexedHeap.swap(index, parent)
		index = parent
	}
}

func (indexedHeap *indexedHeap[T]) siftDown(index int) bool {
	start := index
	for {
		least := index
		for child := 2*index + 1; child <= 2*index+2 && child < len(indexedHeap.members); child++ {
			if indexedHeap.members[child].before(indexedHeap.members[least]) {
				least = child
			}
		}
		if least == index {
			return index > start
		}
		indexedHeap.swap(index, least)
		index = least
	}
}

func (indexedHeap *indexedHeap[T]) swap(first, second int) {
	if first == second {
		return
	}
	members := indexedHeap.members
	members[first], members[second] = members[second], members[first]
	members[first].setIndex(first)
	members[second].setIndex(second)
}
