package gossiper

import (
	"bytes"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// mergeState takes another host's word about a member if it is newer.
func (gossiper *Gossiper) mergeState(state State, source origin) {
	host := state.Member.Host
	if host == gossiper.Self.Host {
		gossiper.defend(state, source)
		return
	}
	entity := gossiper.members.Get(host)
	if entity == nil {
		gossiper.adopt(state, source)
		return
	}
	if !state.newerThan(entity.state) {
		gossiper.compareKnown(entity, state, source)
		return
	}
	state = gossiper.weighDeath(entity, state)
	if !state.newerThan(entity.state) {
		return
	}
	if state.Member.Incarnation > entity.state.Member.Incarnation {
		entity.records = tabulator.New[string, Record]()
	}
	gossiper.change(entity, state)
	gossiper.tell(memberRumor(host), source)
}

// adopt takes up a host that was not known. A lost one is not worth knowing,
// and taking it up would bring back what others have just forgotten.
func (gossiper *Gossiper) adopt(state State, source origin) {
	if !state.Living() {
		return
	}
	entity := newMemberEntity(state)
	gossiper.members.Put(state.Member.Host, entity)
	gossiper.startSuspicion(entity)
	gossiper.rehash(entity)
	gossiper.emit(MemberChanged{New: state})
	gossiper.tell(memberRumor(state.Member.Host), source)
}

// compareKnown handles a state that is no newer than the one known.
func (gossiper *Gossiper) compareKnown(entity *memberEntity, state State, source origin) {
	if entity.state.newerThan(state) {
		return
	}
	if !sameMember(entity.state.Member, state.Member) {
		entity.disputed = true
		return
	}
	gossiper.hearAgain(memberRumor(state.Member.Host), source)
}

// weighDeath turns another host's word that a member died into a suspicion when
// it comes as a surprise. After a partition each side holds the other's hosts
// for dead; taking that at its word would show every host lost for a moment and
// move every lead, although each of them refutes within a round trip.
func (gossiper *Gossiper) weighDeath(entity *memberEntity, state State) State {
	if state.Status != StatusDead || !entity.state.Living() {
		return state
	}
	half := gossiper.suspicionTimeout(entity) / 2
	if entity.state.Status == StatusSuspect {
		if entity.suspicionStarted.Add(half).Due(gossiper.now) {
			return state
		}
		entity.suspicionEnds = min(entity.suspicionEnds, entity.suspicionStarted.Add(half))
		gossiper.nextSuspicion = min(gossiper.nextSuspicion, entity.suspicionEnds)
	}
	state.Status = StatusSuspect
	return state
}

// change puts a newer state in force.
func (gossiper *Gossiper) change(entity *memberEntity, state State) {
	old := entity.state
	entity.state = state
	entity.disputed = false
	entity.suspicionEnds = identifier.Never
	entity.raised = false
	entity.forgetAt = identifier.Never
	gossiper.startSuspicion(entity)
	if !state.Living() {
		entity.forgetAt = gossiper.now.Add(gossiper.Settings.ForgetAfter)
		gossiper.nextForget = min(gossiper.nextForget, entity.forgetAt)
	}
	gossiper.rehash(entity)
	visible := old.Status != state.Status || old.Member.Incarnation != state.Member.Incarnation
	if visible {
		gossiper.emit(MemberChanged{Old: &old, New: state})
	}
	if state.Status == StatusAlive {
		gossiper.dropProbes(state.Member.Host)
	}
	if old.Status == StatusSuspect && state.Status == StatusAlive {
		gossiper.growPatience(entity)
	}
	if !old.Living() && state.Living() {
		gossiper.syncWithReturned(state.Member)
	}
}

// defend answers another host's word about this host. Whatever is newer than or
// contradicts the truth is overruled by a higher refutation, or by a higher
// incarnation if it stems from an earlier process of the same name.
func (gossiper *Gossiper) defend(state State, source origin) {
	self := gossiper.self()
	mine := self.state
	older := mine.newerThan(state)
	same := !older && !state.newerThan(mine)
	switch {
	case older:
		return
	case same && sameMember(mine.Member, state.Member):
		gossiper.hearAgain(memberRumor(gossiper.Self.Host), source)
		return
	case same || state.Member.Incarnation > mine.Member.Incarnation:
		gossiper.Self.Incarnation = state.Member.Incarnation + 1
		self.state.Member = gossiper.Self
		self.state.Refutation = 0
		gossiper.tellOwnRecords()
	default:
		self.state.Refutation = state.Refutation + 1
	}
	gossiper.rehash(self)
	gossiper.tell(memberRumor(gossiper.Self.Host), originated)
}

func (gossiper *Gossiper) tellOwnRecords() {
	gossiper.self().records.Each(func(key string, _ *Record) bool {
		gossiper.tell(recordRumor(gossiper.Self.Host, key), originated)
		return true
	})
}

// mergeRecord takes another host's word about a member's record if it is newer
// and belongs to the incarnation known here.
func (gossiper *Gossiper) mergeRecord(told MemberRecord, source origin) {
	entity := gossiper.members.Get(told.Host)
	if entity == nil || entity.state.Member.Incarnation != told.Incarnation {
		return
	}
	old := entity.records.Get(told.Record.Key)
	if told.Host == gossiper.Self.Host {
		gossiper.defendRecord(old, told.Record)
		return
	}
	key := recordRumor(told.Host, told.Record.Key)
	switch compareRecords(told.Record, old) {
	case 0:
		gossiper.hearAgain(key, source)
	case 1:
		gossiper.putRecord(entity, told.Record)
		gossiper.emit(RecordChanged{Host: told.Host, Record: told.Record})
		gossiper.tell(key, source)
	}
}

// defendRecord overrules a record of this host that is newer than its own: one
// that an earlier process of the same incarnation published.
func (gossiper *Gossiper) defendRecord(mine *Record, told Record) {
	if compareRecords(told, mine) <= 0 {
		return
	}
	truth := Record{Key: told.Key, Version: told.Version + 1}
	if mine != nil {
		truth.Value = mine.Value
	}
	gossiper.putRecord(gossiper.self(), truth)
	gossiper.tell(recordRumor(gossiper.Self.Host, told.Key), originated)
}

// mergeCluster takes a cluster-wide record if it is newer.
func (gossiper *Gossiper) mergeCluster(record Record, source origin) {
	old := gossiper.cluster.Get(record.Key)
	key := rumorKey{kind: rumorCluster, key: record.Key}
	switch compareRecords(record, old) {
	case 0:
		gossiper.hearAgain(key, source)
	case 1:
		if old != nil {
			gossiper.digest ^= hashRecord(*old)
		}
		gossiper.digest ^= hashRecord(record)
		gossiper.cluster.Put(record.Key, &record)
		gossiper.emit(RecordChanged{Record: record})
		gossiper.tell(key, source)
	}
}

// compareRecords orders two records of one key. Equal versions with different
// values come only from a caller's mistake; the order of bytes then makes all
// hosts agree.
func compareRecords(told Record, known *Record) int {
	switch {
	case known == nil || told.Version > known.Version:
		return 1
	case told.Version < known.Version:
		return -1
	default:
		return bytes.Compare(told.Value, known.Value)
	}
}

func sameMember(first, second Member) bool {
	return first.FailureDomain == second.FailureDomain && first.Region == second.Region &&
		first.Addresses == second.Addresses && slices.Equal(first.Roles, second.Roles)
}
