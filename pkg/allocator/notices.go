package allocator

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// remote is the lead of another cell and the room that it told of.
type remote struct {
	host  identifier.HostID
	heard identifier.Moment
	// openings are when it should have room for one more task each, the earliest first,
	// less what was sent there since it told.
	openings []identifier.Moment
}

// useOpening notes that the earliest opening is taken.
func (remote *remote) useOpening() {
	if len(remote.openings) > 0 {
		remote.openings = remote.openings[1:]
	}
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
	known := allocator.remotes.Get(notice.From)
	if known == nil {
		return
	}
	known.heard = allocator.now
	if allocator.evacuated() {
		// What waits here may move there now.
		allocator.changed = true
	}
	known.openings = make([]identifier.Moment, 0, notice.Spots+len(notice.Openings))
	for range notice.Spots {
		known.openings = append(known.openings, allocator.now)
	}
	for _, delay := range notice.Openings {
		known.openings = append(known.openings, allocator.now.Add(time.Duration(delay)*time.Millisecond))
	}
}

// openingsTold bounds the openings in a notice. A usual job has eight tasks at most; the
// widest have some thirty, and are shared between several cells.
const openingsTold = 24

// notice tells what room is here beyond what waits for it.
func (allocator *Allocator) notice() messenger.RoomNotice {
	notice := messenger.RoomNotice{From: allocator.ref()}
	spots := allocator.spots()
	if spare := spots - allocator.waitingTasks; spare >= openingsTold {
		notice.Spots = spare
		return notice
	}
	openings := allocator.openings(spots, allocator.waitingTasks)
	for _, opening := range openings[:min(len(openings), openingsTold)] {
		if opening.Due(allocator.now) {
			notice.Spots++
			continue
		}
		delay := min(opening.Sub(allocator.now).Milliseconds(), math.MaxUint16)
		notice.Openings = append(notice.Openings, messenger.Delay(delay))
	}
	return notice
}

// tellNotice tells the other leads of the room here, and again while it changes.
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
	notice := allocator.notice()
	quiet := notice.Spots == allocator.told.Spots && len(notice.Openings) == 0 && len(allocator.told.Openings) == 0
	if quiet && allocator.now.Before(allocator.toldAt.Add(allocator.Settings.NoticeAge/2)) {
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
