package integration_test

import (
	"fmt"
	"testing"
	"time"
)

// TestKeeperLeaderKilled. Symptom: an accepted configuration is lost or goes back
// (rows 19, 20 and 22). Sequence: changes are accepted; the keeper that leads is
// killed right after it has acknowledged one, and started again on its data
// folder; then the next leader; changes go on all the time. Cause guarded
// against: an acknowledgement before a quorum has synced, and a restarted host
// that serves an older version than it had.
func TestKeeperLeaderKilled(t *testing.T) {
	cluster := startCluster(t)
	watcher := startWatcher(cluster)
	operator := &operator{name: "anke", cluster: cluster}
	for round := range 3 {
		for number := range 5 {
			if _, accepted := operator.change(number, patience); !accepted {
				t.Fatalf("round %d: change %d was not accepted", round, number)
			}
		}
		leader, err := cluster.keeperLeader()
		if err != nil {
			t.Fatal(err)
		}
		killed := cluster.daemon(t, leader)
		killed.kill()
		took, accepted := operator.change(1, patience)
		if !accepted {
			t.Fatalf("round %d: no change was accepted after the leader's loss", round)
		}
		t.Logf("leader %s lost, next change accepted after %s", leader, took.Round(time.Millisecond))
		killed.start(t)
		eventually(t, killed.name+" is a keeper again", func() error {
			status, err := killed.status()
			if err == nil && (status.Keeper == nil || uint64(status.Keeper.Version) < operator.accepted) {
				err = fmt.Errorf("its keeper has not caught up")
			}
			return err
		})
	}
	operator.judge(t)
	watcher.judge(t)
}
