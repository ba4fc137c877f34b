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
	entity.graced = false
	entity.suspicionStarted = gossiper.now
	entity.suspicionEnds = gossiper.stretched(gossiper.suspicionTimeout(entity))
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
		gossiper.change(entity, state)
		gossiper.tell(memberRumor(host), originated)
		gossiper.probeNeighbours(entity)
	}
	entity.raised = true
	entity.nextPing = gossiper.now
	gossiper.nextSuspicion = gossiper.now
}

// probeNeighbours probes the other hosts of a suspect's failure domain at once.
// A failure domain that is lost or cut off as a whole would else be seen host by
// host, as the sparse probes from outside come to each.
func (gossiper *Gossiper) probeNeighbours(suspect *memberEntity) {
	if gossiper.isLocal(suspect) {
		return
	}
	for _, host := range gossiper.candidates(false) {
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
	gossiper.change(entity, state)
	gossiper.tell(memberRumor(host), originated)
}

// expireSuspicions declares suspects dead that did not refute, and goes on
// telling the others that they are suspected.
func (gossiper *Gossiper) expireSuspicions(late bool) {
	if !gossiper.nextSuspicion.Due(gossiper.now) {
		return
	}
	gossiper.nextSuspicion = identifier.Never
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.state.Status != StatusSuspect {
			return true
		}
		if entity.suspicionEnds.Due(gossiper.now) && late && !entity.graced {
			entity.graced = true
			entity.suspicionEnds = gossiper.stretched(gossiper.suspicionTimeout(entity))
		}
		if entity.suspicionEnds.Due(gossiper.now) {
			gossiper.declareDead(host)
			return true
		}
		gossiper.nextSuspicion = min(gossiper.nextSuspicion, entity.suspicionEnds)
		if entity.raised {
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
