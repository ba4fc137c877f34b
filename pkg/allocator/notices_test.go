package allocator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestNoticeOfLongRuns guards against leads that hand tasks to a cell without capacity for minutes,
// where the callers wait. A task of two minutes takes the only server of a cell, and the lead
// reports to the others when it expects the capacity to come free; a time beyond what a notice can
// hold must not come out as a short one.
func TestNoticeOfLongRuns(t *testing.T) {
	lead := &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}
	var lastNotice *messenger.CapacityNotice
	tick := func(at time.Duration, inputs ...allocator.Input) {
		for _, output := range lead.Tick(identifier.Moment(at), inputs) {
			if notice, isNotice := output.(*allocator.SendNotice); isNotice {
				lastNotice = &notice.Notice
			}
		}
	}
	needs := identifier.Resources{MilliCPU: 14000, Memory: 1 << 20}
	tick(0, &allocator.LeadTaken{Epoch: 7}, &allocator.RemoteLeadChanged{Cell: geel, Host: "host-g"})
	tick(time.Millisecond, &allocator.ReportArrived{Report: messenger.ServerReport{
		Server: "s1", Service: "desk", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 1,
	}})
	tick(2*time.Millisecond, &allocator.PollReturned{Server: "s1", Sequence: 1})
	tick(3*time.Millisecond, &allocator.CapacityRequested{From: "host-b", Request: messenger.CapacityRequest{
		Job: "j", Service: "desk", Queue: "slow", Attempts: 2, Stretch: 1.6, Remaining: time.Hour,
		Tasks: []messenger.TaskRequest{{Needs: needs, Declared: 2 * time.Minute}},
	}})
	tick(time.Second)
	if lastNotice == nil || lastNotice.FreeSlots != 0 || len(lastNotice.ExpectedReleases) != 1 || lastNotice.ExpectedReleases[0] != math.MaxUint16 {
		t.Errorf("the notice is %+v, want one expected release at the longest time that a notice holds", lastNotice)
	}
}

// TestNoticeBeforeTheFirstJob guards against a failure domain that reports no capacity because it
// has never placed a task: after a start of all hosts no other one would send it any.
func TestNoticeBeforeTheFirstJob(t *testing.T) {
	load := newLoadOf(2, 4)
	load.simulate(0.001, time.Second)
	freeSlots := 0
	for _, output := range load.leads[1].Tick(load.now.Add(time.Second), nil) {
		if notice, isNotice := output.(*allocator.SendNotice); isNotice {
			freeSlots = notice.Notice.FreeSlots
		}
	}
	if freeSlots == 0 {
		t.Error("the notice reports no capacity, although no server has anything to do")
	}
}

// roomyCell is a lead of 100 backend servers with one slot each, and counts its notices.
type roomyCell struct {
	lead    *allocator.Allocator
	notices int
}

func newRoomyCell() *roomyCell {
	roomyCell := &roomyCell{lead: &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}}
	roomyCell.tick(0, &allocator.LeadTaken{Epoch: 7}, &allocator.RemoteLeadChanged{Cell: geel, Host: "host-g"})
	for number := range 100 {
		server := identifier.ServerIncarnation(fmt.Sprintf("s%d", number))
		roomyCell.tick(time.Millisecond, &allocator.ReportArrived{Report: messenger.ServerReport{
			Server: server, Service: "desk", Address: string(server), FailureDomain: "leuven",
			Capacity: identifier.Resources{MilliCPU: 1000, Memory: 1 << 20},
		}})
		roomyCell.tick(time.Millisecond, &allocator.PollReturned{Server: server, Sequence: 1})
	}
	roomyCell.notices = 0
	return roomyCell
}

func (roomyCell *roomyCell) tick(at time.Duration, inputs ...allocator.Input) {
	for _, output := range roomyCell.lead.Tick(identifier.Moment(at), inputs) {
		if _, isNotice := output.(*allocator.SendNotice); isNotice {
			roomyCell.notices++
		}
	}
}

// request requests capacity for one task every 20 ms.
func (roomyCell *roomyCell) request(jobs int, handedOff bool) {
	for number := range jobs {
		at := time.Second + time.Duration(number)*20*time.Millisecond
		roomyCell.tick(at, &allocator.CapacityRequested{From: "host-b", Request: messenger.CapacityRequest{
			Job: identifier.JobID(fmt.Sprintf("job-%d", number)), Service: "desk", Queue: "quick", Attempts: 1, Stretch: 1.6,
			Remaining: 10 * time.Second, HandedOff: handedOff,
			Tasks: []messenger.TaskRequest{{Needs: identifier.Resources{MilliCPU: 1000, Memory: 1 << 20}, Declared: time.Minute}},
		}})
	}
}

// TestRoomyCellSendsFewNotices guards against leads that spend most of their messages on notices of
// room that nobody needs: each start and end changed the free slots, and each change went to every
// other lead.
func TestRoomyCellSendsFewNotices(t *testing.T) {
	roomyCell := newRoomyCell()
	roomyCell.request(50, false)
	if most := int(2*time.Second/allocator.DefaultSettings().NoticeAge) + 2; roomyCell.notices > most {
		t.Errorf("%d notices in a second in which half of the room is taken, want at most %d", roomyCell.notices, most)
	}
}

// TestRoomIsNoticedWhileItIsUsed guards against leads that refuse jobs although another cell has
// room: each subtracts what it hands off from the room of the last notice, and runs out of it.
func TestRoomIsNoticedWhileItIsUsed(t *testing.T) {
	roomyCell := newRoomyCell()
	roomyCell.request(40, true)
	if roomyCell.notices < 40 {
		t.Errorf("%d notices after 40 handoffs, want one after each", roomyCell.notices)
	}
}
