package supervisor

import "github.com/stoathitch/stoathitch/pkg/messenger"

// A start call without an answer may arrive late. The server of the run refuses it once the run has
// ended, but forgets that when its process ends: the next process under the server's id would start
// the run beside a later one. So the lead is notified of repeated starts, and no later run is started
// before the lead has settled them. An undated incarnation shares its id with no other.

// call makes a start call of a task's last run.
func (supervisor *Supervisor) call(task *task, start *StartRun) {
	task.start = start
	task.calledAt = supervisor.now
	supervisor.emit(start)
}

// repeatCall repeats a start call that got no answer, and notifies the lead.
func (supervisor *Supervisor) repeatCall(task *task) {
	repeated := *task.start
	repeated.Repeats++
	supervisor.call(task, &repeated)
	if task.group.lead == "" || !repeated.Server.Dated() {
		return
	}
	supervisor.emit(&ReportRepeat{To: task.group.lead, Repeat: messenger.StartRepeat{
		Start: supervisor.unsettled(task), Cell: task.group.cell.Cell,
	}})
}

// unsettled describes the start of a task's last run.
func (supervisor *Supervisor) unsettled(task *task) messenger.UnsettledStart {
	start := task.start
	return messenger.UnsettledStart{
		RunKey: start.Run, Server: start.Server, Epoch: start.Epoch, Age: supervisor.now.Sub(task.calledAt),
	}
}

// mustWithhold reports whether a granted run of a task must not be started yet, since a call for the
// last one got no answer. The lead may not know: it may have taken over since, or granted the run
// before it was notified.
func (task *task) mustWithhold(granted *messenger.GrantedRun) bool {
	return task.start != nil && task.unanswered && !granted.EarlierSettled && task.start.Server.Dated()
}
