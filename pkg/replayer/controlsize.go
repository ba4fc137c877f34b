package replayer

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// peerControlSize returns the encoded size in bytes of a message between entry hosts.
func peerControlSize(message *coordinator.PeerMessage) int {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // The daemon encodes the same types.
	}
	return len(encoded)
}

// leadSize returns the encoded size in bytes of a Lead message, 0 for nil.
func leadSize(lead *dispatcher.Lead) int {
	if lead == nil {
		return 0
	}
	return proto.Size(&backendv1.HostMessage{Lead: &backendv1.Lead{
		Cell: uint32(lead.Cell), Epoch: uint64(lead.Epoch), MayMissRecords: lead.ListAcknowledged,
	}})
}

// serverControlSize returns the encoded size in bytes of a backend server's control message,
// and 0 for other inputs.
func serverControlSize(input dispatcher.Input) int {
	switch input := input.(type) {
	case *dispatcher.ServerHeartbeat:
		return proto.Size(&backendv1.ServerMessage{Heartbeat: &backendv1.Heartbeat{Sequence: 1, Busy: int32(input.Busy)}})
	case *dispatcher.ServerLeaving:
		return proto.Size(&backendv1.ServerMessage{Leaving: &backendv1.Leaving{}})
	case *dispatcher.ServerReported:
		return proto.Size(&backendv1.ServerMessage{Report: &backendv1.Report{
			Cell: uint32(input.Cell), Epoch: uint64(input.Epoch),
			Tasks: taskStates(input.Tasks), Unacknowledged: answers(input.Unacknowledged), Acknowledged: digests(input.Acknowledged),
			TellsAcknowledged: input.ListsAcknowledged,
		}})
	case *dispatcher.ServerAnnounced:
		return proto.Size(&backendv1.ServerMessage{Announce: &backendv1.Announce{
			BackendServer: string(input.Server), Incarnation: input.Incarnation, Slots: int32(input.Slots),
			Tasks: taskStates(input.Tasks), Unacknowledged: answers(input.Unacknowledged), Leaving: input.Leaving,
			UptimeNanos: int64(input.Uptime),
		}})
	}
	return 0
}

func taskStates(keys []dispatcher.TaskKey) []*backendv1.TaskState {
	var states []*backendv1.TaskState
	for _, key := range keys {
		states = append(states, &backendv1.TaskState{Submission: string(key.Submission), Task: string(key.Task)})
	}
	return states
}

func digests(acknowledged []messenger.SubmissionDigest) []uint64 {
	var numbers []uint64
	for _, digest := range acknowledged {
		numbers = append(numbers, uint64(digest))
	}
	return numbers
}

func answers(kept []dispatcher.ServerAnswer) []*backendv1.Answer {
	var messages []*backendv1.Answer
	for _, answer := range kept {
		messages = append(messages, &backendv1.Answer{
			Submission: string(answer.Submission), Task: string(answer.Task), Result: answer.Result, RunNanos: int64(answer.RunTime),
		})
	}
	return messages
}
