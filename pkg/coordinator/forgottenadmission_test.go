package coordinator_test

import (
	"testing"
	"time"
)

// Symptom: no configuration can be read or changed any more.
// Sequence: a keeper loses its disk and joins again, and its disk refuses the file that remembers that.
// Much later all processes are killed, and another keeper loses its disk.
// Cause: the first keeper holds the whole log and joins again all the same, the second one joins too, and
// the third alone elects nobody who could add them.
func TestForgottenAdmissionAndALostDisk(t *testing.T) {
	for _, forgets := range []bool{false, true} {
		network := newKeeperNetwork(t)
		acknowledged := network.proposeAcknowledged(network.hosts[0], 1, 0)
		rejoined := network.hosts[1]
		network.wipe(rejoined)
		network.advance(20 * time.Second)
		if rejoined.joinsKeepers {
			t.Fatal("the keeper has not joined")
		}
		acknowledged = network.proposeAcknowledged(network.hosts[0], 2, acknowledged)
		network.advance(20 * time.Second)
		if acknowledged != 2 {
			t.Fatal("the change is not acknowledged")
		}
		rejoined.joinsKeepers = forgets
		network.losePower(network.hosts[2])
		network.advance(60 * time.Second)
		network.expectRecovery(t, acknowledged)
	}
}
