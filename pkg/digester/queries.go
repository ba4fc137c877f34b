package digester

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A lead that may lack digests queries all live hosts, since it doesn't know which of them were
// witnesses of the leads before it.

// query is a query to one host.
type query struct {
	replied bool
	// ended is set once the host is not waited for any more.
	ended bool
}

// handleRequest queries the hosts that have not been queried since this host took the lead.
func (digester *Digester) handleRequest() {
	digester.requested = true
	digester.collecting = true
	digester.updateQueries()
}

// endRequest forgets the queries of a lead that this host has lost.
func (digester *Digester) endRequest() {
	digester.requested = false
	digester.collecting = false
	digester.restartQueries()
}

// restartQueries queries all hosts again for a new takeover.
func (digester *Digester) restartQueries() {
	for _, host := range digester.queries.Keys() {
		digester.removeQuery(host)
	}
	digester.updateQueries()
}

// updateQueries queries hosts that have joined, and stops waiting for those that are gone.
func (digester *Digester) updateQueries() {
	if !digester.requested {
		return
	}
	live := make(map[identifier.HostID]bool, len(digester.hosts))
	for _, host := range digester.hosts {
		live[host.ID] = true
		if digester.queries.Get(host.ID) == nil {
			digester.queries.Put(host.ID, &query{})
			digester.sendQuery(host.ID)
		}
	}
	for _, host := range digester.queries.Keys() {
		if !live[host] {
			digester.removeQuery(host)
		}
	}
	digester.finishIfCollected()
}

func (digester *Digester) removeQuery(host identifier.HostID) {
	digester.queries.Remove(host)
	digester.timers.Clear(timerKey{kind: timerQuery, host: host})
}

// sendQuery queries a host and waits for its reply for QueryTimeout.
func (digester *Digester) sendQuery(host identifier.HostID) {
	digester.emit(&SendQuery{To: host, Query: messenger.DigestQuery{Home: digester.FailureDomain}})
	digester.timers.Set(timerKey{kind: timerQuery, host: host}, digester.now.Add(digester.Settings.QueryTimeout))
}

// endQuery stops waiting for a host. A reply that arrives later is still stored.
func (digester *Digester) endQuery(host identifier.HostID) {
	digester.timers.Clear(timerKey{kind: timerQuery, host: host})
	if sent := digester.queries.Get(host); sent != nil {
		sent.ended = true
		digester.finishIfCollected()
	}
}

// retryQuery queries a host again whose query or reply may have been lost with a connection.
func (digester *Digester) retryQuery(host identifier.HostID) {
	if sent := digester.queries.Get(host); sent != nil && !sent.replied {
		digester.sendQuery(host)
	}
}

// reply lists all digests of a home, none if this host was no witness of it.
func (digester *Digester) reply(input *QueryArrived) {
	batch := messenger.DigestBatch{Home: input.Query.Home}
	if set := digester.sets[input.Query.Home]; set != nil {
		for _, generation := range set.since(oldestMoment) {
			group := messenger.DigestGroup{Kind: generation.kind, Age: digester.now.Sub(generation.startsAt), Digests: generation.digests}
			batch.Groups = append(batch.Groups, group)
		}
	}
	digester.emit(&SendReply{To: input.From, Batch: batch})
}

func (digester *Digester) handleReply(input *ReplyArrived) {
	digester.store(&input.Batch)
	if sent := digester.queries.Get(input.From); sent != nil {
		sent.replied = true
	}
	digester.endQuery(input.From)
}

// finishIfCollected reports once that no reply is waited for any more.
func (digester *Digester) finishIfCollected() {
	if !digester.collecting {
		return
	}
	pending := false
	digester.queries.Each(func(_ identifier.HostID, query *query) bool {
		pending = pending || !query.ended
		return !pending
	})
	if !pending {
		digester.collecting = false
		digester.emit(&Collected{})
	}
}

type timerKind int

const (
	timerExpiry timerKind = iota
	timerBatch
	timerQuery
)

type timerKey struct {
	kind timerKind
	host identifier.HostID
}

func (digester *Digester) expire(key timerKey) {
	switch key.kind {
	case timerExpiry:
		digester.expireSets()
	case timerQuery:
		digester.endQuery(key.host)
	case timerBatch:
		// The tick that this timer causes sends the batch.
	}
}
