package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/ranker"
)

// origin is how this host learned of an update.
type origin uint8

const (
	originated origin = iota
	learnedRemotely
	learnedLocally
	// learnedByJoining is for updates received at the start of this host; all others know them.
	learnedByJoining
)

type rumorKind uint8

const (
	rumorMember rumorKind = iota
	rumorRecord
	rumorCluster
)

// rumorKey identifies what changed. The value sent is the newest one at the time of sending.
type rumorKey struct {
	kind rumorKind
	host identifier.HostID
	key  string
}

// rumor is an update that this host still forwards.
type rumor struct {
	// fresh updates are sent to the whole failure domain and to a few hosts outside with the next
	// flush.
	fresh bool
	// localCopies and remoteCopies are how often the update is still piggybacked on probes and
	// answers inside and outside of the failure domain.
	localCopies  int
	remoteCopies int
	// expires is when an update is dropped that found no message to be piggybacked on.
	expires identifier.Moment
}

// rumorLifetime bounds how long an update waits for probes to be piggybacked on.
const rumorLifetime = 10 * time.Second

func memberRumor(host identifier.HostID) rumorKey {
	return rumorKey{kind: rumorMember, host: host}
}

func recordRumor(host identifier.HostID, key string) rumorKey {
	return rumorKey{kind: rumorRecord, host: host, key: key}
}

// enqueueRumor queues an update for forwarding. Only the first host of a failure domain that knows
// it sends it at once; its peers would only repeat each other.
func (gossiper *Gossiper) enqueueRumor(key rumorKey, source origin) {
	if source == learnedByJoining {
		return
	}
	fresh := source != learnedLocally
	gossiper.rumors.Put(key, &rumor{
		fresh:        fresh,
		localCopies:  1,
		remoteCopies: gossiper.Settings.PiggybackCopies,
		expires:      gossiper.now.Add(rumorLifetime),
	})
	if fresh {
		gossiper.nextFlush = min(gossiper.nextFlush, gossiper.flushMoment(source))
	}
}

// flushMoment returns when an update is sent. Hosts of one failure domain that receive it from
// outside wait for different times, so that usually one of them sends it and the others receive it
// from that one.
func (gossiper *Gossiper) flushMoment(source origin) identifier.Moment {
	half := gossiper.Settings.UpdateInterval / 2
	if source == originated {
		return gossiper.now.Add(half)
	}
	return gossiper.now.Add(half).Add(gossiper.randomMoment(2 * half).Sub(gossiper.now))
}

// recordDuplicate counts an update that is received again as one copy less to send: the more hosts
// know it, the sooner they stop. A peer of the own failure domain has sent it to all the others.
func (gossiper *Gossiper) recordDuplicate(key rumorKey, source origin) {
	current := gossiper.rumors.Get(key)
	if current == nil {
		return
	}
	current.localCopies--
	current.remoteCopies--
	if source == learnedLocally {
		current.fresh = false
	}
	gossiper.removeExhausted(key, current)
}

func (gossiper *Gossiper) removeExhausted(key rumorKey, current *rumor) {
	if !current.fresh && current.localCopies <= 0 && current.remoteCopies <= 0 {
		gossiper.rumors.Remove(key)
	}
}

// flushRumors sends the fresh updates, batched into few messages.
func (gossiper *Gossiper) flushRumors() {
	if !gossiper.nextFlush.Due(gossiper.now) {
		return
	}
	gossiper.nextFlush = identifier.Never
	var fresh []rumorKey
	gossiper.rumors.Each(func(key rumorKey, current *rumor) bool {
		if current.fresh {
			fresh = append(fresh, key)
			current.fresh = false
		}
		return true
	})
	targets := append(gossiper.localTargets(), gossiper.remoteTargets()...)
	for _, target := range targets {
		gossiper.sendUpdates(target, MessageUpdates, fresh)
	}
}

// localTargets returns every other living host of the own failure domain, suspects included: a
// suspect must receive the suspicion to refute it.
func (gossiper *Gossiper) localTargets() []identifier.HostID {
	var hosts []identifier.HostID
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.state.Living() && gossiper.isLocal(entity) && host != gossiper.Self.Host {
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts
}

// remoteTargets picks up to Settings.RemoteFanout random hosts outside, each of another failure
// domain, in which it forwards the updates. Hosts are picked in proportion to their capacity.
func (gossiper *Gossiper) remoteTargets() []identifier.HostID {
	var targets []identifier.HostID
	chosen := make(map[identifier.FailureDomain]bool)
	candidates := gossiper.aliveHosts(false)
	gossiper.shuffle(candidates)
	gossiper.preferLarge(candidates)
	for _, host := range candidates {
		domain := gossiper.members.Get(host).state.Member.FailureDomain
		if chosen[domain] {
			continue
		}
		chosen[domain] = true
		targets = append(targets, host)
		if len(targets) == gossiper.Settings.RemoteFanout {
			break
		}
	}
	return targets
}

// preferLarge orders hosts by weighted random hashes if their capacities differ.
func (gossiper *Gossiper) preferLarge(hosts []identifier.HostID) {
	candidates := make([]ranker.Candidate, len(hosts))
	for index, host := range hosts {
		capacity := gossiper.members.Get(host).state.Member.Capacity.OrUnknown().MilliCPU
		candidates[index] = ranker.Candidate{Host: host, Capacity: capacity}
	}
	if ranker.Alike(candidates) {
		return
	}
	for index := range candidates {
		candidates[index].Hash = gossiper.random.Uint64()
	}
	ranker.Rank(candidates)
	for index, candidate := range candidates {
		hosts[index] = candidate.Host
	}
}

// piggyback adds updates to a probe or an answer.
func (gossiper *Gossiper) piggyback(message *Message, local bool) {
	added := 0
	gossiper.rumors.Each(func(key rumorKey, current *rumor) bool {
		if current.expires.Due(gossiper.now) {
			gossiper.rumors.Remove(key)
			return true
		}
		copies := &current.remoteCopies
		if local {
			copies = &current.localCopies
		}
		if *copies <= 0 || current.fresh {
			return true
		}
		*copies--
		gossiper.addUpdate(message, key)
		gossiper.removeExhausted(key, current)
		added++
		return added < gossiper.Settings.PiggybackUpdates
	})
}

// addUpdate adds the newest value of what key identifies.
func (gossiper *Gossiper) addUpdate(message *Message, key rumorKey) {
	if key.kind == rumorCluster {
		message.ClusterRecords = append(message.ClusterRecords, *gossiper.cluster.Get(key.key))
		return
	}
	entity := gossiper.members.Get(key.host)
	if entity == nil {
		return
	}
	if key.kind == rumorMember {
		message.States = append(message.States, entity.state)
		return
	}
	if record := entity.records.Get(key.key); record != nil {
		memberRecord := MemberRecord{Host: key.host, Incarnation: entity.state.Member.Incarnation, Record: *record}
		message.Records = append(message.Records, memberRecord)
	}
}

// sendUpdates sends the newest values of keys in messages of bounded size.
func (gossiper *Gossiper) sendUpdates(to identifier.HostID, kind MessageKind, keys []rumorKey) {
	for len(keys) > 0 {
		count := min(len(keys), gossiper.Settings.MessageUpdates)
		message := Message{Kind: kind}
		for _, key := range keys[:count] {
			gossiper.addUpdate(&message, key)
		}
		gossiper.send(to, message)
		keys = keys[count:]
	}
}

// send sends a message to a known member. A sender that described itself is answered at the address
// in that description: a replacement whose clock went back has a lower incarnation than the host it
// replaces, and learns of it only from an answer that reaches it.
func (gossiper *Gossiper) send(to identifier.HostID, message Message) {
	entity := gossiper.members.Get(to)
	if entity == nil {
		return
	}
	address := entity.state.Member.Addresses.Peers
	if sender := gossiper.senderMember; sender != nil && sender.Host == to {
		address = sender.Addresses.Peers
	}
	gossiper.sendTo(to, address, message)
}

func (gossiper *Gossiper) sendTo(to identifier.HostID, address string, message Message) {
	message.From = gossiper.Self.Host
	gossiper.emit(Send{To: to, Address: address, Message: message})
}
