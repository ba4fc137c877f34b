package coordinator_test

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// intentWorld holds the workers and operators of a network and the actual runs of tasks. It checks
// that no task starts unconfirmed, runs twice at once, or runs again without being repeatable.
type intentWorld struct {
	network *network
	workers []*fakeWorker
	runs    map[identifier.TaskID][]*fakeRun
	// repeatable and confirmed say whether an intent is repeatable and whether an operator has
	// confirmed it.
	repeatable map[identifier.IntentName]bool
	confirmed  map[identifier.IntentName]bool
	waiters    uint64
	answers    map[uint64]*coordinator.OperatorAnswer
	violations []string
}

// newIntentNetwork returns a network in which every host is a keeper.
func newIntentNetwork(domains []identifier.FailureDomain, hostsEach, workersEach int) *network {
	created := &network{
		leads: make(map[identifier.FailureDomain]*fakeHost), connections: make(map[string]*connection), oracle: newOracle(),
		settings: coordinator.DefaultSettings(),
	}
	world := &intentWorld{
		network: created, runs: map[identifier.TaskID][]*fakeRun{}, answers: map[uint64]*coordinator.OperatorAnswer{},
		repeatable: map[identifier.IntentName]bool{}, confirmed: map[identifier.IntentName]bool{},
	}
	created.intents = world
	for _, domain := range domains {
		for index := range hostsEach {
			host := &fakeHost{id: identifier.HostID(fmt.Sprintf("%s-host-%d", domain, index)), domain: domain, keeper: true}
			created.hosts = append(created.hosts, host)
		}
		for index := range workersEach {
			world.workers = append(world.workers, &fakeWorker{world: world, worker: placer.Worker{
				ID:            identifier.WorkerID(fmt.Sprintf("%s-worker-%d", domain, index)),
				Rack:          identifier.RackID(fmt.Sprintf("%s-rack-%d", domain, index/2)),
				FailureDomain: domain,
				Capacity:      identifier.Resources{MilliCPU: 4000, Memory: 8 << 30},
			}})
		}
	}
	for _, host := range created.hosts {
		created.startHost(host)
	}
	for _, worker := range world.workers {
		worker.boot()
	}
	return created
}

func (world *intentWorld) attach(host *fakeHost) {
	if world == nil {
		return
	}
	for _, worker := range world.workers {
		worker.attach(host)
	}
}

func (world *intentWorld) detach(host *fakeHost) {
	if world == nil {
		return
	}
	for _, worker := range world.workers {
		worker.detach(host)
	}
}

func (world *intentWorld) carryOut(host *fakeHost, output coordinator.Output) {
	if world == nil {
		return
	}
	network := world.network
	switch output := output.(type) {
	case *coordinator.ToWorker:
		worker := world.worker(output.Worker)
		network.send(string(host.id), string(output.Worker), func() { worker.handle(output) })
	case *coordinator.OperatorAnswer:
		world.answers[output.Waiter] = output
	}
}

func (world *intentWorld) worker(id identifier.WorkerID) *fakeWorker {
	for _, worker := range world.workers {
		if worker.worker.ID == id {
			return worker
		}
	}
	return nil
}

// recordStart records a run and checks that the task was allowed to start.
func (world *intentWorld) recordStart(start planner.StartTask, run *fakeRun, worker *fakeWorker) {
	task := start.Grant.Task
	if !world.confirmed[start.Intent] {
		world.addViolation("%s started before anybody confirmed it", task)
	}
	for _, former := range world.runs[task] {
		if !former.ended {
			world.addViolation("%s runs twice at once, now on %s", task, worker.worker.ID)
		}
		if !world.repeatable[start.Intent] {
			world.addViolation("%s is not repeatable and runs again", task)
		}
	}
	world.runs[task] = append(world.runs[task], run)
}

func (world *intentWorld) addViolation(format string, arguments ...any) {
	world.violations = append(world.violations, fmt.Sprintf(format, arguments...))
}

// sendCommand sends an operator's command to a host and returns the waiter under which result finds
// its answer.
func (world *intentWorld) sendCommand(host *fakeHost, command planner.Command) uint64 {
	world.waiters++
	if command.Kind == planner.CommandConfirm {
		world.confirmed[command.Name] = true
	}
	world.network.tick(host, &coordinator.OperatorRequest{Waiter: world.waiters, Command: keeper.Command{Intent: &command}})
	return world.waiters
}

// result returns the result of a command, or nil until it is applied.
func (world *intentWorld) result(waiter uint64) *planner.Result {
	answer := world.answers[waiter]
	if answer == nil || !answer.Applied {
		return nil
	}
	return answer.Result.Intent
}

// read requests an intent from a host and returns nil if there is no answer or no such intent.
func (world *intentWorld) read(host *fakeHost, name identifier.IntentName) *planner.Record {
	world.waiters++
	waiter := world.waiters
	world.network.tick(host, &coordinator.OperatorRequest{Waiter: waiter, Read: &keeper.IntentRead{Name: name}})
	world.network.advance(answerTime)
	answer := world.answers[waiter]
	if answer == nil || !answer.Applied || len(answer.Result.Intents.Records) == 0 {
		return nil
	}
	return &answer.Result.Intents.Records[0]
}

// encodedAndDecoded passes a batch through its wire encoding, as connections do.
func encodedAndDecoded(batch coordinator.PeerBatch) coordinator.PeerBatch {
	content, err := cbor.Marshal(batch)
	if err != nil {
		panic(err)
	}
	var decoded coordinator.PeerBatch
	if err := cbor.Unmarshal(content, &decoded); err != nil {
		panic(err)
	}
	return decoded
}
