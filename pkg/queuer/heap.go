package queuer

// member is an element of an ordered heap that knows its place in it.
type member[T any] interface {
	before(other T) bool
	place() int
	setPlace(place int)
}

// ordered is a binary heap whose members can be removed from the middle. It is
// container/heap without the conversions to any.
type ordered[T member[T]] struct{ members []T }

func (ordered *ordered[T]) push(added T) {
	ordered.members = append(ordered.members, added)
	added.setPlace(len(ordered.members) - 1)
	ordered.up(len(ordered.members) - 1)
}

func (ordered *ordered[T]) remove(removed T) {
	place := removed.place()
	last := len(ordered.members) - 1
	ordered.swap(place, last)
	var none T
	ordered.members[last] = none
	ordered.members = ordered.members[:last]
	removed.setPlace(-1)
	if place < last {
		ordered.fix(place)
	}
}

// fix restores the order after the member at place has changed.
func (ordered *ordered[T]) fix(place int) {
	if !ordered.down(place) {
		ordered.up(place)
	}
}

func (ordered *ordered[T]) up(place int) {
	for place > 0 {
		parent := (place - 1) / 2
		if !ordered.members[place].before(ordered.members[parent]) {
			return
		}
		ordered.swap(place, parent)
		place = parent
	}
}

func (ordered *ordered[T]) down(place int) bool {
	start := place
	for {
		least := place
		for child := 2*place + 1; child <= 2*place+2 && child < len(ordered.members); child++ {
			if ordered.members[child].before(ordered.members[least]) {
				least = child
			}
		}
		if least == place {
			return place > start
		}
		ordered.swap(place, least)
		place = least
	}
}

func (ordered *ordered[T]) swap(first, second int) {
	if first == second {
		return
	}
	members := ordered.members
	members[first], members[second] = members[second], members[first]
	members[first].setPlace(first)
	members[second].setPlace(second)
}
