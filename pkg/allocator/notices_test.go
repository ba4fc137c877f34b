package allocator_test

import (
	"math"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Symptom: leads send tasks to a cell that has no room for minutes, and callers wait there.
// Sequence: a task of two minutes takes the only server of a cell; the lead tells the others
// when it expects the room to come free.
// Cause guarded against: a time beyond what a notice can hold comes out as a short one.
func TestNoticeOfLongRuns(t *testing.T) {
	lead := &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}
	var told *messenger.RoomNotice
	tick := func(at time.Duration, inputs ...allocator.Input) {
		for _, output := range lead.Tick(identifier.Moment(at), inputs) {
			if notice, isNotice := output.(*allocator.TellNotice); isNotice {
				told = &notice.Notice
			}
		}
	}
	needs := identifier.Resources{MilliCPU: 14000, Memory: 1 << 20}
	tick(0, &allocator.LeadTaken{Epoch: 7}, &allocator.RemoteLeadKnown{Cell: geel, Host: "host-g"})
	tick(time.Millisecond, &allocator.CardArrived{Card: messenger.ServerCard{
		Server: "s1", Service: "desk", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 1,
	}})
	tick(2*time.Millisecond, &allocator.HoldReturned{Server: "s1", Sequence: 1})
	tick(3*time.Millisecond, &allocator.RoomRequested{From: "host-b", Request: messenger.RoomRequest{
		Job: "j", Service: "desk", Queue: "slow", Attempts: 2, Stretch: 1.6, Remaining: time.Hour,
		Tasks: []messenger.RoomTask{{Needs: needs, Declared: 2 * time.Minute}},
	}})
	tick(time.Second)
	if told == nil || told.Spots != 0 || len(told.Openings) != 1 || told.Openings[0] != math.MaxUint16 {
		t.Errorf("told %+v, want one opening at the longest time that a notice holds", told)
	}
}

// TestNoticeBeforeTheFirstJob guards against a failure domain that tells of no room because it has
// never placed a task: after a start of all hosts no other one would send it any.
func TestNoticeBeforeTheFirstJob(t *testing.T) {
	load := newLoadOf(2, 4)
	load.play(0.001, time.Second)
	told := 0
	for _, output := range load.leads[1].Tick(load.now.Add(time.Second), nil) {
		if notice, isNotice := output.(*allocator.TellNotice); isNotice {
			told = notice.Notice.Spots
		}
	}
	if told == 0 {
		t.Error("no room is told of, though no server has anything to do")
	}
}
