package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// SpillSettings configures when a job is handed to another failure domain.
type SpillSettings struct {
	// RoundTrip and Margin together are the wait at home above which a job is spilled.
	RoundTrip time.Duration
	Margin    time.Duration
	// SpareShare is how many slots the other lead must have free beyond the job's tasks, as a share
	// of the home's slots.
	SpareShare float64
	// NoticeInterval is the minimum time between two load notices of a cell.
	NoticeInterval time.Duration
	// RecordWait is how long a second host may take to record that a job is spilled before the
	// job stays at home.
	RecordWait time.Duration
	// QueryInterval is the interval at which the home lead queries a spilled job.
	QueryInterval time.Duration
}

// DefaultSpillSettings returns the settings that the daemon starts from.
func DefaultSpillSettings() SpillSettings {
	return SpillSettings{
		RoundTrip:      2 * time.Millisecond,
		Margin:         5 * time.Millisecond,
		SpareShare:     1.0 / 32,
		NoticeInterval: 20 * time.Millisecond,
		RecordWait:     200 * time.Millisecond,
		QueryInterval:  5 * time.Second,
	}
}

// remoteKey identifies a cell of another failure domain.
type remoteKey struct {
	failureDomain identifier.FailureDomain
	cell          messenger.CellNumber
}

// remote is the last known lead of a cell in another failure domain.
type remote struct {
	key         remoteKey
	host        identifier.HostID
	epoch       identifier.Epoch
	unreachable bool
	// free is the number of free slots in its last notice minus the tasks spilled since.
	free identifier.Slots
}

func (dispatcher *Dispatcher) recordRemoteLead(input *RemoteLeadChanged) {
	key := remoteKey{failureDomain: input.Notice.FailureDomain, cell: input.Notice.Cell}
	known := dispatcher.remotes.Get(key)
	switch {
	case input.Notice.Host == "":
		dispatcher.markRemoteUnreachable(known)
	case known == nil || input.Notice.Epoch > known.epoch:
		known = &remote{key: key, host: input.Notice.Host, epoch: input.Notice.Epoch}
		dispatcher.remotes.Put(key, known)
		dispatcher.resyncRemote(known)
	case input.Notice.Epoch == known.epoch && known.unreachable:
		known.unreachable = false
		dispatcher.resyncRemote(known)
	}
}

// resyncRemote sends the cell's load to a lead that is new or has returned, and queries it for the
// jobs that were handed to its cell.
func (dispatcher *Dispatcher) resyncRemote(remote *remote) {
	if cell := dispatcher.cells.Get(remote.key.cell); cell != nil {
		cell.announcedFree = -1
	}
	dispatcher.resendSpills(remote)
	if cell := dispatcher.cells.Get(remote.key.cell); cell != nil {
		dispatcher.queryGuestsOf(cell, remote)
	}
}

func (dispatcher *Dispatcher) markRemoteUnreachable(remote *remote) {
	if remote == nil || remote.unreachable {
		return
	}
	remote.unreachable = true
	remote.free = 0
	dispatcher.markSpillsUnknown(remote)
	if cell := dispatcher.cells.Get(remote.key.cell); cell != nil {
		delete(cell.awaitedDomains, remote.key.failureDomain)
		dispatcher.finishTakeoverIfComplete(cell)
	}
}

// handleReconnected repeats the queries after a new connection, since messages on the old one may
// be lost.
func (dispatcher *Dispatcher) handleReconnected(input *RemoteReconnected) {
	dispatcher.remotes.Each(func(_ remoteKey, remote *remote) bool {
		if remote.host == input.Host && !remote.unreachable {
			dispatcher.resyncRemote(remote)
		}
		return true
	})
}

func (dispatcher *Dispatcher) recordLoad(input *LoadAnnounced) {
	key := remoteKey{failureDomain: input.Notice.FailureDomain, cell: input.Notice.Cell}
	if remote := dispatcher.remotes.Get(key); remote != nil && remote.host == input.From {
		remote.free = input.Notice.FreeSlots
	}
}

// announceLoad announces the number of free slots to the leads of other failure domains when it has
// changed, at most once per NoticeInterval.
func (dispatcher *Dispatcher) announceLoad() {
	if dispatcher.remotes.Len() == 0 {
		return
	}
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		if cell.ready {
			dispatcher.announceCellLoad(cell)
		}
		return true
	})
}

func (dispatcher *Dispatcher) announceCellLoad(cell *cell) {
	free := cell.free.slots()
	if cell.queue.Tasks() > 0 {
		free = 0
	}
	if free == cell.announcedFree {
		return
	}
	if due := cell.announcedAt.Add(dispatcher.Settings.Spill.NoticeInterval); cell.announcedAt > 0 && !due.Due(dispatcher.now) {
		dispatcher.timers.Set(timerKey{kind: timerLoad, cell: cell.number}, due)
		return
	}
	cell.announcedFree = free
	cell.announcedAt = dispatcher.now
	notice := messenger.LoadNotice{FailureDomain: dispatcher.FailureDomain, Cell: cell.number, FreeSlots: free}
	dispatcher.remotes.Each(func(key remoteKey, remote *remote) bool {
		if key.cell == cell.number && !remote.unreachable {
			dispatcher.outputs.add(&AnnounceLoad{To: remote.host, Notice: notice})
		}
		return true
	})
}
