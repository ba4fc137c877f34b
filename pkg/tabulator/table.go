// Package tabulator holds the generic table in which deciding packages keep
// their entities. Rows stand in insertion order, so that systems which run over
// a table see the same order on every run with the same inputs.
package tabulator

// Table maps keys to entities and iterates over them in insertion order.
// The zero value is not usable; construct it with New.
type Table[K comparable, V any] struct {
	positions map[K]int
	rows      []row[K, V]
	removed   int
	// compactions counts how often rows have moved.
	compactions int
}

type row[K comparable, V any] struct {
	key   K
	value *V
}

// compactionFloor is the number of removed rows below which a table is not
// compacted, so that small tables do not copy themselves on every removal.
const compactionFloor = 64

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{positions: make(map[K]int)}
}

// Get returns the entity under key, or nil.
func (table *Table[K, V]) Get(key K) *V {
	position, found := table.positions[key]
	if !found {
		return nil
	}
	return table.rows[position].value
}

// Put stores value under key. A key that is already there keeps its place.
func (table *Table[K, V]) Put(key K, value *V) {
	if position, found := table.positions[key]; found {
		table.rows[position].value = value
		return
	}
	table.positions[key] = len(table.rows)
	table.rows = append(table.rows, row[K, V]{key: key, value: value})
}

// Remove deletes the entity under key and tells whether there was one.
func (table *Table[K, V]) Remove(key K) bool {
	position, found := table.positions[key]
	if !found {
		return false
	}
	delete(table.positions, key)
	table.rows[position].value = nil
	table.removed++
	table.compactIfSparse()
	return true
}

// Len returns the number of entities.
func (table *Table[K, V]) Len() int { return len(table.positions) }

// Each calls visit for every entity in insertion order until it returns false.
// The visitor may remove entities, the current one included; entities that it
// puts are not visited.
//
// While rows keep their places, they tell themselves whether they were removed. With a
// look into the map for each row a lead that places 1,000 tasks a second on 88 backend
// servers took 9.8 ms of processor time a second, without it 7.5 ms (BenchmarkLead).
func (table *Table[K, V]) Each(visit func(key K, value *V) bool) {
	rows := table.rows
	compactions := table.compactions
	for position := range rows {
		if table.compactions != compactions {
			table.eachLeft(rows[position:], visit)
			return
		}
		current := table.rows[position]
		if current.value != nil && !visit(current.key, current.value) {
			return
		}
	}
}

// eachLeft goes on over rows whose entities have moved meanwhile or were removed.
func (table *Table[K, V]) eachLeft(rows []row[K, V], visit func(key K, value *V) bool) {
	for _, current := range rows {
		if current.value == nil || table.Get(current.key) != current.value {
			continue
		}
		if !visit(current.key, current.value) {
			return
		}
	}
}

// Keys returns the keys in insertion order.
func (table *Table[K, V]) Keys() []K {
	keys := make([]K, 0, table.Len())
	for _, current := range table.rows {
		if current.value != nil {
			keys = append(keys, current.key)
		}
	}
	return keys
}

// compactIfSparse drops removed rows once they are the majority. It builds a new
// slice, so that an Each that is under way keeps iterating over the old one.
func (table *Table[K, V]) compactIfSparse() {
	if table.removed < compactionFloor || table.removed*2 < len(table.rows) {
		return
	}
	kept := make([]row[K, V], 0, table.Len())
	for _, current := range table.rows {
		if current.value == nil {
			continue
		}
		table.positions[current.key] = len(kept)
		kept = append(kept, current)
	}
	table.rows = kept
	table.removed = 0
	table.compactions++
}
