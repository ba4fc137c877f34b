package integration_test

import (
	"fmt"
	"testing"
)

// TestConfigurationSurvivesWithoutKeepers. Symptom: a restarted host serves under
// an older configuration (row 22). Sequence: a change is in force everywhere; every
// keeper and every other host of a failure domain is killed; the last one is killed
// too and started again, alone. Cause guarded against: a version that only others
// could tell.
func TestConfigurationSurvivesWithoutKeepers(t *testing.T) {
	cluster := startCluster(t)
	operator := &operator{name: "anke", cluster: cluster}
	for number := range 3 {
		if _, accepted := operator.change(number, patience); !accepted {
			t.Fatal("a change was not accepted")
		}
	}
	cluster.awaitVersion(t, operator.accepted)
	for _, daemon := range cluster.daemons {
		daemon.kill()
	}
	alone := cluster.daemonsOf("tan-binh")[2]
	alone.start(t)
	eventually(t, "it knows the version", func() error {
		seen, err := alone.configuration()
		if err != nil {
			return err
		}
		if seen.Version != operator.accepted && seen.Document != nil {
			t.Fatalf("it says version %d, %d was in force", seen.Version, operator.accepted)
		}
		if seen.Version != operator.accepted {
			return fmt.Errorf("not known yet")
		}
		return nil
	})
}
