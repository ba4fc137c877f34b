package connector

import "sync"

// sendQueueBatches is the maximum number of batches queued for a slow peer. Further batches are
// dropped: every message between hosts is either repeated by its sender or covered by a timeout.
const sendQueueBatches = 1024

// sendQueue holds the batches for one host that wait for its connection. It takes memory only for
// what waits: a host has a queue for every other one, and sends little to most of them.
type sendQueue struct {
	// filled holds a value while batches may wait.
	filled chan struct{}

	mutex   sync.Mutex
	waiting []queuedPayload
}

func newSendQueue() *sendQueue { return &sendQueue{filled: make(chan struct{}, 1)} }

// push queues a batch and reports whether there was room.
func (sendQueue *sendQueue) push(batch queuedPayload) bool {
	sendQueue.mutex.Lock()
	full := len(sendQueue.waiting) >= sendQueueBatches
	if !full {
		sendQueue.waiting = append(sendQueue.waiting, batch)
	}
	sendQueue.mutex.Unlock()
	select {
	case sendQueue.filled <- struct{}{}:
	default:
	}
	return !full
}

// pop removes and returns the batch that waits longest, and false if there is none.
func (sendQueue *sendQueue) pop() (queuedPayload, bool) {
	sendQueue.mutex.Lock()
	defer sendQueue.mutex.Unlock()
	if len(sendQueue.waiting) == 0 {
		sendQueue.waiting = nil
		return queuedPayload{}, false
	}
	first := sendQueue.waiting[0]
	sendQueue.waiting[0] = queuedPayload{}
	sendQueue.waiting = sendQueue.waiting[1:]
	return first, true
}
