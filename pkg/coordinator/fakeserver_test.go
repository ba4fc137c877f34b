package coordinator_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// fakeServer is a backend server that follows the protocol of backend.proto. A task's payload is
// its run time.
type fakeServer struct {
	network     *network
	id          identifier.BackendServerID
	domain      identifier.FailureDomain
	rack        identifier.RackID
	slots       identifier.Slots
	incarnation uint64
	startedAt   identifier.Moment
	alive       bool
	leaving     bool
	// silent suppresses everything that the server would send.
	silent bool
	// failing makes every task fail after one millisecond.
	failing bool
	epochs  map[messenger.CellNumber]identifier.Epoch
	leads   map[messenger.CellNumber]*fakeHost
	tasks   map[dispatcher.TaskKey]messenger.CellNumber
	// acknowledged are the submissions whose answers were acknowledged.
	acknowledged map[messenger.SubmissionDigest]bool
	finished     map[dispatcher.TaskKey]dispatcher.ServerAnswer
	cancelled    map[dispatcher.TaskKey]bool
}

// boot starts a new process of the server, without any state of the previous one.
func (server *fakeServer) boot() {
	server.incarnation++
	server.startedAt = server.network.now
	server.alive = true
	server.leaving = false
	server.silent = false
	server.epochs = make(map[messenger.CellNumber]identifier.Epoch)
	server.leads = make(map[messenger.CellNumber]*fakeHost)
	server.tasks = make(map[dispatcher.TaskKey]messenger.CellNumber)
	server.acknowledged = make(map[messenger.SubmissionDigest]bool)
	server.finished = make(map[dispatcher.TaskKey]dispatcher.ServerAnswer)
	server.cancelled = make(map[dispatcher.TaskKey]bool)
	for _, host := range server.network.hosts {
		server.attach(host)
	}
	server.sendHeartbeat(server.incarnation)
}

func (server *fakeServer) crash() {
	server.alive = false
	for _, host := range server.network.hosts {
		server.detach(host)
	}
}

func (server *fakeServer) attach(host *fakeHost) {
	link := server.network.connection(string(host.id), string(server.id))
	if !server.alive || host.coordinator == nil || link.open || host.domain != server.domain {
		return
	}
	link.open = true
	server.send(host, &dispatcher.ServerAnnounced{
		Server:         server.id,
		Incarnation:    server.incarnation,
		Uptime:         server.network.now.Sub(server.startedAt),
		Rack:           server.rack,
		Slots:          server.slots,
		Leaving:        server.leaving,
		Tasks:          server.running(),
		Unacknowledged: server.unacknowledged(),
	})
}

// detach ends the stream to a host; the host notices.
func (server *fakeServer) detach(host *fakeHost) {
	link := server.network.connection(string(host.id), string(server.id))
	if !link.open {
		return
	}
	link.open = false
	link.generation++
	server.network.serverEvent(host, &dispatcher.ServerLost{Server: server.id})
}

func (server *fakeServer) send(host *fakeHost, events ...dispatcher.Input) {
	if server.silent {
		return
	}
	server.network.send(string(host.id), string(server.id), func() {
		for _, event := range events {
			server.network.serverEvent(host, event)
		}
	})
}

func (server *fakeServer) sendHeartbeat(incarnation uint64) {
	if !server.alive || server.incarnation != incarnation {
		return
	}
	for _, host := range server.network.hosts {
		server.send(host, &dispatcher.ServerHeartbeat{Server: server.id, Busy: identifier.Slots(len(server.tasks))})
	}
	server.network.at(time.Second, func() { server.sendHeartbeat(incarnation) })
}

func (server *fakeServer) leave() {
	server.leaving = true
	for _, host := range server.network.hosts {
		server.send(host, &dispatcher.ServerLeaving{Server: server.id})
	}
}

func (server *fakeServer) handle(host *fakeHost, batch *dispatcher.ToServer) {
	if server.silent {
		return
	}
	if batch.Lead != nil {
		server.acceptLead(host, batch.Lead)
	}
	for _, key := range batch.Cancels {
		server.cancel(key)
	}
	for _, start := range batch.Starts {
		server.start(host, start)
	}
	for _, key := range batch.Acknowledged {
		delete(server.finished, key)
		server.acknowledged[messenger.DigestOf(key.Submission)] = true
	}
}

func (server *fakeServer) acceptLead(host *fakeHost, lead *dispatcher.Lead) {
	if lead.Epoch >= server.epochs[lead.Cell] {
		server.epochs[lead.Cell] = lead.Epoch
		server.leads[lead.Cell] = host
	}
	report := &dispatcher.ServerReported{
		Server:         server.id,
		Cell:           lead.Cell,
		Epoch:          server.epochs[lead.Cell],
		Tasks:          server.running(),
		Unacknowledged: server.unacknowledged(),
	}
	if lead.ListAcknowledged {
		report.Acknowledged, report.ListsAcknowledged = slices.Sorted(maps.Keys(server.acknowledged)), true
	}
	server.send(host, report)
}

func (server *fakeServer) start(host *fakeHost, start dispatcher.Start) {
	if _, running := server.tasks[start.TaskKey]; running {
		return
	}
	if answer, ended := server.finished[start.TaskKey]; ended {
		server.send(host, &dispatcher.TasksAnswered{Server: server.id, Answers: []dispatcher.ServerAnswer{answer}})
		return
	}
	if kind := server.refusal(start); kind != dispatcher.RefusalUnspecified {
		refusals := []dispatcher.ServerRefusal{{TaskKey: start.TaskKey, Kind: kind}}
		server.send(host, &dispatcher.TasksRefused{Server: server.id, Refusals: refusals})
		return
	}
	server.tasks[start.TaskKey] = start.Cell
	server.network.oracle.recordStart(start.TaskKey, server.id)
	if allowed := server.network.mayStart; allowed != nil && !allowed(server.domain) {
		server.network.oracle.addViolation("%v starts on %s, whose failure domain is evacuated", start.TaskKey, server.id)
	}
	runTime, _ := time.ParseDuration(string(start.Payload))
	if server.failing {
		runTime = time.Millisecond
	}
	incarnation := server.incarnation
	server.network.at(runTime, func() {
		if _, running := server.tasks[start.TaskKey]; running && server.incarnation == incarnation && server.alive {
			server.finish(dispatcher.ServerAnswer{TaskKey: start.TaskKey, Failed: server.failing, Result: start.Payload, RunTime: runTime})
		}
	})
}

func (server *fakeServer) refusal(start dispatcher.Start) dispatcher.RefusalKind {
	switch {
	case start.Epoch < server.epochs[start.Cell]:
		return dispatcher.RefusalStaleEpoch
	case server.leaving:
		return dispatcher.RefusalLeaving
	case server.cancelled[start.TaskKey]:
		return dispatcher.RefusalCancelled
	case len(server.tasks) >= int(server.slots):
		return dispatcher.RefusalNoFreeSlot
	default:
		return dispatcher.RefusalUnspecified
	}
}

func (server *fakeServer) cancel(key dispatcher.TaskKey) {
	if _, running := server.tasks[key]; running {
		server.finish(dispatcher.ServerAnswer{TaskKey: key, Cancelled: true})
		return
	}
	server.cancelled[key] = true
}

func (server *fakeServer) finish(answer dispatcher.ServerAnswer) {
	cell := server.tasks[answer.TaskKey]
	delete(server.tasks, answer.TaskKey)
	server.finished[answer.TaskKey] = answer
	if lead := server.leads[cell]; lead != nil {
		server.send(lead, &dispatcher.TasksAnswered{Server: server.id, Answers: []dispatcher.ServerAnswer{answer}})
	}
}

func (server *fakeServer) running() []dispatcher.TaskKey {
	keys := make([]dispatcher.TaskKey, 0, len(server.tasks))
	for key := range server.tasks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func (server *fakeServer) unacknowledged() []dispatcher.ServerAnswer {
	answers := make([]dispatcher.ServerAnswer, 0, len(server.finished))
	for _, answer := range server.finished {
		answers = append(answers, answer)
	}
	slices.SortFunc(answers, func(first, second dispatcher.ServerAnswer) int {
		return compareKeys(first.TaskKey, second.TaskKey)
	})
	return answers
}

func compareKeys(first, second dispatcher.TaskKey) int {
	if order := strings.Compare(string(first.Submission), string(second.Submission)); order != 0 {
		return order
	}
	return strings.Compare(string(first.Task), string(second.Task))
}
