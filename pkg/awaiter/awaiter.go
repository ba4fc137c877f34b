// Package awaiter lets requests wait for answers that come in elsewhere, by a number
// that goes with each question.
package awaiter

import (
	"context"
	"sync"
)

// Awaiter holds the requests that wait. Its zero value is ready, and it is safe for
// concurrent use.
type Awaiter[ID ~uint64, Answer any] struct {
	mutex   sync.Mutex
	last    ID
	waiting map[ID]chan Answer
}

// Await gives a request a number of its own, asks with it and waits for the answer. It
// returns false once ctx is done; an answer that comes later is dropped.
func (awaiter *Awaiter[ID, Answer]) Await(ctx context.Context, ask func(ID)) (Answer, bool) {
	id, answers := awaiter.add()
	ask(id)
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		awaiter.take(id)
		var none Answer
		return none, false
	}
}

// Answer hands an answer to the request that waits for it. It never blocks.
func (awaiter *Awaiter[ID, Answer]) Answer(id ID, answer Answer) {
	if answers, found := awaiter.take(id); found {
		answers <- answer
	}
}

// Len returns how many requests wait.
func (awaiter *Awaiter[ID, Answer]) Len() int {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	return len(awaiter.waiting)
}

func (awaiter *Awaiter[ID, Answer]) add() (ID, <-chan Answer) {
	// One place, so that who answers never waits for who asked.
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

func (awaiter *Awaiter[ID, Answer]) take(id ID) (chan<- Answer, bool) {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	answers, found := awaiter.waiting[id]
	delete(awaiter.waiting, id)
	return answers, found
}
