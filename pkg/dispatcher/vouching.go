package dispatcher

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// voucher is what a host has told of itself: the backend servers that its process has seen, and
// a moment before which that process had surely begun.
type voucher struct {
	begunBefore identifier.Moment
	servers     []identifier.BackendServerID
}

// Vouch adds to a reply what this host knows of the backend servers that it may have given tasks
// as a lead.
func (dispatcher *Dispatcher) Vouch(reply *messenger.TakeoverReply) {
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

func (dispatcher *Dispatcher) noteVoucher(cell *cell, input *TakeoverReplied) {
	if input.Reply.Uptime == 0 {
		return
	}
	cell.vouchers[input.From] = voucher{
		begunBefore: dispatcher.now.Add(-input.Reply.Uptime), servers: input.Reply.Servers,
	}
}

// serversVouched tells whether every host that may have led the cell since a moment has told
// which backend servers it has seen, and this host has them all. Each must have begun before the
// moment: the process before it could have led, and is not asked any more.
//
// While a cluster is young, a lead that others replaced since it stood still would else leave jobs
// that nobody has started and nobody can tell of. They would end as unknown, although no host and
// no backend server was lost.
func (dispatcher *Dispatcher) serversVouched(cell *cell, since identifier.Moment) bool {
	if len(cell.missingHosts) > 0 || len(cell.awaitedHosts) > 0 || dispatcher.startedAt >= since {
		return false
	}
	for _, voucher := range cell.vouchers {
		if voucher.begunBefore >= since || !dispatcher.hasAll(cell, voucher.servers) {
			return false
		}
	}
	return len(cell.vouchers) >= leastVouchers && !dispatcher.othersEmptied(cell)
}

// leastVouchers is how many hosts of a failure domain must have spoken, this one among them. Two
// hold the record of each submission. With fewer living, both may have been lost before this
// process began, and the submission may have come sooner than its caller's present host tells.
const leastVouchers = holdersOfRecord + 1

// othersEmptied tells whether another host has lately lost its memory, as some host has seen.
func (dispatcher *Dispatcher) othersEmptied(cell *cell) bool {
	for host := range cell.emptiedHosts {
		if host != dispatcher.Self {
			return true
		}
	}
	return false
}

func (dispatcher *Dispatcher) hasAll(cell *cell, servers []identifier.BackendServerID) bool {
	return !slices.ContainsFunc(servers, func(server identifier.BackendServerID) bool {
		return dispatcher.servers.Get(serverKey{cell: cell.number, server: server}) == nil
	})
}

// knownAfter is a moment on this host's clock at which a submission had surely not been forwarded
// yet. Its caller's host knows by its own clock when it came, and said so after the takeover
// began; what others tell they heard from messages that were under way.
func (dispatcher *Dispatcher) knownAfter(cell *cell, record *messenger.CopyRecord) identifier.Moment {
	if record.FirstHand {
		return cell.takenAt.Add(-record.Age)
	}
	return dispatcher.now.Add(-record.Age).Add(-transitAllowance)
}

// boundOf is a moment at which a job that other hosts know had surely not been forwarded yet.
// Where its caller's host is among them, by that host's word.
func (recovered recoveredRecord) boundOf(job *job) identifier.Moment {
	if recovered.record.FirstHand && slices.Contains(job.holders, recovered.holder) {
		return recovered.knownAfter
	}
	return identifier.Earlier(job.forwardedAfter, recovered.knownAfter)
}
