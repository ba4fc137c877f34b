package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// eagerJoinAttempts is how often a starting host asks seeds at JoinInterval
// before it falls back to LostProbeInterval.
const eagerJoinAttempts = 20

// joinSettles is how long after the first answer the answers of seeds count as
// known to everybody else.
const joinSettles = time.Second

// seedsPerJoin is how many seeds are asked at a time.
const seedsPerJoin = 3

// join asks seeds for all that they know until one answers.
func (gossiper *Gossiper) join() {
	if !gossiper.nextJoin.Due(gossiper.now) {
		return
	}
	gossiper.nextJoin = gossiper.jittered(gossiper.Settings.JoinInterval)
	if gossiper.joinAttempts >= eagerJoinAttempts {
		gossiper.nextJoin = gossiper.jittered(gossiper.Settings.LostProbeInterval)
	}
	gossiper.joinAttempts++
	order := gossiper.random.Perm(len(gossiper.Seeds))
	asked := 0
	for _, position := range order {
		seed := gossiper.Seeds[position]
		if seed.Host == gossiper.Self.Host || asked == seedsPerJoin {
			continue
		}
		asked++
		gossiper.requestSync(seed.Host, seed.Addresses.Peers)
	}
	// Seeds may all have moved, while other hosts have found this one.
	others := append(gossiper.candidates(true), gossiper.candidates(false)...)
	for _, other := range gossiper.sample(others, 1) {
		asked++
		gossiper.requestSync(other, gossiper.members.Get(other).state.Member.Addresses.Peers)
	}
	if asked == 0 {
		gossiper.nextJoin = gossiper.jittered(gossiper.Settings.LostProbeInterval)
	}
}

// lostHost is a host to look for, and where.
type lostHost struct {
	host    identifier.HostID
	address string
}

// probeLost pings one lost member or seed in turn. Without it two sides of a
// partition, each holding the other for dead, would never speak again.
func (gossiper *Gossiper) probeLost() {
	if !gossiper.nextLostProbe.Due(gossiper.now) {
		return
	}
	gossiper.nextLostProbe = gossiper.jittered(gossiper.Settings.LostProbeInterval)
	lost := gossiper.lostHosts()
	if len(lost) == 0 {
		return
	}
	gossiper.lostCursor = (gossiper.lostCursor + 1) % len(lost)
	chosen := lost[gossiper.lostCursor]
	gossiper.pingLost(chosen.host, chosen.address)
}

// lostHosts lists the dead members and the seeds that are not living members. A
// seed stands at its address from the settings as well as at the last one known,
// because a replacement may have either.
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

// pingLost introduces this host and tells the lost one that it is held for dead.
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

// forget drops members that have been lost for long.
func (gossiper *Gossiper) forget() {
	if !gossiper.nextForget.Due(gossiper.now) {
		return
	}
	gossiper.nextForget = identifier.Never
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		if entity.forgetAt.Due(gossiper.now) {
			gossiper.members.Remove(host)
			gossiper.emit(MemberForgotten{Host: host})
			return true
		}
		gossiper.nextForget = min(gossiper.nextForget, entity.forgetAt)
		return true
	})
}
