package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// SpillSettings says when a job is handed to another failure domain.
type SpillSettings struct {
	// RoundTrip and Margin are by how much the wait at home must be longer.
	RoundTrip time.Duration
	Margin    time.Duration
	// SpareShare is how many slots the other lead must have free beyond the job's
	// tasks, as a share of the home's slots.
	SpareShare float64
	// NoticeInterval is the least time between two load notices of a cell.
	NoticeInterval time.Duration
	// RecordWait is how long a second host may take to remember that a job is handed
	// over before the job stays at home.
	RecordWait time.Duration
	// AskAgain is how often the home asks for a job that was handed over.
	AskAgain time.Duration
}

// DefaultSpillSettings returns the settings that the daemon starts from.
func DefaultSpillSettings() SpillSettings {
	return SpillSettings{
		RoundTrip:      2 * time.Millisecond,
		Margin:         5 * time.Millisecond,
		SpareShare:     1.0 / 32,
		NoticeInterval: 20 * time.Millisecond,
		RecordWait:     200 * time.Millisecond,
		AskAgain:       5 * time.Second,
	}
}

// remoteKey names a cell of another failure domain.
type remoteKey struct {
	failureDomain identifier.FailureDomain
	cell          messenger.CellNumber
}

// remote is the lead of a cell in another failure domain, as far as known.
type remote struct {
	key         remoteKey
	host        identifier.HostID
	epoch       identifier.Epoch
	unreachable bool
	// free is the free slots of its last notice less what was handed over since.
	free identifier.Slots
}

func (dispatcher *Dispatcher) recordRemoteLead(input *RemoteLeadKnown) {
	key := remoteKey{failureDomain: input.Notice.FailureDomain, cell: input.Notice.Cell}
	known := dispatcher.remotes.Get(key)
	switch {
	case input.Notice.Host == "":
		dispatcher.loseRemote(known)
	case known == nil || input.Notice.Epoch > known.epoch:
		known = &remote{key: key, host: input.Notice.Host, epoch: input.Notice.Epoch}
		dispatcher.remotes.Put(key, known)
		dispatcher.greetRemote(known)
	case input.Notice.Epoch == known.epoch && known.unreachable:
		known.unreachable = false
		dispatcher.greetRemote(known)
	}
}

// greetRemote tells a lead that is new or has come back the own load, and asks it
// for the jobs that were handed to its cell.
func (dispatcher *Dispatcher) greetRemote(remote *remote) {
	if cell := dispatcher.cells.Get(remote.key.cell); cell != nil {
		cell.toldFree = -1
	}
	dispatcher.askRemote(remote)
	if cell := dispatcher.cells.Get(remote.key.cell); cell != nil {
		dispatcher.askGuestsOf(cell, remote)
	}
}

func (dispatcher *Dispatcher) loseRemote(remote *remote) {
	if remote == nil || remote.unreachable {
		return
	}
	remote.unreachable = true
	remote.free = 0
	dispatcher.suspectSpilled(remote)
	if cell := dispatcher.cells.Get(remote.key.cell); cell != nil {
		delete(cell.awaitedDomains, remote.key.failureDomain)
		dispatcher.finishTakeoverIfComplete(cell)
	}
}

// askReconnected asks again after a new connection: what was under way on the old
// one may be lost.
func (dispatcher *Dispatcher) askReconnected(input *RemoteReconnected) {
	dispatcher.remotes.Each(func(_ remoteKey, remote *remote) bool {
		if remote.host == input.Host && !remote.unreachable {
			dispatcher.greetRemote(remote)
		}
		return true
	})
}

func (dispatcher *Dispatcher) recordLoad(input *LoadNoticed) {
	key := remoteKey{failureDomain: input.Notice.FailureDomain, cell: input.Notice.Cell}
	if remote := dispatcher.remotes.Get(key); remote != nil && remote.host == input.From {
		remote.free = input.Notice.Free
	}
}

// tellLoad tells the leads of other failure domains how many slots have nothing to
// do, when that has changed and not too often.
func (dispatcher *Dispatcher) tellLoad() {
	if dispatcher.remotes.Len() == 0 {
		return
	}
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		if cell.ready {
			dispatcher.tellCellLoad(cell)
		}
		return true
	})
}

func (dispatcher *Dispatcher) tellCellLoad(cell *cell) {
	free := cell.free.slots()
	if cell.queue.Tasks() > 0 {
		free = 0
	}
	if free == cell.toldFree {
		return
	}
	if due := cell.toldAt.Add(dispatcher.Settings.Spill.NoticeInterval); cell.toldAt > 0 && !due.Due(dispatcher.now) {
		dispatcher.timers.Set(timerKey{kind: timerLoad, cell: cell.number}, due)
		return
	}
	cell.toldFree = free
	cell.toldAt = dispatcher.now
	notice := messenger.LoadNotice{FailureDomain: dispatcher.FailureDomain, Cell: cell.number, Free: free}
	dispatcher.remotes.Each(func(key remoteKey, remote *remote) bool {
		if key.cell == cell.number && !remote.unreachable {
			dispatcher.outputs.add(&LoadTold{To: remote.host, Notice: notice})
		}
		return true
	})
}
