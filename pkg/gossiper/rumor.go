package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// origin tells how this host came to know an update.
type origin uint8

const (
	originated origin = iota
	learnedRemotely
	learnedLocally
	// learnedByJoining is what a host hears when it starts; all others know it.
	learnedByJoining
)

type rumorKind uint8

const (
	rumorMember rumorKind = iota
	rumorRecord
	rumorCluster
)

// rumorKey names what changed; what is sent is its newest value at that time.
type rumorKey struct {
	kind rumorKind
	host identifier.HostID
	key  string
}

// rumor is an update that this host still passes on.
type rumor struct {
	// fresh updates go to the whole failure domain and to a few hosts outside
	// with the next flush.
	fresh bool
	// localCopies and remoteCopies are how often it still rides on probes and
	// answers inside and outside of the failure domain.
	localCopies  int
	remoteCopies int
	// expires ends an update that found nobody to ride to.
	expires identifier.Moment
}

// rumorLifetime bounds how long an update waits for probes to ride on.
const rumorLifetime = 10 * time.Second

func memberRumor(host identifier.HostID) rumorKey {
	return rumorKey{kind: rumorMember, host: host}
}

func recordRumor(host identifier.HostID, key string) rumorKey {
	return rumorKey{kind: rumorRecord, host: host, key: key}
}

// tell starts passing an update on. Only the first host of a failure domain that
// knows it passes it on at once; its peers would only repeat each other.
func (gossiper *Gossiper) tell(key rumorKey, source origin) {
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

// flushMoment is when an update goes out. Hosts of one failure domain that heard
// it from outside wait for different times, so that mostly one of them passes it
// on and the others hear it from that one.
func (gossiper *Gossiper) flushMoment(source origin) identifier.Moment {
	half := gossiper.Settings.UpdateInterval / 2
	if source == originated {
		return gossiper.now.Add(half)
	}
	return gossiper.now.Add(half).Add(gossiper.spread(2 * half).Sub(gossiper.now))
}

// hearAgain counts an update that comes back as one copy less to send: the more
// hosts know it, the sooner they stop. A peer of the own failure domain has told
// all the others.
func (gossiper *Gossiper) hearAgain(key rumorKey, source origin) {
	current := gossiper.rumors.Get(key)
	if current == nil {
		return
	}
	current.localCopies--
	current.remoteCopies--
	if source == learnedLocally {
		current.fresh = false
	}
	gossiper.dropSpent(key, current)
}

func (gossiper *Gossiper) dropSpent(key rumorKey, current *rumor) {
	if !current.fresh && current.localCopies <= 0 && current.remoteCopies <= 0 {
		gossiper.rumors.Remove(key)
	}
}

// flushRumors sends the fresh updates, gathered into few messages.
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
	targets := append(gossiper.localAudience(), gossiper.remoteAudience()...)
	for _, target := range targets {
		gossiper.sendUpdates(target, MessageUpdates, fresh)
	}
}

// localAudience is every living host of the own failure domain, suspects
// included: a suspect must hear of the suspicion to refute it.
func (gossiper *Gossiper) localAudience() []identifier.HostID {
	var hosts []identifier.HostID
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.state.Living() && gossiper.isLocal(entity) && host != gossiper.Self.Host {
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts
}

// remoteAudience picks a few hosts outside, of different failure domains.
func (gossiper *Gossiper) remoteAudience() []identifier.HostID {
	var audience []identifier.HostID
	taken := make(map[identifier.FailureDomain]bool)
	candidates := gossiper.candidates(false)
	gossiper.shuffle(candidates)
	for _, host := range candidates {
		domain := gossiper.members.Get(host).state.Member.FailureDomain
		if taken[domain] {
			continue
		}
		taken[domain] = true
		audience = append(audience, host)
		if len(audience) == gossiper.Settings.RemoteFanout {
			break
		}
	}
	return audience
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
		gossiper.dropSpent(key, current)
		added++
		return added < gossiper.Settings.PiggybackUpdates
	})
}

// addUpdate adds the newest value of what key names.
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
		told := MemberRecord{Host: key.host, Incarnation: entity.state.Member.Incarnation, Record: *record}
		message.Records = append(message.Records, told)
	}
}

// sendUpdates sends the named updates in messages of bounded size.
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

// send sends to a known member. One that introduced itself is answered where it
// says that it is: a replacement whose clock went back has a lower incarnation
// than the host it replaces, and learns so only from an answer that reaches it.
func (gossiper *Gossiper) send(to identifier.HostID, message Message) {
	entity := gossiper.members.Get(to)
	if entity == nil {
		return
	}
	address := entity.state.Member.Addresses.Peers
	if introduced := gossiper.introduced; introduced != nil && introduced.Host == to {
		address = introduced.Addresses.Peers
	}
	gossiper.sendTo(to, address, message)
}

func (gossiper *Gossiper) sendTo(to identifier.HostID, address string, message Message) {
	message.From = gossiper.Self.Host
	gossiper.emit(Send{To: to, Address: address, Message: message})
}
