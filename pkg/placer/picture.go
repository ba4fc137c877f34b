package placer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Room is what one worker has and has left.
type Room struct {
	Rack     identifier.RackID    `cbor:"1,keyasint,omitempty"`
	Capacity identifier.Resources `cbor:"2,keyasint,omitempty"`
	Free     identifier.Resources `cbor:"3,keyasint,omitempty"`
}

// Load is the work of one urgency.
type Load struct {
	// Running counts running tasks, Used what they are charged.
	Running int                  `cbor:"1,keyasint,omitempty"`
	Used    identifier.Resources `cbor:"2,keyasint,omitempty"`
	// Work is processor time that waits or runs: milli-cpu for one second.
	Work int64 `cbor:"3,keyasint,omitempty"`
}

// Rooms returns the workers. One that takes no new tasks has nothing left.
func (placer *Placer[P]) Rooms() []Room {
	var rooms []Room
	for position := range placer.fleet.seats {
		seat := &placer.fleet.seats[position]
		if !seat.present {
			continue
		}
		room := Room{Rack: seat.worker.Rack, Capacity: seat.worker.Capacity}
		if seat.usable {
			room.Free = placer.fleet.Free(position)
		}
		rooms = append(rooms, room)
	}
	return rooms
}

// Loads returns the work by urgency at now.
func (placer *Placer[P]) Loads(now identifier.Moment) [urgencies]Load {
	placer.prepare()
	var loads [urgencies]Load
	placer.running.Each(func(_ identifier.TaskID, running *running) bool {
		load := &loads[running.group.Urgency]
		load.Running++
		load.Used = load.Used.Add(running.charge)
		load.Work += work(running.charge, max(running.expectedEnd.Sub(now), 0))
		return true
	})
	placer.groups.Each(func(_ GroupID, group *group) bool {
		loads[group.Urgency].Work += int64(len(group.waiting)) * work(group.Need, group.RunTime)
		return true
	})
	return loads
}

func work(need identifier.Resources, runTime time.Duration) int64 {
	return int64(need.MilliCPU) * int64(runTime/time.Millisecond) / permille
}
