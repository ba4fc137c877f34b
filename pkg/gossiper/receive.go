package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

func (gossiper *Gossiper) take(input Input) {
	switch input := input.(type) {
	case MessageReceived:
		gossiper.receive(input.Message)
	case PeerConnected:
		gossiper.takeConnected(input.Host)
	case PeerConnectionClosed:
		gossiper.takeConnectionClosed(input.Host)
	case RecordSet:
		gossiper.setOwnRecord(input.Key, input.Value)
	case ClusterRecordSet:
		gossiper.mergeCluster(input.Record, originated)
	case LeaveRequested:
		gossiper.leave()
	}
}

func (gossiper *Gossiper) receive(message Message) {
	if message.From == gossiper.Self.Host || message.From == "" {
		return
	}
	gossiper.introduced = introductionIn(message)
	defer func() { gossiper.introduced = nil }()
	source := gossiper.sourceOf(message)
	for _, state := range message.States {
		gossiper.mergeState(state, source)
	}
	for _, record := range message.Records {
		gossiper.mergeRecord(record, source)
	}
	for _, record := range message.ClusterRecords {
		gossiper.mergeCluster(record, source)
	}
	switch message.Kind {
	case MessagePing:
		gossiper.answerPing(message)
	case MessageAck:
		gossiper.takeAck(message)
	case MessagePingRequest:
		gossiper.relayPing(message)
	case MessageSyncRequest:
		gossiper.answerSync(message)
	case MessageSyncReply:
		gossiper.takeSyncReply(message)
	}
}

// introductionIn returns the sender's description of itself, if there is one.
func introductionIn(message Message) *Member {
	for _, state := range message.States {
		if state.Member.Host == message.From {
			return &state.Member
		}
	}
	return nil
}

// sourceOf tells from how far a message came, which decides who passes its
// updates on.
func (gossiper *Gossiper) sourceOf(message Message) origin {
	joining := !gossiper.joined || gossiper.now.Before(gossiper.joinEnds)
	if message.Kind == MessageSyncReply && joining {
		return learnedByJoining
	}
	sender := gossiper.members.Get(message.From)
	if sender != nil && gossiper.isLocal(sender) {
		return learnedLocally
	}
	return learnedRemotely
}

func (gossiper *Gossiper) takeConnected(host identifier.HostID) {
	entity := gossiper.members.Get(host)
	if entity != nil && entity.state.Status != StatusAlive {
		gossiper.pingLost(host, entity.state.Member.Addresses.Peers)
	}
}

func (gossiper *Gossiper) takeConnectionClosed(host identifier.HostID) {
	entity := gossiper.members.Get(host)
	if entity == nil || host == gossiper.Self.Host || !entity.state.Living() {
		return
	}
	gossiper.startProbe(host, phaseHinted)
}

func (gossiper *Gossiper) setOwnRecord(key string, value []byte) {
	self := gossiper.self()
	old := self.records.Get(key)
	var version uint64
	if old != nil {
		if string(old.Value) == string(value) {
			return
		}
		version = old.Version
	}
	gossiper.putRecord(self, Record{Key: key, Version: version + 1, Value: value})
	gossiper.tell(recordRumor(gossiper.Self.Host, key), originated)
}

func (gossiper *Gossiper) leave() {
	self := gossiper.self()
	if self.state.Status == StatusLeft {
		return
	}
	self.state.Status = StatusLeft
	gossiper.rehash(self)
	gossiper.tell(memberRumor(gossiper.Self.Host), originated)
	// The process may end right after this tick, so nothing is gathered.
	gossiper.nextFlush = gossiper.now
}
