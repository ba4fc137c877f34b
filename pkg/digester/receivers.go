package digester

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/ranker"
)

// receiver is a host to which this one sends the digests of its home.
type receiver struct {
	incarnation identifier.Incarnation
	joinedAt    identifier.Moment
	// pending are the digests that were recorded since the last batch.
	pending []entry
	// backlog are generations of older digests that the host may lack. They are sent in what is left of
	// each batch, from the digest with the number backlogNext of the first one.
	backlog     []*generation
	backlogNext int
	// backlogSince is the earliest time at which the digests of the backlog were recorded.
	backlogSince identifier.Moment
	// nextBatchAt is the earliest time of the next batch.
	nextBatchAt identifier.Moment
}

// handleHostsChanged recomputes which hosts receive the digests. A new one gets all digests.
func (digester *Digester) handleHostsChanged(hosts []Host) {
	digester.hosts = hosts
	wanted := make(map[identifier.HostID]Host)
	for _, host := range digester.receiversAmong(hosts) {
		wanted[host.ID] = host
	}
	for _, id := range digester.receivers.Keys() {
		if _, remains := wanted[id]; !remains {
			digester.removeReceiver(id)
		}
	}
	for _, host := range hosts {
		if _, isReceiver := wanted[host.ID]; isReceiver {
			digester.addReceiver(host)
		}
	}
	digester.updateQueries()
}

// receiversAmong returns the hosts of the own failure domain and the witnesses.
func (digester *Digester) receiversAmong(hosts []Host) []Host {
	var own, remote []Host
	for _, host := range hosts {
		if host.FailureDomain == digester.FailureDomain {
			own = append(own, host)
		} else {
			remote = append(remote, host)
		}
	}
	return append(own, digester.witnessesAmong(remote)...)
}

// witnessesAmong picks the witnesses by rendezvous hashing: all hosts of the home pick the same
// ones, and one is replaced only when it is lost or a host with a higher weight joins. There are two
// if there are as many hosts, in different failure domains if possible, so that one of them remains
// when the failure domain that runs a spilled job is cut off together with the loss of the home.
func (digester *Digester) witnessesAmong(remote []Host) []Host {
	first, found := digester.heaviest(remote, func(Host) bool { return true })
	if !found {
		return nil
	}
	second, found := digester.heaviest(remote, func(host Host) bool { return host.FailureDomain != first.FailureDomain })
	if !found {
		second, found = digester.heaviest(remote, func(host Host) bool { return host.ID != first.ID })
	}
	if !found {
		return []Host{first}
	}
	return []Host{first, second}
}

// heaviest returns the eligible host that comes first by weighted rendezvous hashing, and false if
// there is none.
func (digester *Digester) heaviest(hosts []Host, eligible func(host Host) bool) (Host, bool) {
	var candidates []ranker.Candidate
	for _, host := range hosts {
		if eligible(host) {
			candidates = append(candidates, ranker.Candidate{Host: host.ID, Hash: digester.weight(host), Capacity: host.Processor})
		}
	}
	if len(candidates) == 0 {
		return Host{}, false
	}
	ranker.Rank(candidates)
	first := slices.IndexFunc(hosts, func(host Host) bool { return host.ID == candidates[0].Host })
	return hosts[first], true
}

func (digester *Digester) weight(host Host) uint64 {
	return xxhash.Sum64String(string(digester.FailureDomain) + "/" + string(host.ID))
}

func (digester *Digester) addReceiver(host Host) {
	known := digester.receivers.Get(host.ID)
	if known != nil && known.incarnation == host.Incarnation {
		return
	}
	created := &receiver{incarnation: host.Incarnation, joinedAt: digester.now}
	digester.receivers.Put(host.ID, created)
	if digester.leads() {
		digester.sendSince(created, oldestMoment)
	}
}

func (digester *Digester) removeReceiver(host identifier.HostID) {
	digester.receivers.Remove(host)
	digester.timers.Clear(timerKey{kind: timerBatch, host: host})
}

// oldestMoment is earlier than any moment at which a kept digest was recorded.
const oldestMoment identifier.Moment = -1 << 62

// handleLeadTaken makes a new lead send again what its predecessor may not have sent. A receiver
// that has joined lately may lack all digests.
func (digester *Digester) handleLeadTaken(cell messenger.CellNumber) {
	digester.restartQueries()
	took := !digester.leads()
	digester.ledCells[cell] = true
	if !took {
		return
	}
	recent := digester.now.Add(-resentAge)
	digester.receivers.Each(func(_ identifier.HostID, receiver *receiver) bool {
		since := recent
		if receiver.joinedAt > recent {
			since = oldestMoment
		}
		digester.sendSince(receiver, since)
		return true
	})
}

// handleLeadLost sends what is pending at once, as this host sends nothing later.
func (digester *Digester) handleLeadLost(cell messenger.CellNumber) {
	delete(digester.ledCells, cell)
	if digester.leads() {
		return
	}
	digester.endRequest()
	digester.receivers.Each(func(host identifier.HostID, receiver *receiver) bool {
		receiver.backlog = nil
		for len(receiver.pending) > 0 {
			digester.sendBatch(host, receiver)
		}
		return true
	})
}

// leads reports whether this host leads a cell.
func (digester *Digester) leads() bool { return len(digester.ledCells) > 0 }

// handleReconnected sends again what may have been lost with the previous connection, which may have
// been down for long.
func (digester *Digester) handleReconnected(host identifier.HostID) {
	digester.retryQuery(host)
	if known := digester.receivers.Get(host); known != nil && digester.leads() {
		digester.sendSince(known, oldestMoment)
	}
}

// sendSince queues the digests that were recorded since a moment, or shortly before it. It replaces
// an unfinished backlog.
func (digester *Digester) sendSince(receiver *receiver, since identifier.Moment) {
	if len(receiver.backlog) > 0 {
		since = identifier.Earlier(since, receiver.backlogSince)
	}
	receiver.backlogSince = since
	receiver.backlog = nil
	receiver.backlogNext = 0
	if set := digester.sets[digester.FailureDomain]; set != nil {
		receiver.backlog = set.since(since)
	}
}

// sendDue sends the batches that are due and schedules the others.
func (digester *Digester) sendDue() {
	digester.receivers.Each(func(host identifier.HostID, receiver *receiver) bool {
		if receiver.hasDigests() && receiver.nextBatchAt.Due(digester.now) {
			digester.sendBatch(host, receiver)
		}
		if receiver.hasDigests() {
			digester.timers.Set(timerKey{kind: timerBatch, host: host}, receiver.nextBatchAt)
		}
		return true
	})
}

// hasDigests reports whether there is anything to send.
func (receiver *receiver) hasDigests() bool {
	return len(receiver.pending) > 0 || len(receiver.backlog) > 0
}

func (digester *Digester) sendBatch(host identifier.HostID, receiver *receiver) {
	entries := receiver.takePending(digester.Settings.BatchDigests)
	entries = append(entries, receiver.takeBacklog(digester.Settings.BatchDigests-len(entries))...)
	receiver.nextBatchAt = digester.now.Add(digester.Settings.BatchInterval)
	batch := messenger.DigestBatch{Home: digester.FailureDomain, Groups: digester.groupsOf(entries)}
	digester.emit(&SendBatch{To: host, Batch: batch})
}

// takePending removes up to count of the pending digests.
func (receiver *receiver) takePending(count int) []entry {
	count = min(count, len(receiver.pending))
	taken := receiver.pending[:count:count]
	receiver.pending = receiver.pending[count:]
	return taken
}

// takeBacklog returns up to count digests of the backlog and moves on behind them.
func (receiver *receiver) takeBacklog(count int) []entry {
	var taken []entry
	for len(taken) < count && len(receiver.backlog) > 0 {
		first := receiver.backlog[0]
		if receiver.backlogNext >= len(first.digests) {
			receiver.backlog = receiver.backlog[1:]
			receiver.backlogNext = 0
			continue
		}
		taken = append(taken, entry{digest: first.digests[receiver.backlogNext], kind: first.kind, recordedAt: first.startsAt})
		receiver.backlogNext++
	}
	return taken
}

// groupsOf groups consecutive digests of one kind that were recorded within the same generation.
func (digester *Digester) groupsOf(entries []entry) []messenger.DigestGroup {
	var groups []messenger.DigestGroup
	var last generationKey
	set := digester.sets[digester.FailureDomain]
	for _, next := range entries {
		key := generationKey{number: set.numberOf(next.recordedAt), kind: next.kind}
		if len(groups) == 0 || key != last {
			groups = append(groups, messenger.DigestGroup{Kind: next.kind})
		}
		last = key
		group := &groups[len(groups)-1]
		group.Age = max(group.Age, digester.now.Sub(next.recordedAt))
		group.Digests = append(group.Digests, next.digest)
	}
	return groups
}
