package dispatcher

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// seenServersReply is what a host has reported of itself: the backend servers that its process has
// seen, and a time before which that process provably started.
type seenServersReply struct {
	startedBefore identifier.Moment
	servers       []identifier.BackendServerID
}

// AddSeenServers adds to a reply the backend servers that this host may have sent tasks to as a
// lead, and how long its process has run.
func (dispatcher *Dispatcher) AddSeenServers(reply *messenger.TakeoverReply) {
	if dispatcher.servers == nil {
		return
	}
	reply.Uptime = dispatcher.now.Sub(dispatcher.startedAt)
	dispatcher.servers.Each(func(key serverKey, _ *server) bool {
		if key.cell == reply.Cell {
			reply.Servers = append(reply.Servers, key.server)
		}
		return true
	})
	slices.Sort(reply.Servers)
}

func (dispatcher *Dispatcher) recordSeenServers(cell *cell, input *TakeoverReplied) {
	if input.Reply.Uptime == 0 {
		return
	}
	cell.seenServers[input.From] = seenServersReply{
		startedBefore: dispatcher.now.Add(-input.Reply.Uptime), servers: input.Reply.Servers,
	}
}

// allSeenServersKnown reports whether every host that may have led the cell since a given time has
// listed the backend servers it has seen, and this host knows them all. Each of these processes
// must have started before that time, since an earlier process of the host could have led and can
// no longer be asked.
//
// In a recently started cluster, a lead that was paused and replaced would otherwise leave
// jobs that no host has started and of which no host knows whether they started. They would end as
// unknown although no host and no backend server was lost.
func (dispatcher *Dispatcher) allSeenServersKnown(cell *cell, since identifier.Moment) bool {
	if len(cell.missingHosts) > 0 || len(cell.awaitedHosts) > 0 || dispatcher.startedAt >= since {
		return false
	}
	for _, reply := range cell.seenServers {
		if reply.startedBefore >= since || !dispatcher.knowsServers(cell, reply.servers) {
			return false
		}
	}
	return len(cell.seenServers) >= minSeenServersReplies && !dispatcher.otherHostsWithoutState(cell)
}

// minSeenServersReplies is how many hosts of a failure domain must have replied, including this
// one. Two hosts hold the record of each submission. With fewer live hosts, both may have been lost
// before this process started, and the submission may be older than its caller's present host
// reports.
const minSeenServersReplies = holdersOfRecord + 1

// otherHostsWithoutState reports whether any host has seen another one recently restart without
// state.
func (dispatcher *Dispatcher) otherHostsWithoutState(cell *cell) bool {
	for host := range cell.hostsWithoutState {
		if host != dispatcher.Self {
			return true
		}
	}
	return false
}

func (dispatcher *Dispatcher) knowsServers(cell *cell, servers []identifier.BackendServerID) bool {
	return !slices.ContainsFunc(servers, func(server identifier.BackendServerID) bool {
		return dispatcher.servers.Get(serverKey{cell: cell.number, server: server}) == nil
	})
}

// knownAfter returns a time on this host's clock at which a submission had provably not been
// forwarded yet. Its caller's host knows the arrival time by its own clock and replied after the
// takeover began. Other hosts learned of the submission from messages that had a transit time.
func (dispatcher *Dispatcher) knownAfter(cell *cell, record *messenger.CopyRecord) identifier.Moment {
	if record.FromCallerHost {
		return cell.takenAt.Add(-record.Age)
	}
	return dispatcher.now.Add(-record.Age).Add(-transitAllowance)
}

// forwardedAfter returns a time at which a job that other hosts know had provably not been
// forwarded yet. If its caller's host is among them, that host's record decides.
func (recovered recoveredRecord) forwardedAfter(job *job) identifier.Moment {
	if recovered.record.FromCallerHost && slices.Contains(job.recipients, recovered.holder) {
		return recovered.knownAfter
	}
	return identifier.Earlier(job.forwardedAfter, recovered.knownAfter)
}
