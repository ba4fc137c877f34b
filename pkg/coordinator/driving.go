package coordinator

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// drivingCell is the cell whose lead drives the workers of a failure domain.
const drivingCell messenger.CellNumber = 0

// syncsUnanswered is the number of syncs without news after which the next keeper is
// told.
const syncsUnanswered = 3

// driving runs confirmed intents on the workers of the failure domain while this
// host leads cell 0 there. The log gives it an epoch first; it begins with the
// assignments that were read afterwards, so that it starts nothing that a former
// lead has claimed.
type driving struct {
	coordinator *Coordinator
	proposals   *proposals
	// workers are those connected, whoever drives them.
	workers *tabulator.Table[identifier.WorkerID, knownWorker]
	// elected tells that this host leads the cell, epoch is what the log has given.
	elected bool
	epoch   identifier.Epoch
	// takes counts the epochs that were asked for, to name the requests.
	takes  uint64
	takeAt identifier.Moment
	// taking tells that an epoch is asked for, or will be at takeAt.
	taking bool
	syncAt identifier.Moment
	// unanswered counts the syncs since the last news.
	unanswered int
	// driver is nil until the first assignments have come.
	driver   *planner.Driver[placer.ScoredSample]
	inputs   []planner.Input
	seen     identifier.LogIndex
	assigned *tabulator.Table[identifier.IntentName, struct{}]
	batches  *tabulator.Table[identifier.WorkerID, ToWorker]
	ends     *heldEnds
}

func newDriving(coordinator *Coordinator) *driving {
	return &driving{
		coordinator: coordinator,
		proposals:   newProposals(coordinator),
		workers:     tabulator.New[identifier.WorkerID, knownWorker](),
		takeAt:      identifier.Never,
		syncAt:      identifier.Never,
	}
}

func (driving *driving) nextDeadline() identifier.Moment {
	next := identifier.Earlier(driving.takeAt, driving.syncAt)
	next = identifier.Earlier(next, driving.proposals.nextDeadline())
	if driving.driver != nil {
		next = identifier.Earlier(next, driving.driver.NextDeadline())
	}
	return next
}

func (driving *driving) leadTaken(cell messenger.CellNumber) {
	if cell == drivingCell {
		driving.elected = true
		driving.takeUp()
	}
}

// takeUp asks for an epoch soon, once this host leads the cell and there is a worker
// to drive. Deployments without workers thus pay nothing for intents.
func (driving *driving) takeUp() {
	if driving.elected && !driving.taking && driving.epoch == 0 && driving.workers.Len() > 0 {
		driving.taking = true
		driving.takeAt = driving.coordinator.now
	}
}

func (driving *driving) leadLost(cell messenger.CellNumber) {
	if cell == drivingCell {
		driving.elected = false
		driving.stop()
	}
}

// stop ends the driver. What runs goes on under its leases and is adopted by the
// next driver, or ends with them.
func (driving *driving) stop() {
	driving.epoch = 0
	driving.taking = false
	driving.driver = nil
	driving.inputs = nil
	driving.takeAt = identifier.Never
	driving.syncAt = identifier.Never
	driving.proposals.drop()
}

// fenced stops a driver whose epoch is over. If this host still leads the cell, it
// asks for a new one later: the host that has the epoch now may know better.
func (driving *driving) fenced() {
	driving.stop()
	if driving.elected {
		driving.taking = true
		driving.takeAt = driving.coordinator.now.Add(driving.coordinator.Settings.Intents.RetryLead)
	}
}

// settle carries out what is due.
func (driving *driving) settle() {
	now := driving.coordinator.now
	if driving.takeAt.Due(now) {
		driving.askForEpoch()
	}
	driving.proposals.expire()
	driving.followQuotas()
	if driving.driver == nil {
		driving.inputs = nil
	} else if len(driving.inputs) > 0 || driving.driver.NextDeadline().Due(now) {
		driving.tick(now)
	}
	if driving.syncAt.Due(now) {
		driving.sync()
	}
}

// followQuotas gives the driver its part of the quotas when that has changed.
func (driving *driving) followQuotas() {
	if driving.driver == nil {
		return
	}
	coordinator := driving.coordinator
	if changed, any := coordinator.quotas.part(coordinator.Self.FailureDomain, coordinator.intentKeeping.failureDomains()); any {
		driving.inputs = append(driving.inputs, changed)
	}
}

// askForEpoch asks the log for the next epoch of the failure domain. The request id
// makes a resend get the same one; it names the process, since the next one must not
// get the epoch of this one, whose driver may have started what it knows nothing of.
func (driving *driving) askForEpoch() {
	coordinator := driving.coordinator
	driving.takeAt = identifier.Never
	driving.takes++
	request := fmt.Sprintf("lead/%s/%d/%d", coordinator.Self.Host, coordinator.Self.Incarnation, driving.takes)
	driving.proposals.add(planner.Command{
		Kind:     planner.CommandLead,
		Request:  identifier.RequestID(request),
		Operator: planner.OperatorID(coordinator.Self.Host),
		Claim:    &planner.Claim{FailureDomain: coordinator.Self.FailureDomain},
	})
}

// takeReply takes the result of a command, if it is one of the driver's.
func (driving *driving) takeReply(reply *keeper.Reply) bool {
	command := driving.proposals.take(reply)
	if command == nil {
		return false
	}
	result := reply.Result.Intent
	switch {
	case command.Kind == planner.CommandLead && result.Kind == planner.ResultAccepted:
		driving.epoch = result.Epoch
		driving.taking = false
		driving.seen = 0
		driving.syncAt = driving.coordinator.now
	case result.Kind == planner.ResultFenced:
		driving.fenced()
	case command.Kind == planner.CommandClaim:
		accepted := result.Kind == planner.ResultAccepted
		driving.inputs = append(driving.inputs, planner.ClaimApplied{Name: command.Name, Claim: *command.Claim, Accepted: accepted})
	}
	return true
}

// sync tells the keeper that leads of the workers, and asks for what is new.
func (driving *driving) sync() {
	coordinator := driving.coordinator
	driving.syncAt = coordinator.now.Add(coordinator.Settings.Intents.SyncInterval)
	message := &IntentSync{FailureDomain: coordinator.Self.FailureDomain, Epoch: driving.epoch, Since: driving.seen}
	if driving.driver != nil {
		picture := driving.driver.Picture(coordinator.now)
		message.Picture = &picture
	}
	keepers := coordinator.keepersInOrder()
	if len(keepers) == 0 {
		return
	}
	// The keeper believed to lead may be gone without a word of who follows it.
	to := keepers[driving.unanswered/syncsUnanswered%len(keepers)]
	driving.unanswered++
	if to == coordinator.Self.Host {
		coordinator.intentKeeping.takeSync(to, message)
		return
	}
	coordinator.outputs.toPeer(to, PeerMessage{IntentSync: message})
}

// takeNews takes what the log has decided. News that are older than what this driver
// knows, or than its epoch, come from a keeper that is behind.
func (driving *driving) takeNews(news *planner.News) {
	switch {
	case driving.epoch == 0 || news.FailureDomain != driving.coordinator.Self.FailureDomain:
		return
	case news.Epoch > driving.epoch:
		driving.fenced()
		return
	case news.Epoch < driving.epoch || news.Version < driving.seen:
		return
	case news.Since > driving.seen:
		driving.syncAt = driving.coordinator.now
		return
	}
	driving.unanswered = 0
	if driving.driver == nil {
		driving.begin()
	}
	driving.seen = news.Version
	driving.coordinator.quotas.learn(news.Capacities)
	for _, assigned := range news.Changed {
		driving.assigned.Put(assigned.Name, &struct{}{})
		driving.inputs = append(driving.inputs, assigned)
	}
	active := make(map[identifier.IntentName]bool, len(news.Active))
	for _, name := range news.Active {
		active[name] = true
	}
	for _, name := range driving.assigned.Keys() {
		if !active[name] {
			driving.assigned.Remove(name)
			driving.inputs = append(driving.inputs, planner.IntentEnded{Name: name})
		}
	}
}

// begin makes the driver. The first epoch of a failure domain had no lead before it,
// so nothing has to be waited for.
func (driving *driving) begin() {
	coordinator := driving.coordinator
	settings := &coordinator.Settings.Intents
	quietUntil := coordinator.now
	if driving.epoch > 1 {
		quietUntil = quietUntil.Add(settings.Lease)
	}
	driving.driver = planner.NewDriver(placer.DefaultScoredSample(), coordinator.Self.FailureDomain, driving.epoch, settings.Lease, quietUntil)
	driving.driver.Settings = settings.Driver
	driving.followEvacuations(coordinator.evacuated())
	driving.assigned = tabulator.New[identifier.IntentName, struct{}]()
	driving.batches = tabulator.New[identifier.WorkerID, ToWorker]()
	driving.ends = newHeldEnds()
	coordinator.quotas.changed = true
	driving.workers.Each(func(id identifier.WorkerID, known *knownWorker) bool {
		driving.inputs = append(driving.inputs, planner.WorkerAnnounced{Worker: known.worker, Reading: known.reading})
		driving.batch(id)
		return true
	})
	driving.syncAt = coordinator.now
}

// takeWorkerEvent remembers who is connected, and hands the event to the driver.
func (driving *driving) takeWorkerEvent(event *WorkerEvent) {
	for _, input := range event.Events {
		if _, lost := input.(planner.WorkerLost); !lost {
			// A worker tells as well as any backend server that this host isn't cut off.
			driving.coordinator.tellElector(elector.ServerHeard{})
		}
		switch input := input.(type) {
		case planner.WorkerAnnounced:
			driving.workers.Put(event.Worker, &knownWorker{worker: input.Worker, reading: input.Reading})
			driving.takeUp()
			if driving.driver != nil {
				driving.batch(event.Worker)
			}
		case planner.WorkerHeartbeat:
			if known := driving.workers.Get(event.Worker); known != nil {
				known.reading = input.Reading
			}
		case planner.WorkerLost:
			driving.workers.Remove(event.Worker)
		case planner.TaskEnded:
			driving.acknowledge(event.Worker, input)
		}
		if driving.driver != nil {
			driving.inputs = append(driving.inputs, input)
		}
	}
}

// acknowledge lets a worker forget how a task ended, once the log knows it.
func (driving *driving) acknowledge(worker identifier.WorkerID, ended planner.TaskEnded) {
	if driving.driver == nil {
		return
	}
	flush := driving.coordinator.Settings.Intents.Driver.FlushInterval
	if !driving.ends.settled(driving.coordinator.now, ended, flush, driving.proposals.reports(planner.IntentOf(ended.Task))) {
		return
	}
	batch := driving.batch(worker)
	batch.Received = append(batch.Received, EndReceived{Task: ended.Task, Number: ended.Number})
}

// batch returns the batch of this tick for a worker.
func (driving *driving) batch(worker identifier.WorkerID) *ToWorker {
	if driving.batches.Get(worker) == nil {
		driving.batches.Put(worker, &ToWorker{Worker: worker, Epoch: driving.epoch})
	}
	return driving.batches.Get(worker)
}

func (driving *driving) tick(now identifier.Moment) {
	inputs := driving.inputs
	driving.inputs = nil
	for _, output := range driving.driver.Tick(now, inputs) {
		driving.route(output)
	}
	for _, worker := range driving.batches.Keys() {
		driving.coordinator.outputs.add(driving.batches.Get(worker))
		driving.batches.Remove(worker)
	}
}

func (driving *driving) route(output planner.Output) {
	switch output := output.(type) {
	case planner.Propose:
		driving.proposals.add(output.Command)
	case planner.StartTask:
		driving.order(output.Worker, output)
	case planner.RenewLeases:
		driving.order(output.Worker, output)
	case planner.ThrottleTask:
		driving.order(output.Worker, output)
	case planner.CheckpointTask:
		driving.order(output.Worker, output)
	case planner.StopTask:
		driving.order(output.Worker, output)
	}
}

func (driving *driving) order(worker identifier.WorkerID, order planner.Output) {
	batch := driving.batch(worker)
	batch.Orders = append(batch.Orders, order)
}
