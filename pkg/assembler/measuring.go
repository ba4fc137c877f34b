package assembler

import (
	"context"
	"net/http"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
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
	}
	return gauges
}
