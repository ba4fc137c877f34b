package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// healthRecoveryInterval is the time without late ticks after which healthScore drops by one.
// Counting answered probes instead would lower it too soon: a busy host gets most of its answers,
// only late.
const healthRecoveryInterval = 5 * time.Second

// recordLateness counts late ticks in healthScore. A host whose processor is busy would mistake its
// own delay for missing answers and report healthy hosts as dead. Longer timeouts let it wait in
// proportion to its own lateness.
func (gossiper *Gossiper) recordLateness(late bool) {
	switch {
	case late:
		gossiper.healthScore = min(gossiper.healthScore+1, gossiper.Settings.MaximumHealthScore)
	case gossiper.healthScore > 0 && gossiper.nextHealthRecovery.Due(gossiper.now):
		gossiper.healthScore--
	default:
		return
	}
	gossiper.nextHealthRecovery = gossiper.now.Add(healthRecoveryInterval)
}

// scaledDeadline returns when a wait of the duration ends, extended by this host's health score.
func (gossiper *Gossiper) scaledDeadline(duration time.Duration) identifier.Moment {
	return gossiper.now.Add(duration * time.Duration(1+gossiper.healthScore))
}

// randomMoment returns a random moment within the next interval.
func (gossiper *Gossiper) randomMoment(interval time.Duration) identifier.Moment {
	if interval <= 0 {
		return gossiper.now
	}
	return gossiper.now.Add(time.Duration(gossiper.random.Int64N(int64(interval))))
}

// jitteredMoment returns a moment one interval ahead, up to an eighth earlier or later, so that the
// probes of different hosts do not synchronize.
func (gossiper *Gossiper) jitteredMoment(interval time.Duration) identifier.Moment {
	eighth := interval / 8
	if eighth <= 0 {
		return gossiper.now.Add(interval)
	}
	return gossiper.now.Add(interval - eighth + time.Duration(gossiper.random.Int64N(int64(2*eighth))))
}

// maximumExtraTimeouts bounds the extra timeouts that a slow member gets per probe, and
// extraTimeoutsDuration how long it gets them after its last refutation.
const (
	maximumExtraTimeouts  = 2
	extraTimeoutsDuration = time.Minute
)

// extendProbeTimeout makes this host wait longer for a member that just refuted a suspicion. A
// member whose processor is busy answers late each time. Without the extension every probe would
// raise a new suspicion, and every suspicion and refutation goes to all hosts.
func (gossiper *Gossiper) extendProbeTimeout(entity *memberEntity) {
	if entity.extraTimeoutsEnd.Due(gossiper.now) {
		entity.extraTimeouts = 0
	}
	entity.extraTimeouts = min(entity.extraTimeouts+1, maximumExtraTimeouts)
	entity.extraTimeoutsEnd = gossiper.now.Add(extraTimeoutsDuration)
}

// probeDeadline returns when a probe of the member times out.
func (gossiper *Gossiper) probeDeadline(entity *memberEntity, timeout time.Duration) identifier.Moment {
	if entity != nil && !entity.extraTimeoutsEnd.Due(gossiper.now) {
		timeout *= time.Duration(1 + entity.extraTimeouts)
	}
	return gossiper.scaledDeadline(timeout)
}
