package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Timing of operators' requests to the keepers.
const (
	petitionResend = 500 * time.Millisecond
	petitionGiveUp = 6 * time.Second
	// petitionsBound is the number of operators' requests that wait at once.
	petitionsBound = 4096
)

// petitions holds the operators' requests that wait for the keepers. A request is
// sent again, to the next keeper, until its reply comes or it is given up; the
// keepers recognise it by its request id.
type petitions struct {
	coordinator *Coordinator
	waiting     *tabulator.Table[keeper.Nonce, petition]
	timers      *tabulator.Timers[keeper.Nonce]
}

type petition struct {
	waiter  uint64
	command keeper.Command
	read    *keeper.IntentRead
	// readConfig asks for the newest configuration.
	readConfig bool
	giveUpAt   identifier.Moment
	attempts   int
}

func newPetitions(coordinator *Coordinator) *petitions {
	return &petitions{
		coordinator: coordinator,
		waiting:     tabulator.New[keeper.Nonce, petition](),
		timers:      tabulator.NewTimers[keeper.Nonce](),
	}
}

// begin sends a new request of an operator.
func (petitions *petitions) begin(request *OperatorRequest) {
	if petitions.waiting.Len() >= petitionsBound {
		petitions.coordinator.outputs.add(&OperatorAnswer{Waiter: request.Waiter, Overloaded: true})
		return
	}
	if request.Read != nil && request.Read.Stale && petitions.coordinator.keeper != nil {
		records := petitions.coordinator.keeper.ReadStale(request.Read)
		petitions.coordinator.outputs.add(&OperatorAnswer{Waiter: request.Waiter, Applied: true, Result: keeper.Result{Intents: &records}})
		return
	}
	petitions.coordinator.nextNonce++
	nonce := petitions.coordinator.nextNonce
	giveUpAt := petitions.coordinator.now.Add(petitionGiveUp)
	petitions.waiting.Put(nonce, &petition{
		waiter: request.Waiter, command: request.Command, read: request.Read, readConfig: request.ReadConfig, giveUpAt: giveUpAt,
	})
	petitions.send(nonce)
}

func (petitions *petitions) send(nonce keeper.Nonce) {
	petition := petitions.waiting.Get(nonce)
	keepers := petitions.coordinator.keepersInOrder()
	if len(keepers) > 0 {
		to := keepers[petition.attempts%len(keepers)]
		petitions.coordinator.sendRequest(to, keeper.Request{
			Origin: petitions.coordinator.Self.Host, Nonce: nonce, Command: petition.command, Read: petition.read, ReadConfig: petition.readConfig,
		})
	}
	petition.attempts++
	petitions.timers.Set(nonce, petitions.coordinator.now.Add(petitionResend))
}

// askLeader sends every waiting request to a new leader at once. The old one may
// have died with it.
func (petitions *petitions) askLeader() {
	petitions.waiting.Each(func(nonce keeper.Nonce, petition *petition) bool {
		petition.attempts = 0
		petitions.send(nonce)
		return true
	})
}

// takeReply answers the operator. A reply that says nothing final is waited out:
// the request goes to the next keeper when its timer falls due.
func (petitions *petitions) takeReply(reply *keeper.Reply) {
	petition := petitions.waiting.Get(reply.Nonce)
	if petition == nil || reply.Kind != keeper.ReplyApplied {
		return
	}
	petitions.end(reply.Nonce, &OperatorAnswer{Waiter: petition.waiter, Result: reply.Result, Applied: true})
}

func (petitions *petitions) end(nonce keeper.Nonce, answer *OperatorAnswer) {
	petitions.waiting.Remove(nonce)
	petitions.timers.Clear(nonce)
	petitions.coordinator.outputs.add(answer)
}

// expire sends what was not answered again, and gives up what waits too long.
func (petitions *petitions) expire() {
	now := petitions.coordinator.now
	petitions.timers.EachDue(now, func(nonce keeper.Nonce) {
		petition := petitions.waiting.Get(nonce)
		if petition.giveUpAt.Due(now) {
			petitions.end(nonce, &OperatorAnswer{Waiter: petition.waiter})
			return
		}
		petitions.send(nonce)
	})
}
