package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func (gossiper *Gossiper) suspicionTimeout(entity *memberEntity) time.Duration {
	if gossiper.isLocal(entity) {
		return gossiper.Settings.LocalSuspicionTimeout
	}
	return gossiper.Settings.RemoteSuspicionTimeout
}

// startSuspicion sets the time by which a suspect must have refuted.
func (gossiper *Gossiper) startSuspicion(entity *memberEntity) {
	if entity.state.Status != StatusSuspect {
		return
	}
	entity.suspicionExtended = false
	entity.suspicionStarted = gossiper.now
	entity.suspicionEnds = gossiper.scaledDeadline(gossiper.suspicionTimeout(entity))
	gossiper.nextSuspicion = min(gossiper.nextSuspicion, entity.suspicionEnds)
}

// suspect raises a suspicion because this host's own probe failed.
func (gossiper *Gossiper) suspect(host identifier.HostID) {
	entity := gossiper.members.Get(host)
	if entity == nil || !entity.state.Living() {
		return
	}
	if entity.state.Status == StatusAlive {
		state := entity.state
		state.Status = StatusSuspect
		gossiper.applyState(entity, state)
		gossiper.enqueueRumor(memberRumor(host), originated)
		gossiper.probeSuspectDomain(entity)
	}
	entity.ownProbeFailed = true
	entity.nextPing = gossiper.now
	gossiper.nextSuspicion = gossiper.now
}

// probeSuspectDomain probes the other hosts of a suspect's failure domain at once. The infrequent
// probes from outside would otherwise detect the loss or isolation of a whole failure domain only
// host by host.
func (gossiper *Gossiper) probeSuspectDomain(suspect *memberEntity) {
	if gossiper.isLocal(suspect) {
		return
	}
	for _, host := range gossiper.aliveHosts(false) {
		domain := gossiper.members.Get(host).state.Member.FailureDomain
		if domain == suspect.state.Member.FailureDomain && !gossiper.isProbing(host) {
			gossiper.startProbe(host, phaseDirect)
		}
	}
}

func (gossiper *Gossiper) declareDead(host identifier.HostID) {
	entity := gossiper.members.Get(host)
	if entity == nil || !entity.state.Living() {
		return
	}
	state := entity.state
	state.Status = StatusDead
	gossiper.applyState(entity, state)
	gossiper.enqueueRumor(memberRumor(host), originated)
}

// expireSuspicions declares suspects dead that did not refute in time, and goes on pinging the
// others to notify them of the suspicion.
func (gossiper *Gossiper) expireSuspicions(late bool) {
	if !gossiper.nextSuspicion.Due(gossiper.now) {
		return
	}
	gossiper.nextSuspicion = identifier.Never
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.state.Status != StatusSuspect {
			return true
		}
		if entity.suspicionEnds.Due(gossiper.now) && late && !entity.suspicionExtended {
			entity.suspicionExtended = true
			entity.suspicionEnds = gossiper.scaledDeadline(gossiper.suspicionTimeout(entity))
		}
		if entity.suspicionEnds.Due(gossiper.now) {
			gossiper.declareDead(host)
			return true
		}
		gossiper.nextSuspicion = min(gossiper.nextSuspicion, entity.suspicionEnds)
		if entity.ownProbeFailed {
			gossiper.pingSuspect(host, entity)
			gossiper.nextSuspicion = min(gossiper.nextSuspicion, entity.nextPing)
		}
		return true
	})
}

func (gossiper *Gossiper) pingSuspect(host identifier.HostID, entity *memberEntity) {
	if !entity.nextPing.Due(gossiper.now) {
		return
	}
	entity.nextPing = gossiper.now.Add(gossiper.Settings.SuspectProbeInterval)
	gossiper.sequence++
	gossiper.send(host, Message{
		Kind: MessagePing, Sequence: gossiper.sequence, Digest: gossiper.digest,
		States: []State{gossiper.self().state, entity.state},
	})
}
