package tabulator_test

import (
	"slices"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// filled returns a table of the numbers up to count.
func filled(count int) *tabulator.Table[int, int] {
	table := tabulator.New[int, int]()
	for number := range count {
		table.Put(number, &number)
	}
	return table
}

// TestEachVisitsWhatIsLeft removes and puts entities while a table is walked: what was
// removed before its turn is not visited, what was put is not either, whether the rows
// move meanwhile or not.
func TestEachVisitsWhatIsLeft(t *testing.T) {
	// With 200 of 300 rows removed, the rows that are left move together.
	for _, removed := range []int{10, 200} {
		table := filled(300)
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
			t.Errorf("%d removed: left are %v", removed, got)
		}
	}
}

// TestEachStopsAtFalse ends a walk early, before and after rows have moved.
func TestEachStopsAtFalse(t *testing.T) {
	table := filled(300)
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
		t.Errorf("the walk ended at %d, want 255", last)
	}
}
