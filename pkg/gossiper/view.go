package gossiper

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Members returns every known state, this host's own first. It is nil before the first tick.
func (gossiper *Gossiper) Members() []State {
	if !gossiper.started {
		return nil
	}
	states := make([]State, 0, gossiper.members.Len())
	gossiper.members.Each(func(_ identifier.HostID, entity *memberEntity) bool {
		states = append(states, entity.state)
		return true
	})
	return states
}

// EachState calls visit for every known state. The states must not be changed.
func (gossiper *Gossiper) EachState(visit func(state *State)) {
	if !gossiper.started {
		return
	}
	gossiper.members.Each(func(_ identifier.HostID, entity *memberEntity) bool {
		visit(&entity.state)
		return true
	})
}

// Version returns a number that is higher after each change of a state.
func (gossiper *Gossiper) Version() Version { return gossiper.version }

// State returns the known state of host, and whether the host is known.
func (gossiper *Gossiper) State(host identifier.HostID) (State, bool) {
	if !gossiper.started {
		return State{}, false
	}
	entity := gossiper.members.Get(host)
	if entity == nil {
		return State{}, false
	}
	return entity.state, true
}

// Record returns the record of a member. It returns false if there is none or it was withdrawn.
func (gossiper *Gossiper) Record(host identifier.HostID, key string) (Record, bool) {
	if !gossiper.started {
		return Record{}, false
	}
	entity := gossiper.members.Get(host)
	if entity == nil {
		return Record{}, false
	}
	record := entity.records.Get(key)
	if record == nil || len(record.Value) == 0 {
		return Record{}, false
	}
	return *record, true
}

// ClusterRecord returns the newest cluster-wide record under key. It returns false if there is none.
func (gossiper *Gossiper) ClusterRecord(key string) (Record, bool) {
	if !gossiper.started {
		return Record{}, false
	}
	record := gossiper.cluster.Get(key)
	if record == nil {
		return Record{}, false
	}
	return *record, true
}

// aliveHosts returns the other hosts with status alive, either in the own failure domain or outside
// of it.
func (gossiper *Gossiper) aliveHosts(local bool) []identifier.HostID {
	var hosts []identifier.HostID
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		alive := entity.state.Status == StatusAlive && host != gossiper.Self.Host
		if alive && gossiper.isLocal(entity) == local {
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts
}

// successor returns the next alive host after this one in the ring of the own failure domain, in the
// order of host ids, or "" if there is none.
func (gossiper *Gossiper) successor() identifier.HostID {
	peers := gossiper.aliveHosts(true)
	if len(peers) == 0 {
		return ""
	}
	slices.SortFunc(peers, func(first, second identifier.HostID) int {
		return strings.Compare(string(first), string(second))
	})
	for _, peer := range peers {
		if peer > gossiper.Self.Host {
			return peer
		}
	}
	return peers[0]
}

// sample picks up to count hosts at random.
func (gossiper *Gossiper) sample(hosts []identifier.HostID, count int) []identifier.HostID {
	gossiper.shuffle(hosts)
	return hosts[:min(count, len(hosts))]
}

func (gossiper *Gossiper) shuffle(hosts []identifier.HostID) {
	gossiper.random.Shuffle(len(hosts), func(i, j int) {
		hosts[i], hosts[j] = hosts[j], hosts[i]
	})
}
