package assembler

import (
	"context"
	"fmt"
	"net/http"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/measurer"
)

// postServerEvent counts the refusals and answers of a backend server and then posts the input.
func (daemon *Daemon) postServerEvent(ctx context.Context, input coordinator.Input) bool {
	if event, isServerEvent := input.(*coordinator.ServerEvent); isServerEvent {
		switch event := event.Event.(type) {
		case *dispatcher.TasksRefused:
			daemon.measurer.StartsRefused(len(event.Refusals))
		case *dispatcher.TasksAnswered:
			daemon.measurer.TasksAnswered(len(event.Answers))
		}
	}
	return daemon.runner.Post(ctx, input)
}

// gauges requests the current counts of jobs and tasks from the coordinator. The coordinator's counts
// are 0 if the request ends first.
func (daemon *Daemon) gauges(request *http.Request) measurer.Gauges {
	gauges := measurer.Gauges{Waiting: daemon.receiver.WaitingRequests(), WaitingBytes: daemon.receiver.WaitingBytes()}
	if daemon.journalWriter != nil {
		daemon.journalWriter.fillGauges(&gauges)
	}
	output := daemon.operations.await(request.Context(), func(waiter uint64) coordinator.Input {
		return &coordinator.StatusWanted{Waiter: waiter}
	})
	if answer, answered := output.(*coordinator.StatusAnswer); answered {
		gauges.Queued = answer.Status.Work.Queued
		gauges.Running = answer.Status.Work.Running
		for _, cell := range answer.Status.Cells {
			if cell.Lead == answer.Status.Host {
				gauges.LedCells++
			}
		}
		overload := &answer.Status.Overload
		gauges.Overloaded, gauges.RejectedFraction, gauges.Overloads = overload.Overloaded, overload.Fraction, overload.Overloads
		gauges.OverloadRejectedJobs, gauges.OverloadRejectedRequests = overload.RejectedJobs, overload.RejectedRequests
		gauges.ServerSpeeds = meanSpeeds(answer.Status.KindSpeeds)
	}
	return gauges
}

// maxSpeedLabels bounds the kinds of backend servers with a speed of their own in the gauges.
const maxSpeedLabels = 16

// meanSpeeds returns the mean speed of each kind over the cells.
func meanSpeeds(kinds []allocator.KindSpeed) map[string]identifier.Speed {
	servers, sums := make(map[string]int), make(map[string]int)
	for _, kind := range kinds {
		name := fmt.Sprintf("%s/%s/%d", kind.Service, kind.Label, kind.MilliCPU)
		if _, known := servers[name]; !known && len(servers) >= maxSpeedLabels {
			name = "others"
		}
		servers[name] += kind.Servers
		sums[name] += kind.Servers * int(kind.Speed)
	}
	speeds := make(map[string]identifier.Speed, len(servers))
	for name, count := range servers {
		speeds[name] = identifier.Speed(sums[name] / count)
	}
	return speeds
}
