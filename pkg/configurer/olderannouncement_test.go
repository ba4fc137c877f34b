package configurer_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Guards against a host that stays on an old version because the only host that announced the newest one
// can't be reached: others announce one that is older and still newer than its own, and are not asked.
func TestOlderAnnouncementsAreFetchedWhileTheNewestIsOutOfReach(t *testing.T) {
	follower := &configurer.Follower{Settings: configurer.DefaultFollowerSettings()}
	asked := make(map[identifier.HostID]int)
	for now := identifier.Moment(0); now < identifier.Moment(30*time.Second); now = now.Add(100 * time.Millisecond) {
		var inputs []configurer.Input
		if now == 0 {
			inputs = append(inputs, &configurer.VersionAnnounced{Host: "cut-off", Version: 3})
		}
		inputs = append(inputs, &configurer.VersionAnnounced{Host: "reachable", Version: 2})
		for _, output := range follower.Tick(now, inputs) {
			fetch, isFetch := output.(*configurer.Fetch)
			if !isFetch {
				continue
			}
			asked[fetch.From]++
			if fetch.From == "reachable" {
				follower.Tick(now, []configurer.Input{&configurer.VersionFetched{From: "reachable", Version: configurer.Version{Version: 2}}})
			}
		}
	}
	if follower.Version() != 2 {
		t.Errorf("version %d is in force after 30 s, asked %v", follower.Version(), asked)
	}
}
