package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isCoordinatorInput() }

// PeerBatchArrived brings the messages that another host sent in one tick.
type PeerBatchArrived struct {
	From  identifier.HostID
	Batch PeerBatch
}

// PeerConnected tells that another host can be reached.
type PeerConnected struct{ Host Host }

// PeerDisconnected tells that the connection to another host has ended.
type PeerDisconnected struct{ Host Host }

// ServerEvent brings a message or event of a backend server.
type ServerEvent struct{ Event dispatcher.Input }

// CallerEvent brings a request of a caller.
type CallerEvent struct{ Event forwarder.Input }

// ShutdownRequested asks for a graceful shutdown: the host gives its cells away
// and answers what it has accepted.
type ShutdownRequested struct{}

func (*PeerBatchArrived) isCoordinatorInput()  {}
func (*PeerConnected) isCoordinatorInput()     {}
func (*PeerDisconnected) isCoordinatorInput()  {}
func (*ServerEvent) isCoordinatorInput()       {}
func (*CallerEvent) isCoordinatorInput()       {}
func (*ShutdownRequested) isCoordinatorInput() {}

// Output is what the owner of the coordinator carries out.
type Output interface{ isCoordinatorOutput() }

// ToPeer is the batch of one tick for another host.
type ToPeer struct {
	Host  identifier.HostID
	Batch PeerBatch
}

// ToServer is the batch of one tick for a backend server.
type ToServer struct{ Batch *dispatcher.ToServer }

// ToCaller carries an answer to a waiting request.
type ToCaller struct{ Answer *forwarder.AnswerCaller }

// Drained tells that a graceful shutdown has answered all accepted work.
type Drained struct{}

// LeadChanged tells who leads a cell now, for the log.
type LeadChanged struct{ Notice messenger.LeadNotice }

func (*ToPeer) isCoordinatorOutput()      {}
func (*ToServer) isCoordinatorOutput()    {}
func (*ToCaller) isCoordinatorOutput()    {}
func (*Drained) isCoordinatorOutput()     {}
func (*LeadChanged) isCoordinatorOutput() {}

// PeerBatch is what one host sends another in one tick.
type PeerBatch struct {
	Messages []PeerMessage `cbor:"1,keyasint"`
}

// PeerMessage is one message between hosts; exactly one field is set.
type PeerMessage struct {
	Forward           *messenger.Forward        `cbor:"1,keyasint,omitempty"`
	Answer            *messenger.JobAnswer      `cbor:"2,keyasint,omitempty"`
	AnswerReceipt     identifier.SubmissionID   `cbor:"3,keyasint,omitempty"`
	CopyRequest       []messenger.CopyRecord    `cbor:"4,keyasint,omitempty"`
	CopyReceipt       []identifier.SubmissionID `cbor:"5,keyasint,omitempty"`
	AnswerCopy        *messenger.AnswerCopy     `cbor:"6,keyasint,omitempty"`
	AnswerCopyReceipt identifier.SubmissionID   `cbor:"7,keyasint,omitempty"`
	AnswerRequest     *messenger.AnswerRequest  `cbor:"8,keyasint,omitempty"`
	TakeoverQuery     *messenger.TakeoverQuery  `cbor:"9,keyasint,omitempty"`
	TakeoverReply     *messenger.TakeoverReply  `cbor:"10,keyasint,omitempty"`
	LeadNotice        *messenger.LeadNotice     `cbor:"11,keyasint,omitempty"`
	Lookup            *messenger.Lookup         `cbor:"12,keyasint,omitempty"`
	Cancel            *messenger.Cancel         `cbor:"13,keyasint,omitempty"`
	Load              *messenger.LoadNotice     `cbor:"20,keyasint,omitempty"`
	Spill             *messenger.SpillRequest   `cbor:"21,keyasint,omitempty"`
	SpillAnswer       *messenger.JobAnswer      `cbor:"22,keyasint,omitempty"`
	SpillReceipt      identifier.SubmissionID   `cbor:"23,keyasint,omitempty"`
}

// outbox gathers the outputs of one tick, with one batch for each peer.
type outbox struct {
	outputs []Output
	byPeer  map[identifier.HostID]*ToPeer
}

func (outbox *outbox) add(output Output) { outbox.outputs = append(outbox.outputs, output) }

func (outbox *outbox) toPeer(host identifier.HostID, message PeerMessage) {
	batch, found := outbox.byPeer[host]
	if !found {
		if outbox.byPeer == nil {
			outbox.byPeer = make(map[identifier.HostID]*ToPeer)
		}
		batch = &ToPeer{Host: host}
		outbox.byPeer[host] = batch
		outbox.add(batch)
	}
	batch.Batch.Messages = append(batch.Batch.Messages, message)
}

func (outbox *outbox) drain() []Output {
	outputs := outbox.outputs
	outbox.outputs = nil
	clear(outbox.byPeer)
	return outputs
}
