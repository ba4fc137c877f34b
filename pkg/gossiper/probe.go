package gossiper

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

type probePhase uint8

const (
	phaseDirect probePhase = iota
	phaseIndirect
	// phaseHinted is the one re-check after a closed connection.
	phaseHinted
)

// probe is a ping that is not answered yet; its key is the sequence.
type probe struct {
	target   identifier.HostID
	phase    probePhase
	deadline identifier.Moment
	graced   bool
}

// relay is a ping that was sent on another host's behalf.
type relay struct {
	asker    identifier.HostID
	sequence uint64
	target   identifier.HostID
	deadline identifier.Moment
}

// probeLocal probes the own failure domain: the successor in the ring every
// second time, so that each host is surely probed by its predecessor, and the
// others in turn, so that two neighbours lost together are seen too.
func (gossiper *Gossiper) probeLocal() {
	if !gossiper.nextLocalProbe.Due(gossiper.now) {
		return
	}
	gossiper.nextLocalProbe = gossiper.jittered(gossiper.Settings.LocalProbeInterval)
	gossiper.localProbes++
	if gossiper.localProbes%2 == 0 {
		gossiper.startProbe(gossiper.successor(), phaseDirect)
		return
	}
	gossiper.startProbe(gossiper.turn(&gossiper.localWheel, true), phaseDirect)
}

func (gossiper *Gossiper) probeRemote() {
	if !gossiper.nextRemoteProbe.Due(gossiper.now) {
		return
	}
	gossiper.nextRemoteProbe = gossiper.jittered(gossiper.Settings.RemoteProbeInterval)
	gossiper.startProbe(gossiper.turn(&gossiper.remoteWheel, false), phaseDirect)
}

// turn returns the next alive host of a shuffled round, or "" if there is none.
func (gossiper *Gossiper) turn(wheel *[]identifier.HostID, local bool) identifier.HostID {
	for range 2 {
		for len(*wheel) > 0 {
			host := (*wheel)[0]
			*wheel = (*wheel)[1:]
			entity := gossiper.members.Get(host)
			if entity != nil && entity.state.Status == StatusAlive {
				return host
			}
		}
		*wheel = gossiper.candidates(local)
		gossiper.shuffle(*wheel)
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

// ping may introduce this host: one that has restarted drops the ping of a host
// that it does not know, because it has no address to answer to.
func (gossiper *Gossiper) ping(target identifier.HostID, sequence uint64, introduce bool) {
	message := Message{Kind: MessagePing, Sequence: sequence, Digest: gossiper.digest}
	if introduce {
		message.States = append(message.States, gossiper.self().state)
	}
	gossiper.piggyback(&message, gossiper.isLocal(gossiper.members.Get(target)))
	gossiper.send(target, message)
}

// answerPing acknowledges. A sender that is not held for alive is told so, for
// it to refute; one that introduced itself or spoke of this host gets this
// host's own state.
func (gossiper *Gossiper) answerPing(message Message) {
	sender := gossiper.members.Get(message.From)
	if sender == nil {
		return
	}
	answer := Message{Kind: MessageAck, Sequence: message.Sequence, Digest: gossiper.digest}
	introduced := slices.ContainsFunc(message.States, func(state State) bool {
		return state.Member.Host == gossiper.Self.Host || state.Member.Host == message.From
	})
	if introduced {
		answer.States = append(answer.States, gossiper.self().state)
	}
	doubted := sender.state.Status == StatusSuspect || sender.state.Status == StatusDead
	if doubted || sender.disputed {
		answer.States = append(answer.States, sender.state)
	}
	gossiper.piggyback(&answer, gossiper.isLocal(sender))
	gossiper.send(message.From, answer)
}

func (gossiper *Gossiper) takeAck(message Message) {
	if passed := gossiper.relays.Get(message.Sequence); passed != nil && passed.target == message.From {
		gossiper.relays.Remove(message.Sequence)
		gossiper.send(passed.asker, Message{
			Kind: MessageAck, Sequence: passed.sequence, Target: message.From,
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
		asker:    message.From,
		sequence: message.Sequence,
		target:   message.Target,
		deadline: gossiper.now.Add(2 * gossiper.Settings.ProbeTimeout),
	})
	gossiper.ping(message.Target, gossiper.sequence, false)
}

// expireProbes moves unanswered probes on. After a late tick each gets its wait
// once more, because the answer may still stand in this host's own queue.
func (gossiper *Gossiper) expireProbes(late bool) {
	gossiper.probes.Each(func(sequence uint64, pending *probe) bool {
		if !pending.deadline.Due(gossiper.now) {
			return true
		}
		switch {
		case late && !pending.graced:
			pending.graced = true
			pending.deadline = gossiper.stretched(gossiper.Settings.ProbeTimeout)
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

// probeIndirectly asks peers to ping, in case only the own path is broken, and
// pings once more itself, in case one message was lost.
func (gossiper *Gossiper) probeIndirectly(target identifier.HostID, sequence uint64) {
	entity := gossiper.members.Get(target)
	if entity == nil || !entity.state.Living() {
		return
	}
	helpers := gossiper.candidates(gossiper.isLocal(entity))
	helpers = slices.DeleteFunc(helpers, func(host identifier.HostID) bool { return host == target })
	if len(helpers) < gossiper.Settings.IndirectProbes {
		helpers = append(helpers, gossiper.candidates(!gossiper.isLocal(entity))...)
	}
	for _, helper := range gossiper.sample(helpers, gossiper.Settings.IndirectProbes) {
		gossiper.send(helper, Message{Kind: MessagePingRequest, Sequence: sequence, Target: target})
	}
	gossiper.ping(target, sequence, true)
}

func (gossiper *Gossiper) expireRelays() {
	gossiper.relays.Each(func(sequence uint64, passed *relay) bool {
		if passed.deadline.Due(gossiper.now) {
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

// dropProbes ends the probes of a host that has just shown itself alive; those
// of an earlier process would else count against the new one.
func (gossiper *Gossiper) dropProbes(target identifier.HostID) {
	gossiper.probes.Each(func(sequence uint64, pending *probe) bool {
		if pending.target == target {
			gossiper.probes.Remove(sequence)
		}
		return true
	})
}
