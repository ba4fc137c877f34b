package allocator

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// remote is the lead of another cell and the capacity that its last notice reported.
type remote struct {
	host         identifier.HostID
	lastNoticeAt identifier.Moment
	// releases are when it should have capacity for one more task each, the earliest first, less
	// the tasks that were sent there since the notice.
	releases []identifier.Moment
}

// consumeRelease removes the earliest expected release, which is used now.
func (remote *remote) consumeRelease() {
	if len(remote.releases) > 0 {
		remote.releases = remote.releases[1:]
	}
}

func (allocator *Allocator) handleRemoteLead(input *RemoteLeadChanged) {
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

// ref identifies the own cell.
func (allocator *Allocator) ref() messenger.CellRef {
	return messenger.CellRef{FailureDomain: allocator.FailureDomain, Cell: allocator.Cell}
}

func (allocator *Allocator) handleNotice(notice *messenger.CapacityNotice) {
	known := allocator.remotes.Get(notice.From)
	if known == nil {
		return
	}
	known.lastNoticeAt = allocator.now
	if allocator.evacuated() {
		// What waits here may be handed off there now.
		allocator.retryPlacement = true
	}
	known.releases = make([]identifier.Moment, 0, notice.FreeSlots+len(notice.ExpectedReleases))
	for range notice.FreeSlots {
		known.releases = append(known.releases, allocator.now)
	}
	for _, delay := range notice.ExpectedReleases {
		known.releases = append(known.releases, allocator.now.Add(time.Duration(delay)*time.Millisecond))
	}
}

// maxNoticeReleases bounds the expected releases in a notice. A usual job has eight tasks at most;
// the widest have some thirty, and are spread over several cells.
const maxNoticeReleases = 24

// notice reports the capacity here beyond what the waiting tasks take.
func (allocator *Allocator) notice() messenger.CapacityNotice {
	notice := messenger.CapacityNotice{From: allocator.ref()}
	if allocator.overloaded {
		return notice
	}
	freeSlots := allocator.freeSlots()
	if spare := freeSlots - allocator.waitingTasks; spare >= maxNoticeReleases {
		notice.FreeSlots = spare
		return notice
	}
	releases := allocator.expectedReleases(freeSlots, allocator.waitingTasks)
	for _, release := range releases[:min(len(releases), maxNoticeReleases)] {
		if release.Due(allocator.now) {
			notice.FreeSlots++
			continue
		}
		delay := min(release.Sub(allocator.now).Milliseconds(), math.MaxUint16)
		notice.ExpectedReleases = append(notice.ExpectedReleases, messenger.Delay(delay))
	}
	return notice
}

// isEquivalentNotice reports whether other leads would decide the same on two notices. Where there is much
// room, its exact size doesn't matter until it has halved or doubled.
func isEquivalentNotice(first, second *messenger.CapacityNotice) bool {
	if len(first.ExpectedReleases) > 0 || len(second.ExpectedReleases) > 0 {
		return false
	}
	fewer, more := min(first.FreeSlots, second.FreeSlots), max(first.FreeSlots, second.FreeSlots)
	return fewer == more || fewer >= maxNoticeReleases && more <= 2*fewer
}

// sendNotice notifies the other leads of the capacity here, again while it changes, and at half of
// NoticeAge in any case.
//
// Where no backend servers are called there is nothing to report, and the hosts send each other no
// notices.
func (allocator *Allocator) sendNotice() {
	if allocator.servers.Len() == 0 {
		return
	}
	due := allocator.noticeSentAt.Add(allocator.Settings.NoticeInterval)
	timer := timerKey{kind: timerNotice}
	if !due.Due(allocator.now) {
		allocator.timers.Set(timer, due)
		return
	}
	notice := allocator.notice()
	if !allocator.handoffArrived && isEquivalentNotice(&notice, &allocator.lastNotice) && allocator.now.Before(allocator.noticeSentAt.Add(allocator.Settings.NoticeAge/2)) {
		allocator.timers.Set(timer, allocator.noticeSentAt.Add(allocator.Settings.NoticeAge/2))
		return
	}
	allocator.lastNotice = notice
	allocator.handoffArrived = false
	allocator.noticeSentAt = allocator.now
	allocator.timers.Set(timer, allocator.now.Add(allocator.Settings.NoticeAge/2))
	allocator.remotes.Each(func(_ messenger.CellRef, remote *remote) bool {
		if remote.host != "" {
			allocator.emit(&SendNotice{To: remote.host, Notice: notice})
		}
		return true
	})
}
