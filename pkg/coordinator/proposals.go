package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// proposalsInFlight bounds the commands that wait for the keepers at once.
const proposalsInFlight = 256

// proposals sends the system's own commands about intents to the keepers, again and
// again until they are applied. All of them are idempotent. While no keeper answers,
// those that wait grow by what they tell and not by their number: reports of one
// intent are joined into one.
type proposals struct {
	coordinator *Coordinator
	inFlight    *tabulator.Table[keeper.Nonce, proposal]
	timers      *tabulator.Timers[keeper.Nonce]
	queue       []planner.Command
}

type proposal struct {
	command  planner.Command
	attempts int
}

func newProposals(coordinator *Coordinator) *proposals {
	return &proposals{
		coordinator: coordinator,
		inFlight:    tabulator.New[keeper.Nonce, proposal](),
		timers:      tabulator.NewTimers[keeper.Nonce](),
	}
}

// add queues a command.
func (proposals *proposals) add(command planner.Command) {
	command.Wall = proposals.coordinator.wall()
	if command.Kind == planner.CommandProgress && proposals.join(command) {
		return
	}
	proposals.queue = append(proposals.queue, command)
	proposals.fill()
}

// join adds a report to one of the same intent that still waits in the queue.
func (proposals *proposals) join(command planner.Command) bool {
	for position := range proposals.queue {
		waiting := &proposals.queue[position]
		if waiting.Kind == planner.CommandProgress && waiting.Name == command.Name {
			joined := waiting.Progress.Join(*command.Progress)
			waiting.Progress = &joined
			return true
		}
	}
	return false
}

// reports tells whether a report of an intent waits for the log.
func (proposals *proposals) reports(name identifier.IntentName) bool {
	about := func(command *planner.Command) bool {
		return command.Kind == planner.CommandProgress && command.Name == name
	}
	for position := range proposals.queue {
		if about(&proposals.queue[position]) {
			return true
		}
	}
	found := false
	proposals.inFlight.Each(func(_ keeper.Nonce, sent *proposal) bool {
		found = about(&sent.command)
		return !found
	})
	return found
}

func (proposals *proposals) fill() {
	for len(proposals.queue) > 0 && proposals.inFlight.Len() < proposalsInFlight {
		command := proposals.queue[0]
		proposals.queue = proposals.queue[1:]
		proposals.coordinator.nextNonce++
		nonce := proposals.coordinator.nextNonce
		proposals.inFlight.Put(nonce, &proposal{command: command})
		proposals.send(nonce)
	}
}

func (proposals *proposals) send(nonce keeper.Nonce) {
	sent := proposals.inFlight.Get(nonce)
	keepers := proposals.coordinator.keepersInOrder()
	if len(keepers) > 0 {
		command := sent.command
		proposals.coordinator.sendRequest(keepers[sent.attempts%len(keepers)], keeper.Request{
			Origin: proposals.coordinator.Self.Host, Nonce: nonce, Command: keeper.Command{Intent: &command},
		})
	}
	sent.attempts++
	proposals.timers.Set(nonce, proposals.coordinator.now.Add(proposals.coordinator.Settings.Intents.Resend))
}

// take returns the command that a reply answers; nil when it answers none of these
// or says nothing final.
func (proposals *proposals) take(reply *keeper.Reply) *planner.Command {
	sent := proposals.inFlight.Get(reply.Nonce)
	if sent == nil || reply.Kind != keeper.ReplyApplied || reply.Result.Intent == nil {
		return nil
	}
	proposals.inFlight.Remove(reply.Nonce)
	proposals.timers.Clear(reply.Nonce)
	proposals.fill()
	return &sent.command
}

// expire sends again what was not answered.
func (proposals *proposals) expire() {
	for {
		nonce, due := proposals.timers.PopDue(proposals.coordinator.now)
		if !due {
			return
		}
		proposals.send(nonce)
	}
}

// drop gives all commands up, when this host no longer may send them.
func (proposals *proposals) drop() {
	for _, nonce := range proposals.inFlight.Keys() {
		proposals.timers.Clear(nonce)
		proposals.inFlight.Remove(nonce)
	}
	proposals.queue = nil
}

func (proposals *proposals) nextDeadline() identifier.Moment { return proposals.timers.Next() }
