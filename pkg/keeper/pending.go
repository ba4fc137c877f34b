package keeper

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// pendingRequest is what waits for one proposal or read: the request itself and, for a configuration
// change, its resends.
type pendingRequest struct {
	// change is the id of the configuration change; empty for all else.
	change   identifier.RequestID
	requests []Request
}

// add adds a resend, unless the same host waits for it under the same nonce already.
func (pending *pendingRequest) add(resent Request) {
	isSame := func(known Request) bool { return known.Origin == resent.Origin && known.Nonce == resent.Nonce }
	if !slices.ContainsFunc(pending.requests, isSame) {
		pending.requests = append(pending.requests, resent.withoutCommand())
	}
}

// withoutCommand leaves out the command, which may be large and is not needed for the reply.
func (request Request) withoutCommand() Request {
	request.Command = Command{}
	return request
}

// await makes a request wait for the log and returns its handle.
func (keeper *Keeper) await(request Request) replicator.Handle {
	keeper.nextHandle++
	pending := &pendingRequest{change: request.Command.changeID(), requests: []Request{request.withoutCommand()}}
	keeper.pending.Put(keeper.nextHandle, pending)
	return keeper.nextHandle
}

// receivedChange is a request for a configuration change and what it waits for.
type receivedChange struct {
	handle  replicator.Handle
	request Request
}

// replyPending tells who sent a change in this tick that it is in the log, unless it was refused or
// applied at once.
func (keeper *Keeper) replyPending() {
	for _, received := range keeper.received {
		if keeper.pending.Get(received.handle) != nil {
			keeper.reply(&received.request, Reply{Kind: ReplyPending})
		}
	}
	keeper.received = nil
}

// changeID returns the id by which a resent change of the configuration is recognised; empty for other
// commands.
func (command *Command) changeID() identifier.RequestID {
	switch {
	case command.Change != nil:
		return command.Change.Request
	case command.Evacuation != nil:
		return command.Evacuation.Request
	default:
		return ""
	}
}
