package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// maxProposalsInFlight limits the commands that wait for the keepers at once.
const maxProposalsInFlight = 256

// proposals sends the system's own commands about intents to the keepers and resends them until
// they are applied. All of them are idempotent. Reports of the same intent are merged in the queue,
// so that it doesn't grow with their number while no keeper answers.
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
	command.Wall = proposals.coordinator.wallTime()
	if command.Kind == planner.CommandProgress && proposals.mergeReport(command) {
		return
	}
	proposals.queue = append(proposals.queue, command)
	proposals.fill()
}

// mergeReport merges a report into a queued one of the same intent, and reports whether there was
// one.
func (proposals *proposals) mergeReport(command planner.Command) bool {
	for position := range proposals.queue {
		waiting := &proposals.queue[position]
		if waiting.Kind == planner.CommandProgress && waiting.Name == command.Name {
			joined := waiting.Progress.Merge(*command.Progress)
			waiting.Progress = &joined
			return true
		}
	}
	return false
}

// hasReport reports whether a progress report of an intent waits for the log.
func (proposals *proposals) hasReport(name identifier.IntentName) bool {
	isReport := func(command *planner.Command) bool {
		return command.Kind == planner.CommandProgress && command.Name == name
	}
	for position := range proposals.queue {
		if isReport(&proposals.queue[position]) {
			return true
		}
	}
	found := false
	proposals.inFlight.Each(func(_ keeper.Nonce, sent *proposal) bool {
		found = isReport(&sent.command)
		return !found
	})
	return found
}

func (proposals *proposals) fill() {
	for len(proposals.queue) > 0 && proposals.inFlight.Len() < maxProposalsInFlight {
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

// handleReply returns the command that a reply answers, or nil if it belongs to none of these or
// isn't final.
func (proposals *proposals) handleReply(reply *keeper.Reply) *planner.Command {
	sent := proposals.inFlight.Get(reply.Nonce)
	if sent == nil || reply.Kind != keeper.ReplyApplied || reply.Result.Intent == nil {
		return nil
	}
	proposals.inFlight.Remove(reply.Nonce)
	proposals.timers.Clear(reply.Nonce)
	proposals.fill()
	return &sent.command
}

// expire resends unanswered commands.
func (proposals *proposals) expire() {
	for {
		nonce, due := proposals.timers.PopDue(proposals.coordinator.now)
		if !due {
			return
		}
		proposals.send(nonce)
	}
}

// drop discards all commands, when this host may no longer send them.
func (proposals *proposals) drop() {
	for _, nonce := range proposals.inFlight.Keys() {
		proposals.timers.Clear(nonce)
		proposals.inFlight.Remove(nonce)
	}
	proposals.queue = nil
}

func (proposals *proposals) nextDeadline() identifier.Moment { return proposals.timers.Next() }
