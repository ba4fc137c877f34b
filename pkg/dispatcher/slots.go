package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// freeSlots passes the usable servers of a cell to its selection policy.
type freeSlots struct {
	policy selector.Policy[*server]
}

func newFreeSlots(settings selector.Settings) freeSlots {
	return freeSlots{policy: selector.New[*server](settings)}
}

// update passes a server's load to the policy, or removes a server that can't be used.
func (free *freeSlots) update(server *server) {
	if !server.usable() {
		free.policy.Remove(server)
		return
	}
	free.policy.Update(server, server.load())
}

func (free *freeSlots) remove(server *server) { free.policy.Remove(server) }

// pick returns the server for the next task, or nil.
func (free *freeSlots) pick() *server {
	picked, found := free.policy.Pick()
	if !found {
		return nil
	}
	return picked
}

// slots returns the total number of free slots.
func (free *freeSlots) slots() identifier.Slots { return free.policy.Free() }

// load returns the load of the server as the cell's lead knows it. If leads share servers, the
// tasks of other leads are the busy slots of the last heartbeat minus this lead's tasks at that
// moment; otherwise all tasks are this lead's.
func (server *server) load() selector.Load {
	own := identifier.Slots(len(server.running))
	return selector.Load{
		Slots:    server.allowed,
		Busy:     own + server.others,
		Own:      own,
		Slowness: server.slowness,
		Rack:     server.rack,
	}
}
