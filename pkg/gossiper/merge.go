package gossiper

import (
	"bytes"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// mergeState applies a state from another host if it is newer than the known one.
func (gossiper *Gossiper) mergeState(state State, source origin) {
	host := state.Member.Host
	if host == gossiper.Self.Host {
		gossiper.refute(state, source)
		return
	}
	entity := gossiper.members.Get(host)
	if entity == nil {
		gossiper.addMember(state, source)
		return
	}
	if !state.newerThan(entity.state) {
		gossiper.mergeNotNewer(entity, state, source)
		return
	}
	state = gossiper.downgradeDeath(entity, state)
	if !state.newerThan(entity.state) {
		return
	}
	if state.Member.Incarnation > entity.state.Member.Incarnation {
		entity.records = tabulator.New[string, Record]()
	}
	gossiper.applyState(entity, state)
	gossiper.enqueueRumor(memberRumor(host), source)
}

// addMember adds a host that was unknown. A lost one is ignored: adding it would bring back what
// other hosts have just forgotten.
func (gossiper *Gossiper) addMember(state State, source origin) {
	if !state.Living() {
		return
	}
	entity := newMemberEntity(state)
	gossiper.members.Put(state.Member.Host, entity)
	gossiper.version++
	gossiper.startSuspicion(entity)
	gossiper.updateDigest(entity)
	gossiper.emit(MemberChanged{New: state})
	gossiper.enqueueRumor(memberRumor(state.Member.Host), source)
}

// mergeNotNewer handles a state that is no newer than the known one.
func (gossiper *Gossiper) mergeNotNewer(entity *memberEntity, state State, source origin) {
	if entity.state.newerThan(state) {
		return
	}
	if !sameMember(entity.state.Member, state.Member) {
		entity.conflicting = true
		return
	}
	gossiper.recordDuplicate(memberRumor(state.Member.Host), source)
}

// downgradeDeath turns an unexpected report of a member's death into a suspicion. After a partition
// each side considers the other's hosts dead. Accepting that would mark every host dead for a moment
// and move every lead, although each host refutes within a round trip.
func (gossiper *Gossiper) downgradeDeath(entity *memberEntity, state State) State {
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

// applyState replaces the state of a member by a newer one.
func (gossiper *Gossiper) applyState(entity *memberEntity, state State) {
	old := entity.state
	entity.state = state
	gossiper.version++
	entity.conflicting = false
	entity.suspicionEnds = identifier.Never
	entity.ownProbeFailed = false
	entity.forgetAt = identifier.Never
	gossiper.startSuspicion(entity)
	if !state.Living() {
		entity.forgetAt = gossiper.now.Add(gossiper.Settings.ForgetAfter)
		gossiper.nextForget = min(gossiper.nextForget, entity.forgetAt)
	}
	gossiper.updateDigest(entity)
	visible := old.Status != state.Status || old.Member.Incarnation != state.Member.Incarnation
	if visible {
		gossiper.emit(MemberChanged{Old: &old, New: state})
	}
	if state.Status == StatusAlive {
		gossiper.dropProbes(state.Member.Host)
	}
	if old.Status == StatusSuspect && state.Status == StatusAlive {
		gossiper.extendProbeTimeout(entity)
	}
	if !old.Living() && state.Living() {
		gossiper.syncWithReturned(state.Member)
	}
}

// refute handles another host's state of this host. Whatever is newer than this host's own state or
// contradicts it is overridden by a higher refutation, or by a higher incarnation if it stems from
// an earlier process of the same name.
func (gossiper *Gossiper) refute(state State, source origin) {
	self := gossiper.self()
	own := self.state
	older := own.newerThan(state)
	same := !older && !state.newerThan(own)
	switch {
	case older:
		return
	case same && sameMember(own.Member, state.Member):
		gossiper.recordDuplicate(memberRumor(gossiper.Self.Host), source)
		return
	case same || state.Member.Incarnation > own.Member.Incarnation:
		gossiper.Self.Incarnation = state.Member.Incarnation + 1
		self.state.Member = gossiper.Self
		self.state.Refutation = 0
		gossiper.enqueueOwnRecords()
	default:
		self.state.Refutation = state.Refutation + 1
	}
	gossiper.version++
	gossiper.updateDigest(self)
	gossiper.enqueueRumor(memberRumor(gossiper.Self.Host), originated)
}

func (gossiper *Gossiper) enqueueOwnRecords() {
	gossiper.self().records.Each(func(key string, _ *Record) bool {
		gossiper.enqueueRumor(recordRumor(gossiper.Self.Host, key), originated)
		return true
	})
}

// mergeRecord applies a member's record from another host if it is newer and belongs to the
// incarnation that is known here.
func (gossiper *Gossiper) mergeRecord(received MemberRecord, source origin) {
	entity := gossiper.members.Get(received.Host)
	if entity == nil || entity.state.Member.Incarnation != received.Incarnation {
		return
	}
	old := entity.records.Get(received.Record.Key)
	if received.Host == gossiper.Self.Host {
		gossiper.refuteRecord(old, received.Record)
		return
	}
	key := recordRumor(received.Host, received.Record.Key)
	switch compareRecords(received.Record, old) {
	case 0:
		gossiper.recordDuplicate(key, source)
	case 1:
		gossiper.putRecord(entity, received.Record)
		gossiper.emit(RecordChanged{Host: received.Host, Record: received.Record})
		gossiper.enqueueRumor(key, source)
	}
}

// refuteRecord overrides a record of this host that is newer than its own: one that an earlier
// process with the same incarnation published.
func (gossiper *Gossiper) refuteRecord(own *Record, received Record) {
	if compareRecords(received, own) <= 0 {
		return
	}
	correction := Record{Key: received.Key, Version: received.Version + 1}
	if own != nil {
		correction.Value = own.Value
	}
	gossiper.putRecord(gossiper.self(), correction)
	gossiper.enqueueRumor(recordRumor(gossiper.Self.Host, received.Key), originated)
}

// mergeCluster applies a cluster-wide record if it is newer.
func (gossiper *Gossiper) mergeCluster(record Record, source origin) {
	old := gossiper.cluster.Get(record.Key)
	key := rumorKey{kind: rumorCluster, key: record.Key}
	switch compareRecords(record, old) {
	case 0:
		gossiper.recordDuplicate(key, source)
	case 1:
		if old != nil {
			gossiper.digest ^= hashRecord(*old)
		}
		gossiper.digest ^= hashRecord(record)
		gossiper.cluster.Put(record.Key, &record)
		gossiper.emit(RecordChanged{Record: record})
		gossiper.enqueueRumor(key, source)
	}
}

// compareRecords orders two records of one key. Equal versions with different values are an error of
// the publisher; comparing the bytes then makes all hosts agree.
func compareRecords(received Record, known *Record) int {
	switch {
	case known == nil || received.Version > known.Version:
		return 1
	case received.Version < known.Version:
		return -1
	default:
		return bytes.Compare(received.Value, known.Value)
	}
}

func sameMember(first, second Member) bool {
	return first.FailureDomain == second.FailureDomain && first.Region == second.Region &&
		first.Addresses == second.Addresses && slices.Equal(first.Roles, second.Roles)
}
