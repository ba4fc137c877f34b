package tabulator_test

import (
	"slices"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// newNumberTable returns a table that maps each number from 0 to count-1 to itself.
func newNumberTable(count int) *tabulator.Table[int, int] {
	table := tabulator.New[int, int]()
	for number := range count {
		table.Put(number, &number)
	}
	return table
}

// TestEachVisitsWhatIsLeft guards against Each visiting entities that were removed before
// their turn or were added during the iteration, with and without a compaction meanwhile.
func TestEachVisitsWhatIsLeft(t *testing.T) {
	// Removing 200 of 300 rows compacts the table; removing 10 doesn't.
	for _, removed := range []int{10, 200} {
		table := newNumberTable(300)
		var visited []int
		table.Each(func(key int, value *int) bool {
			visited = append(visited, *value)
			if key == 20 {
				for gone := 50; gone < 50+removed; gone++ {
					table.Remove(gone)
				}
				added := 1000
				table.Put(added, &added)
			}
			return true
		})
		var want []int
		for number := range 300 {
			if number < 50 || number >= 50+removed {
				want = append(want, number)
			}
		}
		if !slices.Equal(visited, want) {
			t.Errorf("%d removed: visited %v, want %v", removed, visited, want)
		}
		if got := table.Keys(); !slices.Equal(got, append(want, 1000)) {
			t.Errorf("%d removed: remaining keys are %v", removed, got)
		}
	}
}

// TestEachStopsAtFalse guards against an Each that goes on after visit returned false, when
// a compaction has moved the rows meanwhile.
func TestEachStopsAtFalse(t *testing.T) {
	table := newNumberTable(300)
	last := 0
	table.Each(func(key int, _ *int) bool {
		last = key
		if key == 20 {
			for gone := 50; gone < 250; gone++ {
				table.Remove(gone)
			}
		}
		return key < 255
	})
	if last != 255 {
		t.Errorf("the iteration ended at %d, want 255", last)
	}
}
