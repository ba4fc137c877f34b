package starter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/ranker"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// chooseHost returns the host that makes a call: this host if it is a starter of the server, else
// a starter that it is connected to, a different one for each repetition. A host keeps using the
// same starter of a server if it can, so that the starter's connection is already open. If no
// starter is connected, this host makes the call itself.
func (starter *Starter) chooseHost(start *supervisor.StartRun) identifier.HostID {
	set := starter.startersFor(start)
	if slices.Contains(set, starter.Self) {
		return starter.Self
	}
	first := int(rendezvousWeight(start.Server.Server(), starter.Self) % uint64(max(len(set), 1)))
	for step := range len(set) {
		host := set[(first+start.Repeats+step)%len(set)]
		if starter.connected[host] {
			return host
		}
	}
	return starter.Self
}

// startersFor returns the hosts that may call the server of a start.
func (starter *Starter) startersFor(start *supervisor.StartRun) []identifier.HostID {
	server := start.Server.Server()
	known, found := starter.starterSets[server]
	if found {
		return known
	}
	set := slices.Clone(starter.liveHosts[start.FailureDomain])
	if most := starter.maxStarters(start.Service); len(set) > most {
		set = starter.rank(server, set)[:most]
	}
	starter.starterSets[server] = set
	return set
}

// rank orders the hosts for a server, so that larger hosts are starters of more servers.
func (starter *Starter) rank(server identifier.BackendServerID, hosts []identifier.HostID) []identifier.HostID {
	candidates := make([]ranker.Candidate, len(hosts))
	for index, host := range hosts {
		candidates[index] = ranker.Candidate{Host: host, Hash: rendezvousWeight(server, host), Capacity: starter.processors[host]}
	}
	ranker.Rank(candidates)
	for index, candidate := range candidates {
		hosts[index] = candidate.Host
	}
	return hosts
}

// maxStarters returns how many starters a server of a service may have.
func (starter *Starter) maxStarters(service identifier.ServiceName) int {
	return max(starter.startConnectionLimit(service)/starter.Settings.HostConnections, 1)
}

// startConnectionLimit returns how many connections all starters of a server may have together.
func (starter *Starter) startConnectionLimit(service identifier.ServiceName) int {
	limit := float64(cmp.Or(starter.connectionLimits[service], starter.Settings.ServerConnections))
	return int(limit*(1-starter.Settings.LingeringShare)) - starter.Settings.LeadConnections
}

// connectionLimit returns how many connections this host may have to the server of a start. When
// hosts join and the limit falls from few to usual, the connections opened before stay for a while
// beside the new ones; the comparison counts both.
func (starter *Starter) connectionLimit(start *supervisor.StartRun) int {
	few, usual := starter.Settings.SmallDomainConnections, starter.Settings.HostConnections
	if hosts := len(starter.startersFor(start)); hosts*(few+usual) > starter.startConnectionLimit(start.Service) {
		return usual
	}
	return few
}

// rendezvousWeight returns the hash that orders the hosts for a server. Each server has its own
// order, so the servers of a lost host spread over the remaining hosts.
func rendezvousWeight(server identifier.BackendServerID, host identifier.HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(server))
	_, _ = digest.WriteString(" ")
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}
