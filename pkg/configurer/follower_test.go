package configurer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// applyBound is within how much time after its acceptance a version must be in force.
const applyBound = 2 * time.Second

// TestSilentSourcesDoNotHoldUpAHost guards against a host that never gets a new configuration while
// changes follow one another: the hosts that announce each version first are out of its reach, and
// each new version made it wait for them once more.
func TestSilentSourcesDoNotHoldUpAHost(t *testing.T) {
	for _, silent := range []int{0, 1, 2} {
		for _, interval := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprint(silent, " silent, a change each ", interval), func(t *testing.T) {
				follower := &configurer.Follower{Settings: configurer.DefaultFollowerSettings()}
				world := followedWorld{follower: follower, silent: silent, interval: interval}
				world.play(t, 30*time.Second)
			})
		}
	}
}

// followedWorld plays a follower and three hosts that announce each version 5 ms after one another,
// of which the first ones answer nothing.
type followedWorld struct {
	follower *configurer.Follower
	silent   int
	interval time.Duration
	now      identifier.Moment
	answers  []answer
}

type answer struct {
	at      identifier.Moment
	fetched configurer.VersionFetched
}

const (
	announcers  = 3
	answerDelay = 30 * time.Millisecond
)

func (world *followedWorld) play(t *testing.T, length time.Duration) {
	t.Helper()
	for ; world.now < identifier.Moment(length); world.now = world.now.Add(5 * time.Millisecond) {
		elapsed := time.Duration(world.now)
		var inputs []configurer.Input
		for index := range announcers {
			if since := elapsed - time.Duration(index)*5*time.Millisecond; since >= 0 && since%world.interval == 0 {
				inputs = append(inputs, &configurer.VersionAnnounced{Host: announcer(index), Version: world.versionAt(since)})
			}
		}
		for len(world.answers) > 0 && world.answers[0].at <= world.now {
			inputs = append(inputs, &world.answers[0].fetched)
			world.answers = world.answers[1:]
		}
		before := world.follower.Version()
		world.carryOut(world.follower.Tick(world.now, inputs))
		if version := world.follower.Version(); version < before {
			t.Fatalf("%v: version %d after %d", elapsed, version, before)
		}
		if elapsed < applyBound {
			continue
		}
		if want := world.versionAt(elapsed - applyBound); world.follower.Version() < want {
			t.Fatalf("%v: version %d, want %d at least", elapsed, world.follower.Version(), want)
		}
	}
}

func (world *followedWorld) carryOut(outputs []configurer.Output) {
	for _, output := range outputs {
		fetch, isFetch := output.(*configurer.Fetch)
		if !isFetch {
			continue
		}
		for index := world.silent; index < announcers; index++ {
			if announcer(index) == fetch.From {
				version := configurer.Version{Version: world.versionAt(time.Duration(world.now))}
				world.answers = append(world.answers, answer{world.now.Add(answerDelay), configurer.VersionFetched{From: fetch.From, Version: version}})
			}
		}
	}
}

// versionAt returns the version that was the newest at a time.
func (world *followedWorld) versionAt(elapsed time.Duration) identifier.ConfigVersion {
	return identifier.ConfigVersion(elapsed/world.interval) + 1
}

func announcer(index int) identifier.HostID {
	return identifier.HostID(fmt.Sprint("keeper-", index))
}
