package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// remote is the lead of another failure domain and the room that it told of.
type remote struct {
	host   identifier.HostID
	notice messenger.RoomNotice
	heard  identifier.Moment
}

// spareSpots is how many spots a handed-over job must leave at the other lead: its
// notice is up to a notice interval old, and its own jobs come first.
const spareSpots = 2

func (allocator *Allocator) learnRemoteLead(input *RemoteLeadKnown) {
	if input.FailureDomain == allocator.FailureDomain {
		return
	}
	known := allocator.remotes.Get(input.FailureDomain)
	if known == nil {
		known = &remote{}
		allocator.remotes.Put(input.FailureDomain, known)
	}
	if known.host != input.Host {
		*known = remote{host: input.Host}
	}
}

func (allocator *Allocator) takeNotice(notice *messenger.RoomNotice) {
	if known := allocator.remotes.Get(notice.FailureDomain); known != nil {
		known.notice = *notice
		known.heard = allocator.now
	}
}

// otherLead returns the lead that a job is better off with: the job can't start here
// at once, and there is room for all its tasks elsewhere.
func (allocator *Allocator) otherLead(job *job) (identifier.HostID, bool) {
	if job.request.HandedOver {
		return "", false
	}
	wait, inTime := allocator.predict(job)
	if inTime && wait < allocator.Settings.HandOverWait {
		return "", false
	}
	var best *remote
	allocator.remotes.Each(func(_ identifier.FailureDomain, candidate *remote) bool {
		fresh := allocator.now.Sub(candidate.heard) <= allocator.Settings.NoticeAge
		spare := candidate.notice.Spots - candidate.notice.Waiting
		if candidate.host != "" && fresh && spare >= len(job.tasks)+spareSpots {
			if best == nil || spare > best.notice.Spots-best.notice.Waiting {
				best = candidate
			}
		}
		return true
	})
	if best == nil {
		return "", false
	}
	best.notice.Spots -= len(job.tasks)
	return best.host, true
}

// handOver sends a job's host to another lead.
func (allocator *Allocator) handOver(job *job, lead identifier.HostID) {
	allocator.answer(job.from, messenger.RoomAnswer{Job: job.request.Job, Kind: messenger.RoomAnswerAskOther, Lead: lead})
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionHandedOver, Job: job.request.Job, Host: lead, Tasks: len(job.tasks), Spots: allocator.spots(),
	})
	job.closed = true
	allocator.dropIfOver(job)
}

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
	notice := messenger.RoomNotice{FailureDomain: allocator.FailureDomain, Spots: allocator.spots(), Waiting: allocator.waitingTasks}
	if notice == allocator.told && allocator.now.Before(allocator.toldAt.Add(allocator.Settings.NoticeAge/2)) {
		allocator.timers.Set(timer, allocator.toldAt.Add(allocator.Settings.NoticeAge/2))
		return
	}
	allocator.told = notice
	allocator.toldAt = allocator.now
	allocator.timers.Set(timer, allocator.now.Add(allocator.Settings.NoticeAge/2))
	allocator.remotes.Each(func(_ identifier.FailureDomain, remote *remote) bool {
		if remote.host != "" {
			allocator.emit(&TellNotice{To: remote.host, Notice: notice})
		}
		return true
	})
}
