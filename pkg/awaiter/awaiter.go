// Package awaiter matches asynchronous answers to the requests that wait for them, by a
// correlation number that the request sends along.
package awaiter

import (
	"context"
	"sync"
)

// Awaiter keeps the pending requests by number. Its zero value is ready for use, and it is
// safe for concurrent use.
type Awaiter[ID ~uint64, Answer any] struct {
	mutex   sync.Mutex
	last    ID
	waiting map[ID]chan Answer
}

// Await assigns a new number to a request, calls send with it and waits for the answer. It
// returns false once ctx is done; an answer that arrives later is dropped.
func (awaiter *Awaiter[ID, Answer]) Await(ctx context.Context, send func(ID)) (Answer, bool) {
	id, answers := awaiter.add()
	send(id)
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		awaiter.remove(id)
		var none Answer
		return none, false
	}
}

// Answer delivers an answer to the request that waits for it, and drops it if none does. It
// never blocks.
func (awaiter *Awaiter[ID, Answer]) Answer(id ID, answer Answer) {
	if answers, found := awaiter.remove(id); found {
		answers <- answer
	}
}

// Len returns the number of pending requests.
func (awaiter *Awaiter[ID, Answer]) Len() int {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	return len(awaiter.waiting)
}

func (awaiter *Awaiter[ID, Answer]) add() (ID, <-chan Answer) {
	// A buffer of one, so that Answer never waits for the requester.
	answers := make(chan Answer, 1)
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	if awaiter.waiting == nil {
		awaiter.waiting = make(map[ID]chan Answer)
	}
	awaiter.last++
	awaiter.waiting[awaiter.last] = answers
	return awaiter.last, answers
}

func (awaiter *Awaiter[ID, Answer]) remove(id ID) (chan<- Answer, bool) {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	answers, found := awaiter.waiting[id]
	delete(awaiter.waiting, id)
	return answers, found
}
