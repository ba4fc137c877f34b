package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// eagerJoinAttempts is how often a starting host sends sync requests to seeds at JoinInterval before
// it falls back to LostProbeInterval.
const eagerJoinAttempts = 20

// joinSettlingTime is how long after the first answer what the seeds answer counts as known to all
// other hosts.
const joinSettlingTime = time.Second

// seedsPerJoin is the number of seeds that get a sync request at a time.
const seedsPerJoin = 3

// join requests all known state from seeds until one answers.
func (gossiper *Gossiper) join() {
	if !gossiper.nextJoin.Due(gossiper.now) {
		return
	}
	gossiper.nextJoin = gossiper.jitteredMoment(gossiper.Settings.JoinInterval)
	if gossiper.joinAttempts >= eagerJoinAttempts {
		gossiper.nextJoin = gossiper.jitteredMoment(gossiper.Settings.LostProbeInterval)
	}
	gossiper.joinAttempts++
	order := gossiper.random.Perm(len(gossiper.Seeds))
	requested := 0
	for _, position := range order {
		seed := gossiper.Seeds[position]
		if seed.Host == gossiper.Self.Host || requested == seedsPerJoin {
			continue
		}
		requested++
		gossiper.requestSync(seed.Host, seed.Addresses.Peers)
	}
	// All seeds may have moved, while other hosts have found this one.
	others := append(gossiper.aliveHosts(true), gossiper.aliveHosts(false)...)
	for _, other := range gossiper.sample(others, 1) {
		requested++
		gossiper.requestSync(other, gossiper.members.Get(other).state.Member.Addresses.Peers)
	}
	if requested == 0 {
		gossiper.nextJoin = gossiper.jitteredMoment(gossiper.Settings.LostProbeInterval)
	}
}

// lostHost is a host to search for, and the address to try.
type lostHost struct {
	host    identifier.HostID
	address string
}

// probeLost pings one lost member or seed in turn. Without it the two sides of a partition, each of
// which considers the other dead, would never reconnect.
func (gossiper *Gossiper) probeLost() {
	if !gossiper.nextLostProbe.Due(gossiper.now) {
		return
	}
	gossiper.nextLostProbe = gossiper.jitteredMoment(gossiper.Settings.LostProbeInterval)
	lost := gossiper.lostHosts()
	if len(lost) == 0 {
		return
	}
	gossiper.lostCursor = (gossiper.lostCursor + 1) % len(lost)
	chosen := lost[gossiper.lostCursor]
	gossiper.pingLost(chosen.host, chosen.address)
}

// lostHosts lists the dead members and the seeds that are not living members. A seed is listed with
// its address from the settings as well as with its last known one, because a replacement may have
// either.
func (gossiper *Gossiper) lostHosts() []lostHost {
	var lost []lostHost
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.state.Status == StatusDead {
			lost = append(lost, lostHost{host, entity.state.Member.Addresses.Peers})
		}
		return true
	})
	for _, seed := range gossiper.Seeds {
		entity := gossiper.members.Get(seed.Host)
		if entity == nil || !entity.state.Living() {
			lost = append(lost, lostHost{seed.Host, seed.Addresses.Peers})
		}
	}
	return lost
}

// pingLost sends a ping with this host's own state and the lost host's state, so that the lost host
// can refute it.
func (gossiper *Gossiper) pingLost(host identifier.HostID, address string) {
	gossiper.sequence++
	message := Message{
		Kind: MessagePing, Sequence: gossiper.sequence, Digest: gossiper.digest,
		States: []State{gossiper.self().state},
	}
	if entity := gossiper.members.Get(host); entity != nil {
		message.States = append(message.States, entity.state)
	}
	gossiper.sendTo(host, address, message)
}

// forgetExpired removes members that have been lost for Settings.ForgetAfter.
func (gossiper *Gossiper) forgetExpired() {
	if !gossiper.nextForget.Due(gossiper.now) {
		return
	}
	gossiper.nextForget = identifier.Never
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.forgetAt.Due(gossiper.now) {
			gossiper.members.Remove(host)
			gossiper.version++
			gossiper.emit(MemberForgotten{Host: host})
			return true
		}
		gossiper.nextForget = min(gossiper.nextForget, entity.forgetAt)
		return true
	})
}
