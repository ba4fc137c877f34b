package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Timing of operators' requests to the keepers.
const (
	operatorRequestResend = 500 * time.Millisecond
	// operatorRequestPendingResend is the wait for the reply to a request that the leader has in its log.
	operatorRequestPendingResend = 2 * time.Second
	operatorRequestTimeout       = 6 * time.Second
	// maxOperatorRequests limits the operators' requests that wait at once.
	maxOperatorRequests = 4096
)

// operatorRequests holds the operators' requests that wait for the keepers. A request is resent to
// the next keeper until its reply arrives or it times out. The keepers recognise a resent request
// by its request id.
type operatorRequests struct {
	coordinator *Coordinator
	waiting     *tabulator.Table[keeper.Nonce, operatorRequest]
	timers      *tabulator.Timers[keeper.Nonce]
}

type operatorRequest struct {
	waiter  uint64
	command keeper.Command
	read    *keeper.IntentRead
	// readConfig requests the newest configuration.
	readConfig bool
	giveUpAt   identifier.Moment
	attempts   int
}

func newOperatorRequests(coordinator *Coordinator) *operatorRequests {
	return &operatorRequests{
		coordinator: coordinator,
		waiting:     tabulator.New[keeper.Nonce, operatorRequest](),
		timers:      tabulator.NewTimers[keeper.Nonce](),
	}
}

// begin sends a new request of an operator.
func (operatorRequests *operatorRequests) begin(request *OperatorRequest) {
	if operatorRequests.waiting.Len() >= maxOperatorRequests {
		operatorRequests.coordinator.outputs.add(&OperatorAnswer{Waiter: request.Waiter, Overloaded: true})
		return
	}
	if request.Read != nil && request.Read.Stale && operatorRequests.coordinator.keeper != nil {
		records := operatorRequests.coordinator.keeper.ReadStale(request.Read)
		operatorRequests.coordinator.outputs.add(&OperatorAnswer{Waiter: request.Waiter, Applied: true, Result: keeper.Result{Intents: &records}})
		return
	}
	operatorRequests.coordinator.nextNonce++
	nonce := operatorRequests.coordinator.nextNonce
	giveUpAt := operatorRequests.coordinator.now.Add(operatorRequestTimeout)
	operatorRequests.waiting.Put(nonce, &operatorRequest{
		waiter: request.Waiter, command: request.Command, read: request.Read, readConfig: request.ReadConfig, giveUpAt: giveUpAt,
	})
	operatorRequests.send(nonce)
}

func (operatorRequests *operatorRequests) send(nonce keeper.Nonce) {
	operatorRequest := operatorRequests.waiting.Get(nonce)
	keepers := operatorRequests.coordinator.keepersInOrder()
	if len(keepers) > 0 {
		to := keepers[operatorRequest.attempts%len(keepers)]
		operatorRequests.coordinator.sendRequest(to, keeper.Request{
			Origin: operatorRequests.coordinator.Self.Host, Nonce: nonce, Command: operatorRequest.command, Read: operatorRequest.read, ReadConfig: operatorRequest.readConfig,
		})
	}
	operatorRequest.attempts++
	operatorRequests.timers.Set(nonce, operatorRequests.coordinator.now.Add(operatorRequestResend))
}

// resendToLeader sends every waiting request to a new leader at once, since the old one may have
// died with them.
func (operatorRequests *operatorRequests) resendToLeader() {
	operatorRequests.waiting.Each(func(nonce keeper.Nonce, operatorRequest *operatorRequest) bool {
		operatorRequest.attempts = 0
		operatorRequests.send(nonce)
		return true
	})
}

// handleReply answers the operator. A reply that isn't final leaves the request to its timer, when it
// goes to the next keeper.
func (operatorRequests *operatorRequests) handleReply(reply *keeper.Reply) {
	operatorRequest := operatorRequests.waiting.Get(reply.Nonce)
	if operatorRequest == nil {
		return
	}
	now := operatorRequests.coordinator.now
	switch reply.Kind {
	case keeper.ReplyApplied:
		operatorRequests.end(reply.Nonce, &OperatorAnswer{Waiter: operatorRequest.waiter, Result: reply.Result, Applied: true})
	case keeper.ReplyPending:
		operatorRequests.timers.Set(reply.Nonce, now.Add(operatorRequestPendingResend))
	case keeper.ReplyUnknown:
		operatorRequests.timers.Set(reply.Nonce, now.Add(operatorRequestResend))
	}
}

func (operatorRequests *operatorRequests) end(nonce keeper.Nonce, answer *OperatorAnswer) {
	operatorRequests.waiting.Remove(nonce)
	operatorRequests.timers.Clear(nonce)
	operatorRequests.coordinator.outputs.add(answer)
}

// expire resends unanswered requests and gives up those that have waited too long.
func (operatorRequests *operatorRequests) expire() {
	now := operatorRequests.coordinator.now
	operatorRequests.timers.EachDue(now, func(nonce keeper.Nonce) {
		operatorRequest := operatorRequests.waiting.Get(nonce)
		if operatorRequest.giveUpAt.Due(now) {
			operatorRequests.end(nonce, &OperatorAnswer{Waiter: operatorRequest.waiter})
			return
		}
		operatorRequests.send(nonce)
	})
}
