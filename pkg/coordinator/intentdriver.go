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

// intentDriverCell is the cell whose lead drives the workers of a failure domain.
const intentDriverCell messenger.CellNumber = 0

// syncsBeforeNextKeeper is the number of unanswered syncs after which they go to the next keeper.
const syncsBeforeNextKeeper = 3

// intentDriver runs confirmed intents on the workers of the failure domain while this host leads
// cell 0 there. It first gets an epoch from the log and then reads the assignments, so that it
// starts nothing that a former lead has claimed.
type intentDriver struct {
	coordinator *Coordinator
	proposals   *proposals
	// workers are the connected workers, whether or not this host drives them.
	workers *tabulator.Table[identifier.WorkerID, knownWorker]
	// elected reports whether this host leads the cell. epoch is the epoch granted by the log, or
	// 0.
	elected bool
	epoch   identifier.Epoch
	// epochRequests counts the epochs requested so far. The count is part of the request id.
	epochRequests  uint64
	epochRequestAt identifier.Moment
	// epochRequested reports whether an epoch has been requested, or will be at epochRequestAt.
	epochRequested bool
	syncAt         identifier.Moment
	// unanswered counts the syncs since the last update.
	unanswered int
	// driver is nil until the first assignments have arrived.
	driver      *planner.Driver[placer.ScoredSample]
	inputs      []planner.Input
	seenVersion identifier.LogIndex
	assigned    *tabulator.Table[identifier.IntentName, struct{}]
	batches     *tabulator.Table[identifier.WorkerID, ToWorker]
	ends        *unacknowledgedEnds
}

func newIntentDriver(coordinator *Coordinator) *intentDriver {
	return &intentDriver{
		coordinator:    coordinator,
		proposals:      newProposals(coordinator),
		workers:        tabulator.New[identifier.WorkerID, knownWorker](),
		epochRequestAt: identifier.Never,
		syncAt:         identifier.Never,
	}
}

func (intentDriver *intentDriver) nextDeadline() identifier.Moment {
	next := identifier.Earlier(intentDriver.epochRequestAt, intentDriver.syncAt)
	next = identifier.Earlier(next, intentDriver.proposals.nextDeadline())
	if intentDriver.driver != nil {
		next = identifier.Earlier(next, intentDriver.driver.NextDeadline())
	}
	return next
}

func (intentDriver *intentDriver) handleLeadTaken(cell messenger.CellNumber) {
	if cell == intentDriverCell {
		intentDriver.elected = true
		intentDriver.scheduleEpochRequest()
	}
}

// scheduleEpochRequest schedules a request for an epoch once this host leads the cell and a worker
// is connected. Deployments without workers thus write nothing to the log.
func (intentDriver *intentDriver) scheduleEpochRequest() {
	if intentDriver.elected && !intentDriver.epochRequested && intentDriver.epoch == 0 && intentDriver.workers.Len() > 0 {
		intentDriver.epochRequested = true
		intentDriver.epochRequestAt = intentDriver.coordinator.now
	}
}

func (intentDriver *intentDriver) handleLeadLost(cell messenger.CellNumber) {
	if cell == intentDriverCell {
		intentDriver.elected = false
		intentDriver.stop()
	}
}

// stop ends the driver. Running tasks continue under their leases: the next driver adopts them, or
// they end when the leases expire.
func (intentDriver *intentDriver) stop() {
	intentDriver.epoch = 0
	intentDriver.epochRequested = false
	intentDriver.driver = nil
	intentDriver.inputs = nil
	intentDriver.epochRequestAt = identifier.Never
	intentDriver.syncAt = identifier.Never
	intentDriver.proposals.drop()
}

// handleFenced stops a driver whose epoch was superseded. If this host still leads the cell, it
// requests a new epoch after RetryLead, since the host with the current epoch may be the rightful
// lead.
func (intentDriver *intentDriver) handleFenced() {
	intentDriver.stop()
	if intentDriver.elected {
		intentDriver.epochRequested = true
		intentDriver.epochRequestAt = intentDriver.coordinator.now.Add(intentDriver.coordinator.Settings.Intents.RetryLead)
	}
}

// settle runs the deadlines and inputs that are due.
func (intentDriver *intentDriver) settle() {
	now := intentDriver.coordinator.now
	if intentDriver.epochRequestAt.Due(now) {
		intentDriver.requestEpoch()
	}
	intentDriver.proposals.expire()
	intentDriver.updateQuotas()
	if intentDriver.driver == nil {
		intentDriver.inputs = nil
	} else if len(intentDriver.inputs) > 0 || intentDriver.driver.NextDeadline().Due(now) {
		intentDriver.tick(now)
	}
	if intentDriver.syncAt.Due(now) {
		intentDriver.sync()
	}
}

// updateQuotas passes the driver the quotas of its failure domain when they have changed.
func (intentDriver *intentDriver) updateQuotas() {
	if intentDriver.driver == nil {
		return
	}
	coordinator := intentDriver.coordinator
	if changed, any := coordinator.quotas.domainQuotas(coordinator.Self.FailureDomain, coordinator.intentPlanner.failureDomains()); any {
		intentDriver.inputs = append(intentDriver.inputs, changed)
	}
}

// requestEpoch requests the next epoch of the failure domain from the log. A resent request has the
// same id and gets the same epoch. The id contains the incarnation of this process: a later process
// must not get the epoch of this one, whose driver may have started tasks that the later one
// doesn't know.
func (intentDriver *intentDriver) requestEpoch() {
	coordinator := intentDriver.coordinator
	intentDriver.epochRequestAt = identifier.Never
	intentDriver.epochRequests++
	request := fmt.Sprintf("lead/%s/%d/%d", coordinator.Self.Host, coordinator.Self.Incarnation, intentDriver.epochRequests)
	intentDriver.proposals.add(planner.Command{
		Kind:     planner.CommandLead,
		Request:  identifier.RequestID(request),
		Operator: planner.OperatorID(coordinator.Self.Host),
		Claim:    &planner.Claim{FailureDomain: coordinator.Self.FailureDomain},
	})
}

// handleReply processes the result of a command and reports whether the driver had proposed it.
func (intentDriver *intentDriver) handleReply(reply *keeper.Reply) bool {
	command := intentDriver.proposals.handleReply(reply)
	if command == nil {
		return false
	}
	result := reply.Result.Intent
	switch {
	case command.Kind == planner.CommandLead && result.Kind == planner.ResultAccepted:
		intentDriver.epoch = result.Epoch
		intentDriver.epochRequested = false
		intentDriver.seenVersion = 0
		intentDriver.syncAt = intentDriver.coordinator.now
	case result.Kind == planner.ResultFenced:
		intentDriver.handleFenced()
	case command.Kind == planner.CommandClaim:
		accepted := result.Kind == planner.ResultAccepted
		intentDriver.inputs = append(intentDriver.inputs, planner.ClaimApplied{Name: command.Name, Claim: *command.Claim, Accepted: accepted})
	}
	return true
}

// sync reports the state of the workers to the leading keeper and requests an update from it.
func (intentDriver *intentDriver) sync() {
	coordinator := intentDriver.coordinator
	intentDriver.syncAt = coordinator.now.Add(coordinator.Settings.Intents.SyncInterval)
	message := &IntentSync{FailureDomain: coordinator.Self.FailureDomain, Epoch: intentDriver.epoch, Since: intentDriver.seenVersion}
	if intentDriver.driver != nil {
		status := intentDriver.driver.Status(coordinator.now)
		message.Status = &status
	}
	keepers := coordinator.keepersInOrder()
	if len(keepers) == 0 {
		return
	}
	// The last known leader may be gone without any announcement of its successor.
	to := keepers[intentDriver.unanswered/syncsBeforeNextKeeper%len(keepers)]
	intentDriver.unanswered++
	if to == coordinator.Self.Host {
		coordinator.intentPlanner.handleSync(to, message)
		return
	}
	coordinator.outputs.toPeer(to, PeerMessage{IntentSync: message})
}

// handleUpdate applies decisions of the log. Updates with an epoch or version below those of this
// driver come from a keeper that lags behind, and are ignored.
func (intentDriver *intentDriver) handleUpdate(update *planner.DriverUpdate) {
	switch {
	case intentDriver.epoch == 0 || update.FailureDomain != intentDriver.coordinator.Self.FailureDomain:
		return
	case update.Epoch > intentDriver.epoch:
		intentDriver.handleFenced()
		return
	case update.Epoch < intentDriver.epoch || update.Version < intentDriver.seenVersion:
		return
	case update.Since > intentDriver.seenVersion:
		intentDriver.syncAt = intentDriver.coordinator.now
		return
	}
	intentDriver.unanswered = 0
	if intentDriver.driver == nil {
		intentDriver.startDriver()
	}
	intentDriver.seenVersion = update.Version
	intentDriver.coordinator.quotas.updateCapacities(update.Capacities)
	for _, assigned := range update.Changed {
		intentDriver.assigned.Put(assigned.Name, &struct{}{})
		intentDriver.inputs = append(intentDriver.inputs, assigned)
	}
	active := make(map[identifier.IntentName]bool, len(update.Active))
	for _, name := range update.Active {
		active[name] = true
	}
	for _, name := range intentDriver.assigned.Keys() {
		if !active[name] {
			intentDriver.assigned.Remove(name)
			intentDriver.inputs = append(intentDriver.inputs, planner.IntentEnded{Name: name})
		}
	}
}

// startDriver creates the driver. The first epoch of a failure domain has no former lead whose
// leases have to expire first.
func (intentDriver *intentDriver) startDriver() {
	coordinator := intentDriver.coordinator
	settings := &coordinator.Settings.Intents
	quietUntil := coordinator.now
	if intentDriver.epoch > 1 {
		quietUntil = quietUntil.Add(settings.Lease)
	}
	intentDriver.driver = planner.NewDriver(placer.DefaultScoredSample(), coordinator.Self.FailureDomain, intentDriver.epoch, settings.Lease, quietUntil)
	intentDriver.driver.Settings = settings.Driver
	intentDriver.updateEvacuations(coordinator.evacuated())
	intentDriver.assigned = tabulator.New[identifier.IntentName, struct{}]()
	intentDriver.batches = tabulator.New[identifier.WorkerID, ToWorker]()
	intentDriver.ends = newUnacknowledgedEnds()
	coordinator.quotas.changed = true
	intentDriver.workers.Each(func(id identifier.WorkerID, known *knownWorker) bool {
		intentDriver.inputs = append(intentDriver.inputs, planner.WorkerAnnounced{Worker: known.worker, Reading: known.reading})
		intentDriver.batch(id)
		return true
	})
	intentDriver.syncAt = coordinator.now
}

// handleWorkerEvent records which workers are connected and passes the events to the driver.
func (intentDriver *intentDriver) handleWorkerEvent(event *WorkerEvent) {
	for _, input := range event.Events {
		if _, lost := input.(planner.WorkerLost); !lost {
			// A message of a worker proves as well as one of a backend server that this host isn't
			// cut off.
			intentDriver.coordinator.notifyElector(elector.ServerResponded{})
		}
		switch input := input.(type) {
		case planner.WorkerAnnounced:
			intentDriver.workers.Put(event.Worker, &knownWorker{worker: input.Worker, reading: input.Reading})
			intentDriver.scheduleEpochRequest()
			if intentDriver.driver != nil {
				intentDriver.batch(event.Worker)
			}
		case planner.WorkerHeartbeat:
			if known := intentDriver.workers.Get(event.Worker); known != nil {
				known.reading = input.Reading
			}
		case planner.WorkerLost:
			intentDriver.workers.Remove(event.Worker)
		case planner.TaskEnded:
			intentDriver.acknowledge(event.Worker, input)
		}
		if intentDriver.driver != nil {
			intentDriver.inputs = append(intentDriver.inputs, input)
		}
	}
}

// acknowledge lets a worker discard how a task ended, once the log has recorded it.
func (intentDriver *intentDriver) acknowledge(worker identifier.WorkerID, ended planner.TaskEnded) {
	if intentDriver.driver == nil {
		return
	}
	flush := intentDriver.coordinator.Settings.Intents.Driver.FlushInterval
	if !intentDriver.ends.mayAcknowledge(intentDriver.coordinator.now, ended, flush, intentDriver.proposals.hasReport(planner.TaskIntent(ended.Task))) {
		return
	}
	batch := intentDriver.batch(worker)
	batch.Received = append(batch.Received, EndReceived{Task: ended.Task, Number: ended.Number})
}

// batch returns the batch of this tick for a worker.
func (intentDriver *intentDriver) batch(worker identifier.WorkerID) *ToWorker {
	if intentDriver.batches.Get(worker) == nil {
		intentDriver.batches.Put(worker, &ToWorker{Worker: worker, Epoch: intentDriver.epoch})
	}
	return intentDriver.batches.Get(worker)
}

func (intentDriver *intentDriver) tick(now identifier.Moment) {
	inputs := intentDriver.inputs
	intentDriver.inputs = nil
	for _, output := range intentDriver.driver.Tick(now, inputs) {
		intentDriver.route(output)
	}
	for _, worker := range intentDriver.batches.Keys() {
		intentDriver.coordinator.outputs.add(intentDriver.batches.Get(worker))
		intentDriver.batches.Remove(worker)
	}
}

func (intentDriver *intentDriver) route(output planner.Output) {
	switch output := output.(type) {
	case planner.Propose:
		intentDriver.proposals.add(output.Command)
	case planner.StartTask:
		intentDriver.addOrder(output.Worker, output)
	case planner.RenewLeases:
		intentDriver.addOrder(output.Worker, output)
	case planner.ThrottleTask:
		intentDriver.addOrder(output.Worker, output)
	case planner.CheckpointTask:
		intentDriver.addOrder(output.Worker, output)
	case planner.StopTask:
		intentDriver.addOrder(output.Worker, output)
	}
}

func (intentDriver *intentDriver) addOrder(worker identifier.WorkerID, order planner.Output) {
	batch := intentDriver.batch(worker)
	batch.Orders = append(batch.Orders, order)
}
