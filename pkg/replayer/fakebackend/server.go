// Package fakebackend is a backend server in virtual time. It keeps the rules of
// proto/backend/v1 as pkg/executor does: slots, epochs, refusals, reports, answers
// that are kept until they are acknowledged, and cancellations that come first.
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

// HeartbeatInterval is the time between two heartbeats.
const HeartbeatInterval = 500 * time.Millisecond

// failureTime is how long a task runs at a server that fails every task.
const failureTime = time.Millisecond

// World is what surrounds the server.
type World interface {
	Now() identifier.Moment
	At(moment identifier.Moment, action func())
	// ToHost sends the parts of one batch.
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
	World       World
	// StartedAt is when the process started.
	StartedAt identifier.Moment
	// FailsEveryTask and Slowdown are faults; a Slowdown of zero is none.
	FailsEveryTask bool
	Slowdown       float64

	leaving bool
	dead    bool
	links   []identifier.HostID
	cells   map[messenger.CellNumber]*cell
	tasks   map[dispatcher.TaskKey]*task
	// acknowledged holds the submissions of which answers were acknowledged, and their cells.
	acknowledged map[identifier.SubmissionID]messenger.CellNumber
	cancelled    map[dispatcher.TaskKey]bool
	outgoing     map[identifier.HostID][]dispatcher.Input
	busy         identifier.Slots
	started      int
}

// cell is who leads a cell as far as the server has seen.
type cell struct {
	epoch identifier.Epoch
	host  identifier.HostID
}

// task is one that runs, or whose answer is kept.
type task struct {
	order  int
	cell   messenger.CellNumber
	begun  identifier.Moment
	answer *dispatcher.ServerAnswer
}

// Payload returns the payload that tells a server how long the task runs.
func Payload(runTime time.Duration) []byte {
	return strconv.AppendInt(nil, int64(runTime), 10)
}

// ResultKey reads from a result which task it belongs to.
func ResultKey(result []byte) dispatcher.TaskKey {
	submission, task, _ := strings.Cut(string(result), "\n")
	return dispatcher.TaskKey{Submission: identifier.SubmissionID(submission), Task: identifier.TaskID(task)}
}

// Run begins to send heartbeats.
func (server *Server) Run() {
	server.cells = make(map[messenger.CellNumber]*cell)
	server.tasks = make(map[dispatcher.TaskKey]*task)
	server.acknowledged = make(map[identifier.SubmissionID]messenger.CellNumber)
	server.cancelled = make(map[dispatcher.TaskKey]bool)
	server.outgoing = make(map[identifier.HostID][]dispatcher.Input)
	server.beat()
}

// Die ends the process with all that runs there.
func (server *Server) Die() { server.dead = true }

func (server *Server) beat() {
	if server.dead {
		return
	}
	for _, host := range server.links {
		server.queue(host, &dispatcher.ServerHeartbeat{Server: server.ID, Busy: server.busy})
	}
	server.World.At(server.World.Now().Add(HeartbeatInterval), server.beat)
}

// Connected announces the server's complete state on a new stream.
func (server *Server) Connected(host identifier.HostID) {
	if len(server.links) >= server.Connections {
		return
	}
	server.links = append(server.links, host)
	server.announce(host)
}

func (server *Server) announce(host identifier.HostID) {
	announced := &dispatcher.ServerAnnounced{
		Server: server.ID, Incarnation: server.Incarnation, Slots: server.Slots, Leaving: server.leaving,
		Uptime: server.World.Now().Sub(server.StartedAt),
	}
	announced.Tasks, announced.Unacknowledged = server.state(func(*task) bool { return true })
	server.queue(host, announced)
}

// Disconnected drops what was not sent yet; the next Announce tells it.
func (server *Server) Disconnected(host identifier.HostID) {
	server.links = slices.DeleteFunc(server.links, func(link identifier.HostID) bool { return link == host })
	delete(server.outgoing, host)
}

// Leave says to all that the server takes no new start.
func (server *Server) Leave() {
	server.leaving = true
	for _, host := range server.links {
		server.queue(host, &dispatcher.ServerLeaving{Server: server.ID})
	}
}

// Return ends every fault of a living server. One that was leaving announces
// itself anew.
func (server *Server) Return() {
	server.FailsEveryTask, server.Slowdown = false, 0
	if !server.leaving {
		return
	}
	server.leaving = false
	for _, host := range server.links {
		server.announce(host)
	}
}

// Receive applies one batch of an entry host in the order of the protocol.
func (server *Server) Receive(host identifier.HostID, batch *dispatcher.ToServer) {
	if batch.Lead != nil {
		server.raise(host, batch.Lead.Cell, batch.Lead.Epoch)
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

func (server *Server) raise(host identifier.HostID, number messenger.CellNumber, epoch identifier.Epoch) {
	known := server.cells[number]
	if known == nil {
		known = &cell{}
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
		reported.Acknowledged, reported.ListsAcknowledged = server.acknowledgedOf(number), true
	}
	server.queue(host, reported)
}

// acknowledgedOf lists the submissions of a cell of which answers were acknowledged. A trace is
// shorter than they are remembered.
func (server *Server) acknowledgedOf(number messenger.CellNumber) []messenger.SubmissionDigest {
	var digests []messenger.SubmissionDigest
	for submission, cell := range server.acknowledged {
		if cell == number {
			digests = append(digests, messenger.DigestOf(submission))
		}
	}
	slices.Sort(digests)
	return digests
}

// state lists tasks in the order of their starts.
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
	server.raise(host, start.Cell, start.Epoch)
	server.started++
	server.busy++
	begun := server.World.Now()
	created := &task{order: server.started, cell: start.Cell, begun: begun}
	server.tasks[start.TaskKey] = created
	server.World.Started(server.ID, start)
	outcome := dispatcher.ServerAnswer{
		TaskKey: start.TaskKey,
		Result:  []byte(string(start.Submission) + "\n" + string(start.Task)),
	}
	runTime := server.runTime(start.Payload)
	if server.FailsEveryTask {
		outcome = dispatcher.ServerAnswer{TaskKey: start.TaskKey, Failed: true, Reason: "the server fails every task"}
		runTime = failureTime
	}
	server.World.At(begun.Add(runTime), func() { server.finish(created, &outcome) })
}

func (server *Server) runTime(payload []byte) time.Duration {
	nanoseconds, err := strconv.ParseInt(string(payload), 10, 64)
	if err != nil {
		panic("fakebackend: a payload that Payload has not made")
	}
	if server.Slowdown > 0 {
		return time.Duration(float64(nanoseconds) * server.Slowdown)
	}
	return time.Duration(nanoseconds)
}

func (server *Server) cancel(key dispatcher.TaskKey) {
	known := server.tasks[key]
	if known == nil {
		server.cancelled[key] = true
		return
	}
	server.finish(known, &dispatcher.ServerAnswer{TaskKey: key, Cancelled: true, Reason: "cancelled"})
}

// finish keeps the answer and sends it to the lead with the highest epoch.
func (server *Server) finish(task *task, answer *dispatcher.ServerAnswer) {
	if server.dead || task.answer != nil {
		return
	}
	answer.RunTime = server.World.Now().Sub(task.begun)
	task.answer = answer
	server.busy--
	host := server.cells[task.cell].host
	server.queue(host, &dispatcher.TasksAnswered{Server: server.ID, Answers: []dispatcher.ServerAnswer{*answer}})
}

// queue gathers what is sent to a host in one moment into one batch.
func (server *Server) queue(host identifier.HostID, part dispatcher.Input) {
	if !slices.Contains(server.links, host) {
		return
	}
	waiting := server.outgoing[host]
	if waiting == nil {
		server.World.At(server.World.Now(), func() { server.flush(host) })
	}
	if joined := joinAnswers(waiting, part); joined {
		return
	}
	server.outgoing[host] = append(waiting, part)
}

// joinAnswers adds answers to those that the batch has already.
func joinAnswers(waiting []dispatcher.Input, part dispatcher.Input) bool {
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
		server.World.ToHost(host, waiting)
	}
}
