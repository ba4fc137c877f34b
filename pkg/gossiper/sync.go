package gossiper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A digest that differs adds mismatchWeight, one that agrees subtracts one, and the whole state is
// compared at mismatchLimit: a single difference is usually an update that is still on its way.
// Where hosts persistently disagree, those of the smaller part meet a difference at least every
// second time, so that their count grows even though they agree among themselves.
const (
	mismatchWeight = 2
	mismatchLimit  = 6
)

// returnSyncInterval bounds how often the return of lost members starts a comparison. Without it,
// each host of a returning failure domain would start one.
const returnSyncInterval = time.Second

// compareDigest starts a comparison of the whole state with a host whose digest keeps differing.
// This repairs whatever the updates missed because of lost messages or partitions.
func (gossiper *Gossiper) compareDigest(host identifier.HostID, digest uint64) {
	entity := gossiper.members.Get(host)
	if entity == nil {
		return
	}
	mismatches := &gossiper.remoteMismatches
	if gossiper.isLocal(entity) {
		mismatches = &gossiper.localMismatches
	}
	if digest == gossiper.digest {
		*mismatches = max(*mismatches-1, 0)
		return
	}
	*mismatches = min(*mismatches+mismatchWeight, mismatchLimit)
	if *mismatches < mismatchLimit || !gossiper.nextSync.Due(gossiper.now) {
		return
	}
	*mismatches = 0
	gossiper.nextSync = gossiper.jitteredMoment(gossiper.syncInterval())
	gossiper.requestSync(host, entity.state.Member.Addresses.Peers)
}

// startupPeriod is how long after its start a host compares at SyncInterval whatever the number of
// hosts. Where all hosts start together, each misses some of the updates that are sent before they
// know each other.
const startupPeriod = time.Minute

// syncInterval grows in proportion to the number of members beyond SyncMembers, as the summaries do,
// so that the bytes per second stay the same.
func (gossiper *Gossiper) syncInterval() time.Duration {
	interval := gossiper.Settings.SyncInterval
	members := gossiper.members.Len()
	starting := gossiper.now.Before(gossiper.startedAt.Add(startupPeriod))
	if starting || members <= gossiper.Settings.SyncMembers {
		return interval
	}
	return interval * time.Duration(members) / time.Duration(gossiper.Settings.SyncMembers)
}

// syncWithReturned starts a comparison at once with a member that was considered lost. Most likely a
// partition healed, and the member knows much that is new here.
func (gossiper *Gossiper) syncWithReturned(member Member) {
	if !gossiper.nextReturnSync.Due(gossiper.now) {
		return
	}
	gossiper.nextReturnSync = gossiper.now.Add(returnSyncInterval)
	gossiper.requestSync(member.Host, member.Addresses.Peers)
}

func (gossiper *Gossiper) requestSync(host identifier.HostID, address string) {
	request := Message{Kind: MessageSyncRequest, States: []State{gossiper.self().state}}
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		request.Summaries = append(request.Summaries, Summary{
			Host:        host,
			Incarnation: entity.state.Member.Incarnation,
			Refutation:  entity.state.Refutation,
			Status:      entity.state.Status,
			RecordsHash: entity.recordsHash,
		})
		return true
	})
	gossiper.cluster.Each(func(key string, record *Record) bool {
		request.ClusterSummary = append(request.ClusterSummary, RecordSummary{Key: key, Version: record.Version})
		return true
	})
	gossiper.sendTo(host, address, request)
}

// answerSync sends what the requester lacks and names what this host lacks.
func (gossiper *Gossiper) answerSync(message Message) {
	if gossiper.members.Get(message.From) == nil {
		return
	}
	reply := Message{Kind: MessageSyncReply}
	keys := gossiper.compareMembers(message, &reply)
	keys = append(keys, gossiper.compareCluster(message, &reply)...)
	first := keys[:min(len(keys), gossiper.Settings.MessageUpdates)]
	for _, key := range first {
		gossiper.addUpdate(&reply, key)
	}
	gossiper.send(message.From, reply)
	gossiper.sendUpdates(message.From, MessageSyncReply, keys[len(first):])
}

func (gossiper *Gossiper) compareMembers(message Message, reply *Message) []rumorKey {
	var keys []rumorKey
	summaries := make(map[identifier.HostID]Summary, len(message.Summaries))
	for _, summary := range message.Summaries {
		summaries[summary.Host] = summary
		if gossiper.lacks(summary) {
			reply.Wanted = append(reply.Wanted, summary.Host)
		}
	}
	gossiper.members.Each(func(host identifier.HostID, entity *memberEntity) bool {
		summary, known := summaries[host]
		if !known && !entity.state.Living() {
			return true
		}
		newer := !known || entity.state.newerThan(summary.state())
		newIncarnation := !known || entity.state.Member.Incarnation > summary.Incarnation
		sameIncarnation := known && entity.state.Member.Incarnation == summary.Incarnation
		if newer || (entity.conflicting && host == message.From) {
			keys = append(keys, memberRumor(host))
		}
		if newIncarnation || (sameIncarnation && entity.recordsHash != summary.RecordsHash) {
			keys = append(keys, recordRumors(host, entity)...)
		}
		return true
	})
	return keys
}

// lacks reports whether the sender of a summary knows something newer.
func (gossiper *Gossiper) lacks(summary Summary) bool {
	state := summary.state()
	entity := gossiper.members.Get(summary.Host)
	if entity == nil {
		return state.Living()
	}
	sameIncarnation := entity.state.Member.Incarnation == summary.Incarnation
	return state.newerThan(entity.state) || (sameIncarnation && entity.recordsHash != summary.RecordsHash)
}

// state returns the parts of a State that order it against another.
func (summary Summary) state() State {
	return State{
		Member:     Member{Host: summary.Host, Incarnation: summary.Incarnation},
		Refutation: summary.Refutation,
		Status:     summary.Status,
	}
}

func recordRumors(host identifier.HostID, entity *memberEntity) []rumorKey {
	var keys []rumorKey
	for _, key := range entity.records.Keys() {
		keys = append(keys, recordRumor(host, key))
	}
	return keys
}

func (gossiper *Gossiper) compareCluster(message Message, reply *Message) []rumorKey {
	var keys []rumorKey
	versions := make(map[string]uint64, len(message.ClusterSummary))
	for _, summary := range message.ClusterSummary {
		versions[summary.Key] = summary.Version
		own := gossiper.cluster.Get(summary.Key)
		if own == nil || own.Version < summary.Version {
			reply.WantedKeys = append(reply.WantedKeys, summary.Key)
		}
	}
	gossiper.cluster.Each(func(key string, record *Record) bool {
		version, known := versions[key]
		if !known || version < record.Version {
			keys = append(keys, rumorKey{kind: rumorCluster, key: key})
		}
		return true
	})
	return keys
}

// handleSyncReply sends what the replier requested. The first reply completes the join.
func (gossiper *Gossiper) handleSyncReply(message Message) {
	if !gossiper.joined {
		gossiper.joined = true
		gossiper.joinSettlesAt = gossiper.now.Add(joinSettlingTime)
		gossiper.nextJoin = identifier.Never
		gossiper.outputs = append(gossiper.outputs, Joined{})
		// Updates from before the join were sent to nobody.
		gossiper.enqueueRumor(memberRumor(gossiper.Self.Host), originated)
		gossiper.enqueueOwnRecords()
	}
	var keys []rumorKey
	for _, host := range message.Wanted {
		entity := gossiper.members.Get(host)
		if entity == nil {
			continue
		}
		keys = append(keys, memberRumor(host))
		keys = append(keys, recordRumors(host, entity)...)
	}
	for _, key := range message.WantedKeys {
		if gossiper.cluster.Get(key) != nil {
			keys = append(keys, rumorKey{kind: rumorCluster, key: key})
		}
	}
	gossiper.sendUpdates(message.From, MessageUpdates, keys)
}
