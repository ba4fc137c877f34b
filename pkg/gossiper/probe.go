package gossiper

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

type probePhase uint8

const (
	phaseDirect probePhase = iota
	phaseIndirect
	// phaseHinted is the single probe after a closed connection.
	phaseHinted
)

// probe is an unanswered ping; the table's key is its sequence.
type probe struct {
	target   identifier.HostID
	phase    probePhase
	deadline identifier.Moment
	extended bool
}

// relay is a ping that was sent on another host's behalf.
type relay struct {
	requester identifier.HostID
	sequence  uint64
	target    identifier.HostID
	deadline  identifier.Moment
}

// probeLocal probes the own failure domain. Every second probe goes to the successor in the ring, so
// that each host is certain to be probed by its predecessor. The others go to all hosts in turn, so
// that two neighbours that fail together are detected too.
func (gossiper *Gossiper) probeLocal() {
	if !gossiper.nextLocalProbe.Due(gossiper.now) {
		return
	}
	gossiper.nextLocalProbe = gossiper.jitteredMoment(gossiper.Settings.LocalProbeInterval)
	gossiper.localProbeCount++
	if gossiper.localProbeCount%2 == 0 {
		gossiper.startProbe(gossiper.successor(), phaseDirect)
		return
	}
	gossiper.startProbe(gossiper.nextProbeTarget(&gossiper.localProbeOrder, true), phaseDirect)
}

func (gossiper *Gossiper) probeRemote() {
	if !gossiper.nextRemoteProbe.Due(gossiper.now) {
		return
	}
	gossiper.nextRemoteProbe = gossiper.jitteredMoment(gossiper.Settings.RemoteProbeInterval)
	gossiper.startProbe(gossiper.nextProbeTarget(&gossiper.remoteProbeOrder, false), phaseDirect)
}

// nextProbeTarget returns the next alive host of a shuffled round, or "" if there is none.
func (gossiper *Gossiper) nextProbeTarget(order *[]identifier.HostID, local bool) identifier.HostID {
	for range 2 {
		for len(*order) > 0 {
			host := (*order)[0]
			*order = (*order)[1:]
			entity := gossiper.members.Get(host)
			if entity != nil && entity.state.Status == StatusAlive {
				return host
			}
		}
		*order = gossiper.aliveHosts(local)
		gossiper.shuffle(*order)
	}
	return ""
}

func (gossiper *Gossiper) startProbe(target identifier.HostID, phase probePhase) {
	entity := gossiper.members.Get(target)
	if entity == nil {
		return
	}
	timeout := gossiper.Settings.ProbeTimeout
	if phase == phaseHinted {
		timeout = gossiper.Settings.HintedProbeTimeout
	}
	gossiper.sequence++
	gossiper.probes.Put(gossiper.sequence, &probe{
		target: target, phase: phase, deadline: gossiper.probeDeadline(entity, timeout),
	})
	gossiper.ping(target, gossiper.sequence, false)
}

// ping sends a ping, with this host's own state if includeSelf is set: a restarted host drops the
// ping of a host that it does not know, because it has no address to answer to.
func (gossiper *Gossiper) ping(target identifier.HostID, sequence uint64, includeSelf bool) {
	message := Message{Kind: MessagePing, Sequence: sequence, Digest: gossiper.digest}
	if includeSelf {
		message.States = append(message.States, gossiper.self().state)
	}
	gossiper.piggyback(&message, gossiper.isLocal(gossiper.members.Get(target)))
	gossiper.send(target, message)
}

// answerPing acknowledges a ping. A sender that is suspect or dead here, or has a conflicting
// description, gets its state, so that it can refute. A sender that included its own state or this
// host's gets this host's state.
func (gossiper *Gossiper) answerPing(message Message) {
	sender := gossiper.members.Get(message.From)
	if sender == nil {
		return
	}
	answer := Message{Kind: MessageAck, Sequence: message.Sequence, Digest: gossiper.digest}
	includeSelf := slices.ContainsFunc(message.States, func(state State) bool {
		return state.Member.Host == gossiper.Self.Host || state.Member.Host == message.From
	})
	if includeSelf {
		answer.States = append(answer.States, gossiper.self().state)
	}
	suspectedOrDead := sender.state.Status == StatusSuspect || sender.state.Status == StatusDead
	if suspectedOrDead || sender.conflicting {
		answer.States = append(answer.States, sender.state)
	}
	gossiper.piggyback(&answer, gossiper.isLocal(sender))
	gossiper.send(message.From, answer)
}

func (gossiper *Gossiper) handleAck(message Message) {
	if relayed := gossiper.relays.Get(message.Sequence); relayed != nil && relayed.target == message.From {
		gossiper.relays.Remove(message.Sequence)
		gossiper.send(relayed.requester, Message{
			Kind: MessageAck, Sequence: relayed.sequence, Target: message.From,
		})
		return
	}
	pending := gossiper.probes.Get(message.Sequence)
	if pending == nil || (pending.target != message.From && pending.target != message.Target) {
		return
	}
	gossiper.probes.Remove(message.Sequence)
	if pending.target == message.From {
		gossiper.compareDigest(message.From, message.Digest)
	}
}

func (gossiper *Gossiper) relayPing(message Message) {
	if gossiper.members.Get(message.Target) == nil {
		return
	}
	gossiper.sequence++
	gossiper.relays.Put(gossiper.sequence, &relay{
		requester: message.From,
		sequence:  message.Sequence,
		target:    message.Target,
		deadline:  gossiper.now.Add(2 * gossiper.Settings.ProbeTimeout),
	})
	gossiper.ping(message.Target, gossiper.sequence, false)
}

// expireProbes advances unanswered probes to their next phase. After a late tick each probe waits
// one more time, because the answer may still be in this host's own queue.
func (gossiper *Gossiper) expireProbes(late bool) {
	gossiper.probes.Each(func(sequence uint64, pending *probe) bool {
		if !pending.deadline.Due(gossiper.now) {
			return true
		}
		switch {
		case late && !pending.extended:
			pending.extended = true
			pending.deadline = gossiper.scaledDeadline(gossiper.Settings.ProbeTimeout)
		case pending.phase == phaseDirect:
			pending.phase = phaseIndirect
			pending.deadline = gossiper.probeDeadline(
				gossiper.members.Get(pending.target), gossiper.Settings.ProbeTimeout)
			gossiper.probeIndirectly(pending.target, sequence)
		case pending.phase == phaseIndirect:
			gossiper.probes.Remove(sequence)
			gossiper.suspect(pending.target)
		default:
			gossiper.probes.Remove(sequence)
			gossiper.declareDead(pending.target)
		}
		return true
	})
}

// probeIndirectly requests pings from peers, in case only the path from this host is broken, and
// pings once more itself, in case a message was lost.
func (gossiper *Gossiper) probeIndirectly(target identifier.HostID, sequence uint64) {
	entity := gossiper.members.Get(target)
	if entity == nil || !entity.state.Living() {
		return
	}
	helpers := gossiper.aliveHosts(gossiper.isLocal(entity))
	helpers = slices.DeleteFunc(helpers, func(host identifier.HostID) bool { return host == target })
	if len(helpers) < gossiper.Settings.IndirectProbes {
		helpers = append(helpers, gossiper.aliveHosts(!gossiper.isLocal(entity))...)
	}
	for _, helper := range gossiper.sample(helpers, gossiper.Settings.IndirectProbes) {
		gossiper.send(helper, Message{Kind: MessagePingRequest, Sequence: sequence, Target: target})
	}
	gossiper.ping(target, sequence, true)
}

func (gossiper *Gossiper) expireRelays() {
	gossiper.relays.Each(func(sequence uint64, relayed *relay) bool {
		if relayed.deadline.Due(gossiper.now) {
			gossiper.relays.Remove(sequence)
		}
		return true
	})
}

func (gossiper *Gossiper) isProbing(target identifier.HostID) bool {
	found := false
	gossiper.probes.Each(func(_ uint64, pending *probe) bool {
		found = pending.target == target
		return !found
	})
	return found
}

// dropProbes removes the probes of a host that has just proved alive. Those of an earlier process
// would otherwise count against the new one.
func (gossiper *Gossiper) dropProbes(target identifier.HostID) {
	gossiper.probes.Each(func(sequence uint64, pending *probe) bool {
		if pending.target == target {
			gossiper.probes.Remove(sequence)
		}
		return true
	})
}
