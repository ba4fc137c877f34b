package allocator_test

import "testing"

// TestServerStartsAgain guards against facts about one incarnation of a server being applied to the
// next one under its id: order of heartbeats, drain, ends, runs, capacity, and which of the two is
// there.
func TestServerStartsAgain(t *testing.T) { runScenarios(t, "testdata/lives") }
