package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// freeSlots offers the usable servers of a cell to its selection policy.
type freeSlots struct {
	policy selector.Policy[*server]
}

func newFreeSlots(settings selector.Settings) freeSlots {
	return freeSlots{policy: selector.New[*server](settings)}
}

// update tells the policy a server's load, or takes it out when it can't be used.
func (free *freeSlots) update(server *server) {
	if !server.usable() {
		free.policy.Remove(server)
		return
	}
	free.policy.Update(server, server.load())
}

func (free *freeSlots) remove(server *server) { free.policy.Remove(server) }

// most returns the server for the next task, or nil.
func (free *freeSlots) most() *server {
	picked, found := free.policy.Pick()
	if !found {
		return nil
	}
	return picked
}

// slots returns how many slots are free in all.
func (free *freeSlots) slots() identifier.Slots { return free.policy.Free() }

// load returns what the cell's lead knows of the server. Where leads share
// servers, the tasks of other leads are as many as the last heartbeat told beyond
// the own ones at that moment; else all tasks are the own ones.
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
