package configurer_test

import (
	"bytes"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Guards against a keeper that runs out of memory when it writes a snapshot, since it retains a
// thousand large configurations.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	register := configurer.Register{HistoryBound: 4, HistoryBytes: 100, ResultBound: 10}
	for number, test := range []struct{ size, retained int }{
		{10, 1}, {10, 2}, {10, 3}, {10, 4}, {10, 4}, {60, 4}, {40, 2}, {70, 1}, {30, 2}, {500, 1}, {10, 1}, {10, 2},
	} {
		register.Apply(&configurer.Change{
			Request: identifier.RequestID(rune('a' + number)), Revision: identifier.ConfigRevision(number + 1), Document: bytes.Repeat([]byte{'x'}, test.size),
		})
		versions := register.History()
		if len(versions) != test.retained || versions[len(versions)-1].Revision != identifier.ConfigRevision(number+1) {
			t.Errorf("after change %d: %d versions retained, want %d", number+1, len(versions), test.retained)
		}
	}
}
