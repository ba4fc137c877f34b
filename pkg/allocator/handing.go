package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// remote is the lead of another cell and the room that it told of.
type remote struct {
	host   identifier.HostID
	notice messenger.RoomNotice
	heard  identifier.Moment
}

func (allocator *Allocator) learnRemoteLead(input *RemoteLeadKnown) {
	if input.Cell == allocator.ref() {
		return
	}
	known := allocator.remotes.Get(input.Cell)
	if known == nil {
		known = &remote{}
		allocator.remotes.Put(input.Cell, known)
	}
	if known.host != input.Host {
		*known = remote{host: input.Host}
	}
}

// ref names the own cell.
func (allocator *Allocator) ref() messenger.CellRef {
	return messenger.CellRef{FailureDomain: allocator.FailureDomain, Cell: allocator.Cell}
}

func (allocator *Allocator) takeNotice(notice *messenger.RoomNotice) {
	if known := allocator.remotes.Get(notice.From); known != nil {
		known.notice = *notice
		known.heard = allocator.now
	}
}

// spare is how many spots a lead had left when it last told, less what was sent there.
func (remote *remote) spare() int { return remote.notice.Spots - remote.notice.Waiting }

// tellNotice tells the other leads of the room here when it has changed, and now and
// then when it has not, so that they know it still holds.
//
// Where no backend servers are called there is nothing to tell, and hosts send each
// other no more than before.
func (allocator *Allocator) tellNotice() {
	if allocator.servers.Len() == 0 {
		return
	}
	due := allocator.toldAt.Add(allocator.Settings.NoticeInterval)
	timer := timerKey{kind: timerNotice}
	if !due.Due(allocator.now) {
		allocator.timers.Set(timer, due)
		return
	}
	notice := messenger.RoomNotice{From: allocator.ref(), Spots: allocator.spots(), Waiting: allocator.waitingTasks}
	if notice == allocator.told && allocator.now.Before(allocator.toldAt.Add(allocator.Settings.NoticeAge/2)) {
		allocator.timers.Set(timer, allocator.toldAt.Add(allocator.Settings.NoticeAge/2))
		return
	}
	allocator.told = notice
	allocator.toldAt = allocator.now
	allocator.timers.Set(timer, allocator.now.Add(allocator.Settings.NoticeAge/2))
	allocator.remotes.Each(func(_ messenger.CellRef, remote *remote) bool {
		if remote.host != "" {
			allocator.emit(&TellNotice{To: remote.host, Notice: notice})
		}
		return true
	})
}
