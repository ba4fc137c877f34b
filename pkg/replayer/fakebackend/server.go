// Package fakebackend simulates a backend server in virtual time. It follows the rules of
// proto/backend/v1 as pkg/executor does: slots, epochs, refusals, reports, answers
// that are kept until they are acknowledged, and cancellations that precede their start.
package fakebackend

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// HeartbeatInterval is the time between two heartbeats on each connection.
const HeartbeatInterval = 500 * time.Millisecond

// failureTime is the run time of a task on a server that fails every task.
const failureTime = time.Millisecond

// Environment provides the clock and the network of the server, and observes its starts.
type Environment interface {
	Now() identifier.Moment
	At(moment identifier.Moment, action func())
	// ToHost sends one batch to an entry host.
	ToHost(host identifier.HostID, parts []dispatcher.Input)
	// Started is called when a task begins to run.
	Started(server identifier.BackendServerID, start *dispatcher.Start)
}

// Server is one process of a backend server. Set the exported fields before
// Connected is first called.
type Server struct {
	ID          identifier.BackendServerID
	Slots       identifier.Slots
	Connections int
	Incarnation uint64
	Environment Environment
	// WorkFactor multiplies run times for as long as the server exists; zero means none.
	WorkFactor float64
	// StartedAt is when the process started.
	StartedAt identifier.Moment
	// FailsEveryTask and Slowdown are faults. Slowdown multiplies run times; zero means none.
	FailsEveryTask bool
	Slowdown       float64

	leaving bool
	dead    bool
	hosts   []identifier.HostID
	cells   map[messenger.CellNumber]*cellLead
	tasks   map[dispatcher.TaskKey]*task
	// acknowledged maps each submission with acknowledged answers to its cell.
	acknowledged map[identifier.SubmissionID]messenger.CellNumber
	cancelled    map[dispatcher.TaskKey]bool
	outgoing     map[identifier.HostID][]dispatcher.Input
	busy         identifier.Slots
	startCount   int
}

// cellLead is the last known lead of a cell: the host with the highest epoch seen.
type cellLead struct {
	epoch identifier.Epoch
	host  identifier.HostID
}

// task is running, or has ended with an answer that is not acknowledged yet.
type task struct {
	order     int
	cell      messenger.CellNumber
	startedAt identifier.Moment
	answer    *dispatcher.ServerAnswer
}

// Payload returns a task payload that encodes the run time in nanoseconds.
func Payload(runTime time.Duration) []byte {
	return strconv.AppendInt(nil, int64(runTime), 10)
}

// ResultKey decodes the task's key from a result.
func ResultKey(result []byte) dispatcher.TaskKey {
	submission, task, _ := strings.Cut(string(result), "\n")
	return dispatcher.TaskKey{Submission: identifier.SubmissionID(submission), Task: identifier.TaskID(task)}
}

// Run initializes the server and starts its heartbeats.
func (server *Server) Run() {
	server.cells = make(map[messenger.CellNumber]*cellLead)
	server.tasks = make(map[dispatcher.TaskKey]*task)
	server.acknowledged = make(map[identifier.SubmissionID]messenger.CellNumber)
	server.cancelled = make(map[dispatcher.TaskKey]bool)
	server.outgoing = make(map[identifier.HostID][]dispatcher.Input)
	server.sendHeartbeats()
}

// Die ends the process and all its running tasks.
func (server *Server) Die() { server.dead = true }

func (server *Server) sendHeartbeats() {
	if server.dead {
		return
	}
	for _, host := range server.hosts {
		server.queue(host, &dispatcher.ServerHeartbeat{Server: server.ID, Busy: server.busy})
	}
	server.Environment.At(server.Environment.Now().Add(HeartbeatInterval), server.sendHeartbeats)
}

// Connected announces the server's complete state on a new stream. Streams beyond
// Connections are ignored.
func (server *Server) Connected(host identifier.HostID) {
	if len(server.hosts) >= server.Connections {
		return
	}
	server.hosts = append(server.hosts, host)
	server.announce(host)
}

func (server *Server) announce(host identifier.HostID) {
	announced := &dispatcher.ServerAnnounced{
		Server: server.ID, Incarnation: server.Incarnation, Slots: server.Slots, Leaving: server.leaving,
		Uptime: server.Environment.Now().Sub(server.StartedAt),
	}
	announced.Tasks, announced.Unacknowledged = server.state(func(*task) bool { return true })
	server.queue(host, announced)
}

// Disconnected drops unsent messages; the next Announce carries the complete state.
func (server *Server) Disconnected(host identifier.HostID) {
	server.hosts = slices.DeleteFunc(server.hosts, func(link identifier.HostID) bool { return link == host })
	delete(server.outgoing, host)
}

// Leave notifies all connected hosts that the server accepts no new starts.
func (server *Server) Leave() {
	server.leaving = true
	for _, host := range server.hosts {
		server.queue(host, &dispatcher.ServerLeaving{Server: server.ID})
	}
}

// Recover ends every fault of a running server. A server that was leaving sends its
// complete state again.
func (server *Server) Recover() {
	server.FailsEveryTask, server.Slowdown = false, 0
	if !server.leaving {
		return
	}
	server.leaving = false
	for _, host := range server.hosts {
		server.announce(host)
	}
}

// Receive applies one batch of an entry host in the order that the protocol defines.
func (server *Server) Receive(host identifier.HostID, batch *dispatcher.ToServer) {
	if batch.Lead != nil {
		server.updateLead(host, batch.Lead.Cell, batch.Lead.Epoch)
		server.report(host, batch.Lead)
	}
	var refusals []dispatcher.ServerRefusal
	var answers []dispatcher.ServerAnswer
	for index := range batch.Starts {
		start := &batch.Starts[index]
		known := server.tasks[start.TaskKey]
		switch kind := server.refusal(start); {
		case known != nil && known.answer != nil:
			answers = append(answers, *known.answer)
		case known != nil:
		case kind != dispatcher.RefusalUnspecified:
			refusals = append(refusals, dispatcher.ServerRefusal{TaskKey: start.TaskKey, Kind: kind})
		default:
			server.run(host, start)
		}
	}
	for _, key := range batch.Cancels {
		server.cancel(key)
	}
	for _, key := range batch.Acknowledged {
		if known := server.tasks[key]; known != nil && known.answer != nil {
			server.acknowledged[key.Submission] = known.cell
			delete(server.tasks, key)
		}
	}
	if refusals != nil {
		server.queue(host, &dispatcher.TasksRefused{Server: server.ID, Refusals: refusals})
	}
	if answers != nil {
		server.queue(host, &dispatcher.TasksAnswered{Server: server.ID, Answers: answers})
	}
}

func (server *Server) updateLead(host identifier.HostID, number messenger.CellNumber, epoch identifier.Epoch) {
	known := server.cells[number]
	if known == nil {
		known = &cellLead{}
		server.cells[number] = known
	}
	if epoch >= known.epoch {
		known.epoch, known.host = epoch, host
	}
}

func (server *Server) report(host identifier.HostID, lead *dispatcher.Lead) {
	number := lead.Cell
	reported := &dispatcher.ServerReported{Server: server.ID, Cell: number, Epoch: server.cells[number].epoch}
	reported.Tasks, reported.Unacknowledged = server.state(func(task *task) bool { return task.cell == number })
	if lead.ListAcknowledged {
		reported.Acknowledged, reported.ListsAcknowledged = server.acknowledgedDigests(number), true
	}
	server.queue(host, reported)
}

// acknowledgedDigests returns the sorted digests of a cell's submissions with acknowledged
// answers. They never expire, since a trace is shorter than a real server's retention of them.
func (server *Server) acknowledgedDigests(number messenger.CellNumber) []messenger.SubmissionDigest {
	var digests []messenger.SubmissionDigest
	for submission, cell := range server.acknowledged {
		if cell == number {
			digests = append(digests, messenger.DigestOf(submission))
		}
	}
	slices.Sort(digests)
	return digests
}

// state returns the running tasks and the kept answers that match, in the order of their starts.
func (server *Server) state(wanted func(*task) bool) ([]dispatcher.TaskKey, []dispatcher.ServerAnswer) {
	var keys []dispatcher.TaskKey
	for key, task := range server.tasks {
		if wanted(task) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(first, second dispatcher.TaskKey) int {
		return server.tasks[first].order - server.tasks[second].order
	})
	var running []dispatcher.TaskKey
	var kept []dispatcher.ServerAnswer
	for _, key := range keys {
		if answer := server.tasks[key].answer; answer != nil {
			kept = append(kept, *answer)
			continue
		}
		running = append(running, key)
	}
	return running, kept
}

func (server *Server) refusal(start *dispatcher.Start) dispatcher.RefusalKind {
	known := server.cells[start.Cell]
	switch {
	case known != nil && start.Epoch < known.epoch:
		return dispatcher.RefusalStaleEpoch
	case server.leaving:
		return dispatcher.RefusalLeaving
	case server.cancelled[start.TaskKey]:
		return dispatcher.RefusalCancelled
	case server.busy >= server.Slots:
		return dispatcher.RefusalNoFreeSlot
	default:
		return dispatcher.RefusalUnspecified
	}
}

func (server *Server) run(host identifier.HostID, start *dispatcher.Start) {
	server.updateLead(host, start.Cell, start.Epoch)
	server.startCount++
	server.busy++
	startedAt := server.Environment.Now()
	created := &task{order: server.startCount, cell: start.Cell, startedAt: startedAt}
	server.tasks[start.TaskKey] = created
	server.Environment.Started(server.ID, start)
	outcome := dispatcher.ServerAnswer{
		TaskKey: start.TaskKey,
		Result:  []byte(string(start.Submission) + "\n" + string(start.Task)),
	}
	runTime := server.runTime(start.Payload)
	if server.FailsEveryTask {
		outcome = dispatcher.ServerAnswer{TaskKey: start.TaskKey, Failed: true, Reason: "the server fails every task"}
		runTime = failureTime
	}
	server.Environment.At(startedAt.Add(runTime), func() { server.finish(created, &outcome) })
}

func (server *Server) runTime(payload []byte) time.Duration {
	nanoseconds, err := strconv.ParseInt(string(payload), 10, 64)
	if err != nil {
		panic("fakebackend: a payload that Payload has not made")
	}
	runTime := time.Duration(nanoseconds)
	for _, factor := range []float64{server.WorkFactor, server.Slowdown} {
		if factor > 0 {
			runTime = time.Duration(float64(runTime) * factor)
		}
	}
	return runTime
}

func (server *Server) cancel(key dispatcher.TaskKey) {
	known := server.tasks[key]
	if known == nil {
		server.cancelled[key] = true
		return
	}
	server.finish(known, &dispatcher.ServerAnswer{TaskKey: key, Cancelled: true, Reason: "cancelled"})
}

// finish keeps the answer and sends it to the cell's lead with the highest epoch.
func (server *Server) finish(task *task, answer *dispatcher.ServerAnswer) {
	if server.dead || task.answer != nil {
		return
	}
	answer.RunTime = server.Environment.Now().Sub(task.startedAt)
	task.answer = answer
	server.busy--
	host := server.cells[task.cell].host
	server.queue(host, &dispatcher.TasksAnswered{Server: server.ID, Answers: []dispatcher.ServerAnswer{*answer}})
}

// queue adds an input to the batch that is sent to the host in the current moment.
func (server *Server) queue(host identifier.HostID, part dispatcher.Input) {
	if !slices.Contains(server.hosts, host) {
		return
	}
	waiting := server.outgoing[host]
	if waiting == nil {
		server.Environment.At(server.Environment.Now(), func() { server.flush(host) })
	}
	if joined := mergeAnswers(waiting, part); joined {
		return
	}
	server.outgoing[host] = append(waiting, part)
}

// mergeAnswers appends answers to the last message of the batch and returns true, if both carry
// answers.
func mergeAnswers(waiting []dispatcher.Input, part dispatcher.Input) bool {
	added, isAnswers := part.(*dispatcher.TasksAnswered)
	if !isAnswers || len(waiting) == 0 {
		return false
	}
	last, isAnswers := waiting[len(waiting)-1].(*dispatcher.TasksAnswered)
	if isAnswers {
		last.Answers = append(last.Answers, added.Answers...)
	}
	return isAnswers
}

func (server *Server) flush(host identifier.HostID) {
	waiting := server.outgoing[host]
	delete(server.outgoing, host)
	if len(waiting) > 0 && !server.dead {
		server.Environment.ToHost(host, waiting)
	}
}
