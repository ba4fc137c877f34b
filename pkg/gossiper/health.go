package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// healthRecovers is how long without late ticks winds the count of them down by
// one. Answered probes would wind it down too soon: a busy host gets most of its
// answers, only late.
const healthRecovers = 5 * time.Second

// noteLateness counts late ticks. A host whose processor is busy would take its
// own delay for the silence of others and report healthy hosts as dead; stretched
// timeouts let it wait as long as it is itself late.
func (gossiper *Gossiper) noteLateness(late bool) {
	switch {
	case late:
		gossiper.localHealth = min(gossiper.localHealth+1, gossiper.Settings.MaximumLocalHealth)
	case gossiper.localHealth > 0 && gossiper.healthRecovery.Due(gossiper.now):
		gossiper.localHealth--
	default:
		return
	}
	gossiper.healthRecovery = gossiper.now.Add(healthRecovers)
}

// stretched returns the moment at which a wait of duration ends on this host.
func (gossiper *Gossiper) stretched(duration time.Duration) identifier.Moment {
	return gossiper.now.Add(duration * time.Duration(1+gossiper.localHealth))
}

// spread returns a moment within the coming interval.
func (gossiper *Gossiper) spread(interval time.Duration) identifier.Moment {
	if interval <= 0 {
		return gossiper.now
	}
	return gossiper.now.Add(time.Duration(gossiper.random.Int64N(int64(interval))))
}

// jittered returns a moment one interval ahead, an eighth earlier or later, so
// that the probes of different hosts do not fall into step.
func (gossiper *Gossiper) jittered(interval time.Duration) identifier.Moment {
	eighth := interval / 8
	if eighth <= 0 {
		return gossiper.now.Add(interval)
	}
	return gossiper.now.Add(interval - eighth + time.Duration(gossiper.random.Int64N(int64(2*eighth))))
}

// maximumPatience bounds how far the probes of a slow member are stretched, and
// patienceLasts how long after its last refutation.
const (
	maximumPatience = 2
	patienceLasts   = time.Minute
)

// growPatience makes this host wait longer for a member that just refuted a
// suspicion. A member whose processor is busy answers late each time; without
// this it would be suspected again with every probe, and every suspicion and
// refutation goes to all hosts.
func (gossiper *Gossiper) growPatience(entity *memberEntity) {
	if entity.patienceEnds.Due(gossiper.now) {
		entity.patience = 0
	}
	entity.patience = min(entity.patience+1, maximumPatience)
	entity.patienceEnds = gossiper.now.Add(patienceLasts)
}

// probeDeadline returns when a probe of the member has waited long enough.
func (gossiper *Gossiper) probeDeadline(entity *memberEntity, timeout time.Duration) identifier.Moment {
	if entity != nil && !entity.patienceEnds.Due(gossiper.now) {
		timeout *= time.Duration(1 + entity.patience)
	}
	return gossiper.stretched(timeout)
}
