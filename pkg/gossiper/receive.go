package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

func (gossiper *Gossiper) handleInput(input Input) {
	switch input := input.(type) {
	case MessageReceived:
		gossiper.handleMessage(input.Message)
	case PeerConnected:
		gossiper.handleConnected(input.Host)
	case PeerConnectionClosed:
		gossiper.handleConnectionClosed(input.Host)
	case RecordPublished:
		gossiper.setOwnRecord(input.Key, input.Value)
	case ClusterRecordPublished:
		gossiper.mergeCluster(input.Record, originated)
	case LeaveRequested:
		gossiper.leave()
	}
}

func (gossiper *Gossiper) handleMessage(message Message) {
	if message.From == gossiper.Self.Host || message.From == "" {
		return
	}
	gossiper.senderMember = selfDescription(message)
	defer func() { gossiper.senderMember = nil }()
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
		gossiper.handleAck(message)
	case MessagePingRequest:
		gossiper.relayPing(message)
	case MessageSyncRequest:
		gossiper.answerSync(message)
	case MessageSyncReply:
		gossiper.handleSyncReply(message)
	}
}

// selfDescription returns the sender's description of itself, or nil if the message has none.
func selfDescription(message Message) *Member {
	for _, state := range message.States {
		if state.Member.Host == message.From {
			return &state.Member
		}
	}
	return nil
}

// sourceOf returns how far away a message comes from, which decides who forwards its updates.
func (gossiper *Gossiper) sourceOf(message Message) origin {
	joining := !gossiper.joined || gossiper.now.Before(gossiper.joinSettlesAt)
	if message.Kind == MessageSyncReply && joining {
		return learnedByJoining
	}
	sender := gossiper.members.Get(message.From)
	if sender != nil && gossiper.isLocal(sender) {
		return learnedLocally
	}
	return learnedRemotely
}

func (gossiper *Gossiper) handleConnected(host identifier.HostID) {
	entity := gossiper.members.Get(host)
	if entity != nil && entity.state.Status != StatusAlive {
		gossiper.pingLost(host, entity.state.Member.Addresses.Peers)
	}
}

func (gossiper *Gossiper) handleConnectionClosed(host identifier.HostID) {
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
	gossiper.enqueueRumor(recordRumor(gossiper.Self.Host, key), originated)
}

func (gossiper *Gossiper) leave() {
	self := gossiper.self()
	if self.state.Status == StatusLeft {
		return
	}
	self.state.Status = StatusLeft
	gossiper.version++
	gossiper.updateDigest(self)
	gossiper.enqueueRumor(memberRumor(gossiper.Self.Host), originated)
	// The process may end right after this tick, so the update is sent without delay.
	gossiper.nextFlush = gossiper.now
}
