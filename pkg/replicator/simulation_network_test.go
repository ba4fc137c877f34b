package replicator

import (
	"bytes"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// transmit passes a message through the codec and the network.
func (simulation *simulation) transmit(from *keeper, send Send) {
	if simulation.onSend != nil {
		simulation.onSend(from.host, send)
	}
	data, err := encodeMessage(send.Message)
	if err != nil {
		simulation.oracle.addViolation("encode: %v", err)
		return
	}
	copies := 1
	if simulation.random.IntN(1000) < simulation.lossShare {
		copies = 0
	} else if simulation.random.IntN(1000) < simulation.dupShare {
		copies = 2
	}
	for range copies {
		delay := simulation.oneWay
		if simulation.jitter > 0 {
			delay += time.Duration(simulation.random.Int64N(int64(simulation.jitter)))
		}
		simulation.schedule(simulation.now+delay, func() { simulation.deliver(from.host, send.To, data) })
	}
}

func (simulation *simulation) deliver(from, to identifier.HostID, data []byte) {
	keeper := simulation.find(to)
	if keeper == nil || simulation.cut[[2]identifier.HostID{from, to}] {
		return
	}
	message, err := decodeMessage(bytes.Clone(data))
	if err != nil {
		simulation.oracle.addViolation("decode: %v", err)
		return
	}
	simulation.input(keeper, MessageArrived{From: from, Message: message})
}

// isolate cuts a keeper off in both directions.
func (simulation *simulation) isolate(host identifier.HostID) {
	for _, other := range simulation.keepers {
		simulation.cut[[2]identifier.HostID{host, other.host}] = true
		simulation.cut[[2]identifier.HostID{other.host, host}] = true
	}
}

func (simulation *simulation) heal() { clear(simulation.cut) }

// encodeMessage returns the bytes of a message alone. The daemon sends it within its host's
// batch, with the same codec.
func encodeMessage(message Message) ([]byte, error) { return encode("encode message", message) }

func decodeMessage(data []byte) (Message, error) {
	var message Message
	err := decode("decode message", data, &message)
	return message, err
}
